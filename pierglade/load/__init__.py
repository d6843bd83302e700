"""An open-loop load generator: arrivals are planned beforehand, and a stall counts in full.

Not for service, and with nothing of the node's code. Start with `pierglade.load.run.play`.
"""
