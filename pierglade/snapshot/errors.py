"""What can be wrong with a snapshot."""

from pierglade.errors import PiergladeError


class CorruptSnapshotError(PiergladeError, ValueError):
    """Bytes that are no snapshot that this build can use; one line that says why."""


class UntrustedSnapshotError(PiergladeError, ValueError):
    """A well-formed snapshot of which nothing may be restored; one line that says why."""
