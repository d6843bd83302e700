"""The outcome of an attempt."""

from enum import StrEnum


class Outcome(StrEnum):
    """How an attempt ended, which implies whether the backend may have executed the request."""

    is_unexecuted: bool
    """Whether it is known that the backend did not execute the request."""

    def __new__(cls, value: str, is_unexecuted: bool = False) -> "Outcome":
        """Creates a member with the text `value`."""
        member = str.__new__(cls, value)
        member._value_ = value
        member.is_unexecuted = is_unexecuted
        return member

    SUCCESS = "success"
    """The backend answered, and the answer was passed on to the client."""
    SERVER_ERROR = "server_error"
    """The backend answered with an error; it may have executed the request."""
    REJECTED_UNPROCESSED = "rejected_unprocessed", True
    """The backend sent the request back without processing it."""
    TIMEOUT = "timeout"
    """No answer arrived in time; the request may have been executed."""
    CONNECT_FAILED = "connect_failed", True
    """No connection to the backend was established."""
    CONNECTION_RESET = "connection_reset"
    """The connection was lost; the request may have been executed."""
    CANCELLED = "cancelled"
    """The balancer stopped waiting; the request may have been executed."""
    NOT_SENT = "not_sent", True
    """The caller did not send the request."""
    CLIENT_ERROR = "client_error"
    """The backend rejected the request as invalid, and its answer was passed on."""
