"""Tenants, their quotas, and the state of those with traffic.

The decision which request is rejected is made elsewhere. Start with `pierglade.tenants.registry`.
"""
