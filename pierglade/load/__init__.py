"""An open-loop load generator: send times are planned in advance, so a stall counts in full.

A tool for tests and experiments that shares no code with the load balancer. Start with
`pierglade.load.run.run_load`.
"""
