"""The base of all errors that this package raises on purpose."""


class PiergladeError(Exception):
    """Something that pierglade found wrong; its text is one plain line that names the place."""
