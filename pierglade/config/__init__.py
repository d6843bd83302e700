"""The operator's TOML file: typed tables, and their places in the platform's JSON document.

Not read by `python -m pierglade`, which takes the platform's JSON alone. Start with
`pierglade.config.read.read`; docs/operate/configuration.md is made from `structs.py`.
"""
