"""What a node has learned, kept over a restart: its format, its aging, its files.

Off unless a folder is set; not for ejections, attempts or overload, which a restart ends. Start
with `store.SnapshotStore` and `aging.aged`; for a change of settings with `handover.take_over`.
"""
