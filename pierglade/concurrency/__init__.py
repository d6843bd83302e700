"""How many attempts a node may have in flight at once, found from how long answers take.

It knows no backend by name and does no I/O. Not for the choice of a backend, retries or rejections:
those are `pierglade/balancer/`. Start with `pierglade.concurrency.limiter`;
docs/notes/limit.md has the reasons.
"""
