"""Validated settings of the balancer, and their names on the platform.

The operator's TOML file is read elsewhere (`pierglade.config`). Start with
`pierglade.settings.platform`.
"""
