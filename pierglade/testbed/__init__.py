"""A stand-in fleet on loopback to test a node against: backends, discovery and injected faults.

Test tooling, not used in production; it shares no serving code with the node and implements only the
backends' side of the protocol. The entry point is `pierglade.testbed.run.serve`; see
docs/operate/fleet-stand-in.md.
"""
