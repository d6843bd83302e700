"""Tenants, their quotas, and the state of those with traffic.

Requests over a quota are rejected elsewhere (`pierglade/balancer/`). Start with
`pierglade.tenants.registry`.
"""
