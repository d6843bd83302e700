"""Snapshots of learned statistics, which survive a restart: their format, aging and files.

Disabled unless a folder is set. Ejections, attempts and overload are not part of a snapshot, as a
restart ends them. Start with `store.SnapshotStore` and the module `aging`; for a change of
settings, with `handover.take_over`.
"""
