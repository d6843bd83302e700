"""The base class of the errors that this package raises."""


class PiergladeError(Exception):
    """An error detected by pierglade; its text is a single line that says where the fault is."""
