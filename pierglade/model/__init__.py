"""The domain model: requests, attempts, endpoints, outcomes and decisions.

The package has no decision logic and does no I/O. Start with `pierglade.model.request`.
"""
