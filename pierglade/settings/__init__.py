"""Checked settings of the balancer, and the platform's names for them.

Not for the operator's TOML file (`pierglade.config`). Start with `pierglade.settings.platform`.
"""
