"""The bench's wire: hosts many independent nodes in one process. Decides nothing."""
