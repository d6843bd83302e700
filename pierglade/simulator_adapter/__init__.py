"""Adapter for the simulator's message protocol: runs many independent balancers in one process.

Makes no decisions and uses nothing of `pierglade.proxy`. The entry point is
`connection.SimulatorConnection`.
"""
