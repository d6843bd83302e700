"""Limits how many attempts a node may have in flight at once, from the latency of answers.

Backends are not distinguished and no I/O is done. The choice of a backend, retries and rejections
are in `pierglade/balancer/`. Start with `pierglade.concurrency.limiter`; docs/notes/limit.md has
the reasons.
"""
