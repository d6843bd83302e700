"""A change of configuration by difference: read and compared in steps that each take about a millisecond.

Not for lists of backends, which discovery tells by difference itself, and no I/O: whoever calls lets requests
pass between two steps. Start with `reading.steps` and `shares.steps`.
"""
