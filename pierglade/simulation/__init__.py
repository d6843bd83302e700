"""Fleets in virtual time: real balancers, baselines and an oracle under one load model.

Not for measuring sockets or CPU. Start with `pierglade.simulation.simulation.run_plan`.
"""
