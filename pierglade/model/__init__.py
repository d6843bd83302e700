"""The field's nouns as types: requests, attempts, endpoints, outcomes and decisions.

No decision is made here and nothing is read or written. Start with `pierglade.model.request`.
"""
