"""What a node has learned, kept over a restart: its form, its ageing, its files. Off unless a folder is set.

Not for trouble, trips or overload, which a restart ends. Start with `store.SnapshotStore` and `aging.aged`; for
what is kept as settings change, with `takeover.take_over`.
"""
