"""The grammar of message heads, and the framing of bodies; both are stricter than the parser."""

import re
from enum import Enum

from pierglade.errors import PiergladeError
from pierglade.proxy.http.message import Message

MAX_HEAD_BYTES = 16384  # start line and headers; common servers accept as much
# A parsed field takes some 300 bytes of memory, however short it is; common servers accept as many.
MAX_HEAD_FIELDS = 100
MAX_LENGTH_DIGITS = 18  # a Content-Length with more digits is rejected before it is parsed
FRAMING_FIELDS = frozenset((b"content-length", b"transfer-encoding"))

# The grammar that a head must match. It is strict because parsers tolerate different deviations:
# bytes that one parser reads as one message, another may read as two (request smuggling).
TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
FIELD_LINES = rb"(?:" + TOKEN + rb":[^\r\n\0]*+\r\n)*+(?:\r\n)?"
REQUEST_LINE = TOKEN + rb" [\x21\x22\x24-\x7e]+ HTTP/1\.[01]\r\n"
STATUS_LINE = rb"HTTP/1\.[01] [1-5][0-9][0-9](?: [^\r\n\0]*+)?\r\n"

# The fields that load shedding reads from a request without parsing it. The parser handles requests
# with a body, or with a field that affects the framing or the connection (FIELDS_FOR_PARSER).
PREVIEWED_FIELDS = re.compile(
    rb"\r\n(x-trace-id|x-expires-in-ms|x-customer|host|content-length|transfer-encoding|"
    rb"connection|expect|idempotency-key):[ \t]*([^\r\n]*)",
    re.IGNORECASE,
)
FIELDS_FOR_PARSER = frozenset((b"transfer-encoding", b"connection", b"expect"))

HEADER_LINES = re.compile(FIELD_LINES)
REQUEST_HEAD = re.compile(REQUEST_LINE + FIELD_LINES)
RESPONSE_HEAD = re.compile(STATUS_LINE + FIELD_LINES)


class ProtocolError(PiergladeError):
    """A malformed or unacceptable message was read.

    `status`: status code of the response, if a client sent the message; `reason`: one line, for the
    body of that response and for the log.
    """

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status, self.reason = status, reason


class BodyFraming(Enum):
    """How the end of a body is marked."""

    LENGTH = "length"
    CHUNKED = "chunked"
    NONE = "none"


def body_framing(message: Message, max_body_bytes: int) -> tuple[BodyFraming, int]:
    """Returns how the headers of `message` frame its body, and the body's length in bytes.

    Raises:
        ProtocolError: the framing is ambiguous (the body may hide another message) or unknown, or
            it announces more than `max_body_bytes` bytes.
    """
    fields = message.fields
    coding, length = fields.get(b"transfer-encoding"), fields.get(b"content-length")
    if not FRAMING_FIELDS.isdisjoint(message.repeated_fields) or (
        coding is not None and length is not None
    ):
        raise ProtocolError(400, "framed twice")
    if coding is not None:
        if coding.lower() != b"chunked" or message.version != "1.1":
            raise ProtocolError(400, "unknown transfer encoding")
        return BodyFraming.CHUNKED, 0
    if length is None:
        return BodyFraming.NONE, 0
    if not length.isdigit():
        raise ProtocolError(400, "length is no number")
    byte_count = int(length[:MAX_LENGTH_DIGITS])
    if byte_count > max_body_bytes or len(length) > MAX_LENGTH_DIGITS:
        raise ProtocolError(413, f"body of {length[:MAX_LENGTH_DIGITS].decode()} bytes")
    return BodyFraming.LENGTH, byte_count


def previewed_request(buffer: bytearray, start: int, end: int) -> tuple | None:
    """Returns (method, target, fields) of a request that can be read without the parser, else None.

    The buffer must contain exactly one whole request without a body. `fields`: the values of the
    fields in PREVIEWED_FIELDS by their names in lower case.
    """
    if (
        end - start > MAX_HEAD_BYTES
        or buffer.find(b"\r\n\r\n", start, end) != end - 4
        or not REQUEST_HEAD.fullmatch(buffer, start, end)
    ):
        return None
    fields = {}
    for name, value in PREVIEWED_FIELDS.findall(buffer, start, end):
        name = name.lower()
        if name in fields or name in FIELDS_FOR_PARSER:
            return None
        fields[name] = value.rstrip()
    line = bytes(buffer[start : buffer.find(b"\r\n", start, end)])
    method, target, version = line.split(b" ")
    if (
        version != b"HTTP/1.1"
        or b"host" not in fields
        or fields.get(b"content-length", b"0") != b"0"
    ):
        return None
    return method, target, fields
