"""HTTP/1.1 messages, and the heads that the proxy writes."""

import httptools

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
CHUNKED_LINE = b"Transfer-Encoding: chunked"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Message:
    """A request or a response.

    `body` is a slice of the reader's buffer, valid until the reader releases the message.
    """

    __slots__ = (
        "body",
        "body_stream",
        "fields",
        "has_assigned_id",
        "headers",
        "is_reusable",
        "method",
        "repeated_fields",
        "status",
        "url",
        "version",
    )

    def __init__(self):
        self.method = self.url = b""
        self.status = 0
        self.headers = []  # (name, value, name in lower case) as received
        self.fields = {}  # the last value of each field, by name in lower case
        self.repeated_fields = ()  # names in lower case of fields that occurred more than once
        self.body = b""
        self.is_reusable = False  # whether the connection may be reused after the message
        self.version = "1.1"
        self.body_stream = None  # the body as a BodyStream, where it is too large to buffer
        self.has_assigned_id = False  # whether the trace id was assigned by this process


def target(url):
    """Returns the path and query of a request target, or None if it has no path."""
    if url.startswith(b"/"):
        return url
    try:
        parsed = httptools.parse_url(url)
    except httptools.HttpParserInvalidURLError:
        return None
    if not parsed.host:
        return None
    return (parsed.path or b"/") + (b"?" + parsed.query if parsed.query else b"")


def forwarded_headers(message, excluded):
    """Returns the headers that the proxy forwards.

    Omits the headers that `Connection` names, and those in `excluded` (names in lower case).
    """
    if b"connection" in message.fields:
        connection_options = b",".join(
            value for _, value, lowercase_name in message.headers if lowercase_name == b"connection"
        )
        excluded = excluded.union(token.strip().lower() for token in connection_options.split(b","))
    return [
        (name, value)
        for name, value, lowercase_name in message.headers
        if lowercase_name not in excluded
    ]


def request_head(method, path, headers, length):
    """Builds the head of a request.

    `length`: bytes of the body; None where the length is known only at its end, so that the body
    is sent in chunks.
    """
    lines = [b"%s %s HTTP/1.1" % (method, path), *(b"%s: %s" % pair for pair in headers)]
    if length is None:
        lines.append(CHUNKED_LINE)
    elif length or method != b"GET":
        lines.append(b"Content-Length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def response_head(status, headers, length, close, chunked=False):
    """Builds the head of a response.

    `length`: bytes of the body; None where the end is marked by the last chunk (`chunked`) or by
    the end of the connection.
    """
    lines = [
        b"HTTP/1.1 %d %s" % (status, PHRASES.get(status, "").encode()),
        *(b"%s: %s" % pair for pair in headers),
    ]
    if length is not None:
        lines.append(b"Content-Length: %d" % length)
    elif chunked:
        lines.append(CHUNKED_LINE)
    if close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"
