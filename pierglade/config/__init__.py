"""The operator's TOML file: typed tables, and their counterparts in the platform's JSON document.

`python -m pierglade` does not read it and takes only the platform's JSON. Start with
`pierglade.config.read.read`; docs/operate/configuration.md is generated from `structs.py`.
"""
