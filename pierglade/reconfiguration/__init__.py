"""Changes of configuration, read and compared in steps that each take about a millisecond.

The caller serves requests between two steps; the package does no I/O. Endpoint lists are not
compared here, as discovery sends their differences. Start with `document_reader.read_document` and
`quota_changes.compare_quotas`.
"""
