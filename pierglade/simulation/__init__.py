"""Fleets in virtual time: models of backends and clients round the real decisions and round baselines.

Not for sockets, and never imported by a node. `pierglade.simulation.world.play` is the name to start with.
"""
