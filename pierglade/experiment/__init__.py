"""Experiments: nodes, a simulated fleet, a load and faults from one plan, audited and reported.

A tool for tests, not for production. Start with `pierglade.experiment.play.run_experiment`;
`pierglade.experiment.compare` compares runs.
"""
