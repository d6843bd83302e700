"""Which backend gets an attempt, whether it is retried, and what is rejected.

Not for sockets, clocks or settings files. Start with `pierglade.balancer.balancer`.
"""
