"""A stand-in fleet on loopback: backends, discovery and their faults, to try a node against.

Not for service, and with nothing of the node's code: it speaks the backends' side of the protocol.
`pierglade.testbed.run.serve` is the name to start with; docs/operate/fleet-stand-in.md is its page.
"""
