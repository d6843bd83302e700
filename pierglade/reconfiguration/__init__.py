"""Changes of configuration, read and compared in steps that each take about a millisecond.

Not for endpoint lists, whose differences discovery sends itself, and no I/O: the caller lets
requests pass between two steps. Start with `document_reader.steps` and `quota_changes.steps`.
"""
