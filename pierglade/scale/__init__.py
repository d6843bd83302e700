"""Scale runs: thousands of hollow nodes and backends beside a few real nodes, from one plan.

Not for production. `pierglade.scale.play.run_plan` is the entry point; `fit` describes how a figure grows.
"""
