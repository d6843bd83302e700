"""Checks the records of clients and backends of a test run against the balancer's guarantees.

Test tooling, not used in production; it shares no serving code with the node under test. The entry
point is `pierglade.audit.rules.audit`.
"""
