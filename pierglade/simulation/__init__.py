"""Discrete-event simulation of fleets: real balancers, baselines and an oracle on one load model.

Does not model sockets or CPU use. The entry point is `pierglade.simulation.simulation.run_plan`.
"""
