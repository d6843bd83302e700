"""What a head may contain, and how it frames its body; stricter than the parser."""

import re
from enum import Enum

from pierglade.errors import PiergladeError
from pierglade.proxy.http.message import Message

HEAD_MOST = 16384  # bytes of start line and headers; what common servers take
LENGTH_DIGITS = 18  # digits of a length; longer ones are refused before they are counted with
FRAMING = frozenset((b"content-length", b"transfer-encoding"))

# The grammar that a head must match. Parsers tolerate more than this, and differ in what: what one
# reads as one message, the next may read as two (request smuggling).
TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
FIELDS = rb"(?:" + TOKEN + rb":[^\r\n\0]*+\r\n)*+(?:\r\n)?"
REQUEST_LINE = TOKEN + rb" [\x21\x22\x24-\x7e]+ HTTP/1\.[01]\r\n"
STATUS_LINE = rb"HTTP/1\.[01] [1-5][0-9][0-9](?: [^\r\n\0]*+)?\r\n"

# The fields that load shedding needs of a request it does not parse; one that changes the framing
# is left to the parser.
GLANCED_FIELDS = re.compile(
    rb"\r\n(x-trace-id|x-expires-in-ms|x-customer|host|content-length|transfer-encoding|"
    rb"connection|expect|idempotency-key):[ \t]*([^\r\n]*)",
    re.IGNORECASE,
)
PARSER_ONLY = frozenset((b"transfer-encoding", b"connection", b"expect"))

HEADER_LINES = re.compile(FIELDS)
REQUEST_HEAD = re.compile(REQUEST_LINE + FIELDS)
RESPONSE_HEAD = re.compile(STATUS_LINE + FIELDS)


class ProtocolError(PiergladeError):
    """What was read is not a message that is accepted.

    `status`: the response for a client that sent it; `reason`: one line for the log.
    """

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status, self.reason = status, reason


class BodyFraming(Enum):
    """What marks the end of a body."""

    LENGTH = "length"
    CHUNKED = "chunked"
    NONE = "none"


def body_framing(message: Message, body_most: int) -> tuple[BodyFraming, int]:
    """Returns how the body of `message` is framed by its headers, and its length in bytes.

    Raises:
        ProtocolError: the framing can be read in two ways (it may hide another message), is
            unknown, or announces more than `body_most` bytes.
    """
    fields = message.fields
    coding, length = fields.get(b"transfer-encoding"), fields.get(b"content-length")
    if not FRAMING.isdisjoint(message.doubled) or (coding is not None and length is not None):
        raise ProtocolError(400, "framed twice")
    if coding is not None:
        if coding.lower() != b"chunked" or message.version != "1.1":
            raise ProtocolError(400, "unknown transfer encoding")
        return BodyFraming.CHUNKED, 0
    if length is None:
        return BodyFraming.NONE, 0
    if not length.isdigit():
        raise ProtocolError(400, "length is no number")
    count = int(length[:LENGTH_DIGITS])
    if count > body_most or len(length) > LENGTH_DIGITS:
        raise ProtocolError(413, f"body of {length[:LENGTH_DIGITS].decode()} bytes")
    return BodyFraming.LENGTH, count


def glanced_request(buffer: bytearray, start: int, end: int) -> tuple | None:
    """Returns (method, target, fields) of a request that needs no parser, else None.

    It must be one whole request without a body and nothing behind it. `fields`: the values by name
    in lower case, of those that GLANCED_FIELDS names.
    """
    if (
        end - start > HEAD_MOST
        or buffer.find(b"\r\n\r\n", start, end) != end - 4
        or not REQUEST_HEAD.fullmatch(buffer, start, end)
    ):
        return None
    fields = {}
    for name, value in GLANCED_FIELDS.findall(buffer, start, end):
        name = name.lower()
        if name in fields or name in PARSER_ONLY:
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
