"""Child processes of command-line tools, which end with their parent process.

Not used by the load balancer, which starts no processes. Start with
`pierglade.processes.children.Children`.
"""
