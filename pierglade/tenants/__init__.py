"""Tenants, their quotas, and what is known of those with traffic.

Not for deciding which request is rejected. Start with `pierglade.tenants.registry`.
"""
