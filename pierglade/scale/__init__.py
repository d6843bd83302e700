"""Scale runs: hollow nodes and backends by the thousand beside a few real nodes, from one plan.

Not for service. `pierglade.scale.play.play` is the name to start with; `fit` says how a figure grows.
"""
