"""Joins what clients and backends recorded and says for each rule whether it held.

Not for service, and with nothing of the node's code. Start with `pierglade.audit.rules.audit`.
"""
