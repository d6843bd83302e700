"""How many trips a node may have out at once. It knows no backend by name, and does no I/O.

Not for which backend, retry or refusal: those are `pierglade/balancer/balancer.py`. `pierglade.concurrency.limiter.Room` is the
name to start with; docs/notes/limit.md has the reasons.
"""
