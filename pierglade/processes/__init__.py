"""Child processes of tools: started with a pipe, ended with their parent.

Not for nodes, which start no program. Start with `pierglade.processes.children.Children`.
"""
