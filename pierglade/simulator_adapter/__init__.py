"""The simulated bench's wire: hosts many independent balancers in one process.

Decides nothing and uses nothing of `pierglade.proxy`. Start with `connection.SimulatorConnection`.
"""
