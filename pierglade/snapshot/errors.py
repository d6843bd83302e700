"""Errors of snapshots."""

from pierglade.errors import PiergladeError


class CorruptSnapshotError(PiergladeError, ValueError):
    """Bytes that this build cannot decode as a snapshot; the text is one line with the reason."""


class UntrustedSnapshotError(PiergladeError, ValueError):
    """A valid snapshot from which nothing may be restored; the text is one line with the reason."""
