"""HTTP/1.1 messages: httptools reads them, and they stay slices of the buffer that they were read into."""

import re

import httptools

HEAD_MOST = 16384  # bytes of start line and headers; what common servers take
HELD_MOST = 65536  # bytes of a body that is held whole; a larger one is passed on as it comes
BODY_MOST = 1 << 26  # bytes of a request's body; operators expect 32 MB
ANSWER_MOST = 1 << 30  # bytes of an answer's body; none of it is held
FLOW_ROOM = 1 << 15  # bytes read at once of a body that is passed on
FIRST_ROOM = 4096  # bytes a connection starts with; nearly all heads fit
CHUNKS_MOST = 4  # times the most of a body, as sent in chunks; beyond it is more framing than body
CHUNK_LINE_MOST = (
    4096  # bytes of a line between chunks or behind them; extensions and trailers are short
)
INTERIM_MOST = 8  # answers 1xx ahead of the real one; a backend has no use for more
LENGTH_DIGITS = 18  # digits of a length; longer ones are refused before they are counted with

# What a head may be made of. Parsers bear more than this, and not all of them the same: what one takes for
# one message, the next may take for two.
TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
FIELDS = rb"(?:" + TOKEN + rb":[^\r\n\0]*+\r\n)*+(?:\r\n)?"
REQUEST_LINE = TOKEN + rb" [\x21\x22\x24-\x7e]+ HTTP/1\.[01]\r\n"
STATUS_LINE = rb"HTTP/1\.[01] [1-5][0-9][0-9](?: [^\r\n\0]*+)?\r\n"

# What a refusal at a glance has to know of a head; a field that says how it is framed is left to the parser.
LOOKED_AT = re.compile(
    rb"\r\n(x-trace-id|x-expires-in-ms|x-customer|host|content-length|transfer-encoding|"
    rb"connection|expect|idempotency-key):[ \t]*([^\r\n]*)",
    re.IGNORECASE,
)
PARSED = frozenset((b"transfer-encoding", b"connection", b"expect"))

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
FRAMING = frozenset((b"content-length", b"transfer-encoding"))
CHUNKED = b"Transfer-Encoding: chunked"
GO_ON = b"HTTP/1.1 100 Continue\r\n\r\n"
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


class Malformed(Exception):
    """What was read is no message that we take; `status` is the answer to a client."""

    def __init__(self, status, why):
        super().__init__(why)
        self.status = status


class Message:
    """A request or an answer. `body` is a slice of the buffer, good until the inbox lets go of it."""

    __slots__ = (
        "method",
        "url",
        "status",
        "headers",
        "fields",
        "doubled",
        "body",
        "keep",
        "version",
        "flow",
        "given",
    )

    def __init__(self):
        self.method = self.url = b""
        self.status = 0
        self.headers = []  # (name, value, name in small letters) as they came
        self.fields = {}  # the last value by name in small letters
        self.doubled = ()  # the names in small letters that came more than once
        self.body = b""
        self.keep = False
        self.version = "1.1"
        self.flow = None  # the body, where it is too large to hold
        self.given = False  # its id was given to it here


class Inbox:
    """One direction of a connection: a buffer to read into, and the messages in it one by one."""

    parser_type = None
    body_most, held_most = BODY_MOST, HELD_MOST
    head = fields = None  # what a head is made of, from its first line on and from a later one on

    def __init__(self):
        self.buffer = bytearray(FIRST_ROOM)
        self.view = memoryview(self.buffer)
        self.at = self.end = 0  # parsed and read up to here
        self.held = False  # a whole message that is still in use
        self.interims = 0
        self._begin()

    def _begin(self):
        self.start = self.at
        self.message = Message()
        self.parser = self.parser_type(self)
        self.headed = False  # the head is whole
        self.flows = False  # the body is handed out piece by piece
        self.until_end = False  # the body ends with the connection
        self.left = 0  # of a counted body that flows
        self.chunk_left, self.line = 0, b""  # of the chunk in hand; of the line that tells its size
        self.body_from = 0
        self.length = 0  # of a counted body
        self.pieces = None  # of a chunked body
        self.chunked_size = self.pieces_size = 0
        self.over = False

    def begun(self):
        """Whether a message has begun that is not whole yet."""
        return not self.held and self.end > self.start

    def come(self):
        """How many bytes have come behind the head of the message that has begun; None: it is not whole."""
        if not self.headed:
            return None
        return self.chunked_size if self.pieces is not None else self.end - self.body_from

    def more(self):
        """Whether bytes have come behind the message in hand."""
        return self.end > self.at

    def expects_go_on(self):
        """Whether the sender of a body waits for a word before it sends it."""
        return (
            self.headed
            and not self.over
            and self.end == self.body_from
            and self.message.fields.get(b"expect", b"").lower() == b"100-continue"
        )

    def room(self):
        """Where to read next; None while a whole message is in use and the buffer is full.

        Only here are bytes moved: whoever waits to read into the last room must find it in its place.
        """
        if self.flows:
            if self.at == self.end:
                self.at = self.end = self.start = 0
                if len(self.buffer) != FLOW_ROOM:
                    self.buffer = bytearray(FLOW_ROOM)
                    self.view = memoryview(self.buffer)
        elif not self.held:
            if self.pieces is not None and self.at == self.end:
                # What is parsed of a chunked body is kept in pieces, and its place is read into again.
                self.at = self.end = self.body_from
            if self.start == self.end and (self.end or len(self.buffer) > FIRST_ROOM):
                self._move(FIRST_ROOM)  # A large message must not hold its memory for ever.
            elif self.body_from + self.length > len(self.buffer) and self.length <= self.held_most:
                self._move(self.body_from - self.start + self.length)
            elif self.end == len(self.buffer):
                self._move(len(self.buffer) * (1 if self.start else 2))
        return self.view[self.end :] if self.end < len(self.buffer) else None

    def _move(self, size):
        """What is being read goes to the front of a buffer of this size."""
        rest = self.end - self.start
        fresh = self.buffer if size == len(self.buffer) else bytearray(size)
        fresh[:rest] = bytes(self.view[self.start : self.end])
        self.buffer, self.view = fresh, memoryview(fresh)
        self.at, self.end = self.at - self.start, rest
        self.body_from -= self.start if self.body_from else 0
        self.start = 0

    def filled(self, count):
        self.end += count

    def glance(self):
        """(method, target, fields) of what has come, if that is one whole request with no body and nothing
        that
        needs the parser; else None. `fields`: the values by name in small letters of what LOOKED_AT names."""
        buffer, start, end = self.buffer, self.start, self.end
        if (
            self.held
            or self.at != start
            or end - start > HEAD_MOST
            or buffer.find(b"\r\n\r\n", start, end) != end - 4
            or not self.head.fullmatch(buffer, start, end)
        ):
            return None
        fields = {}
        for name, value in LOOKED_AT.findall(buffer, start, end):
            name = name.lower()
            if name in fields or name in PARSED:
                return None
            fields[name] = value.rstrip()
        method, target, version = bytes(self.view[start : buffer.find(b"\r\n", start, end)]).split(
            b" "
        )
        if (
            version != b"HTTP/1.1"
            or b"host" not in fields
            or fields.get(b"content-length", b"0") != b"0"
        ):
            return None
        return method, target, fields

    def skip(self):
        """What has come is dealt with, and was never parsed."""
        self.start = self.at = self.end

    def release(self):
        """The message is no longer in use."""
        self.held = False
        self._begin()

    def drop(self):
        """Parser and inbox know each other: left so, the buffer of each that ended waits for a collection."""
        self.parser = None

    def next(self):
        """The next whole message, or None; the inbox holds it until `release`."""
        if self.held:
            return None
        while self.headed or self._read_head():
            if self.until_end:
                self.pieces.append(bytes(self.view[self.at : self.end]))
                self.pieces_size += self.end - self.at
                self.at = self.end
            elif self.pieces is not None:
                self._read_chunks()
            elif self.length <= self.held_most:
                whole = self.body_from + self.length
                if self.end < whole:
                    return None
                self.message.body = self.view[self.body_from : whole]
                self.at, self.over = whole, True
            if not self.over:
                if self.pieces is not None and self.pieces_size <= self.held_most:
                    return None
                self.flows = self.held = True
                return self.message
            if self.pieces is not None:
                self.message.body = b"".join(self.pieces)
            if self.message.status // 100 != 1:
                self.held, self.interims = True, 0
                return self.message
            self.interims += 1  # The real answer follows.
            if self.interims > INTERIM_MOST or self.message.status == 101:
                raise Malformed(400, "interim answers without end")
            self._begin()
        return None

    def piece(self):
        """What has come of a body that flows since the last piece; `over` tells whether that is all."""
        if self.pieces is None:
            upto = min(self.end, self.at + self.left)
            piece = bytes(self.view[self.at : upto])
            self.left -= len(piece)
            self.at, self.over = upto, not self.left
            return piece
        if self.until_end:
            self.pieces.append(bytes(self.view[self.at : self.end]))
            self.at = self.end
        elif not self.over:
            self._read_chunks()
        piece = b"".join(self.pieces)
        self.pieces.clear()
        return piece

    def ended(self):
        """The connection has ended; whether that is the end of the message in hand."""
        if not self.until_end or self.over:
            return False
        self.over = True
        if not self.flows:
            self.message.body = b"".join(self.pieces)
            self.held = True
        return True

    def _read_head(self):
        """Checks what has come of the head; whole, it goes to the parser. Whether it is whole."""
        buffer = self.buffer
        while self.at == self.start and buffer.startswith(b"\r\n", self.start, self.end):
            self.at = self.start = self.start + 2  # Old senders end a body with a line too many.
        found = buffer.find(b"\r\n\r\n", max(self.start, self.at - 2), self.end)
        upto = found + 4 if found >= 0 else buffer.rfind(b"\n", self.at, self.end) + 1
        if upto - self.start > HEAD_MOST or found < 0 and self.end - self.start > HEAD_MOST:
            raise Malformed(431, "head too large")
        if upto > self.at:
            if not (self.head if self.at == self.start else self.fields).fullmatch(
                buffer, self.at, upto
            ):
                raise Malformed(400, "no HTTP")
            self.at = upto
        elif self.at == self.start < self.end and not self._may_open(
            bytes(self.view[self.start : self.end])
        ):
            raise Malformed(400, "no HTTP")
        if found < 0:
            return False
        self._feed(self.view[self.start : upto])
        if not self.headed:
            raise Malformed(400, "no HTTP")
        self._framing()
        return True

    def _read_chunks(self):
        while self.at < self.end and not self.over:
            if self.chunk_left:
                upto = min(self.end, self.at + self.chunk_left)
                self.chunk_left -= upto - self.at
                self._feed(self.view[self.at : upto])
            else:
                # Fed line by line, the parser is never given a byte of what follows the message.
                newline = self.buffer.find(b"\n", self.at, self.end)
                upto = newline + 1 if newline >= 0 else self.end
                self.line += bytes(self.view[self.at : upto])
                if len(self.line) > CHUNK_LINE_MOST:
                    raise Malformed(400, "endless line between chunks")
                self.sized = False
                self._feed(self.view[self.at : upto])
                if self.sized:
                    self.chunk_left = int(self.line.partition(b";")[0], 16)
                if newline >= 0:
                    self.line = b""
            self.at = upto

    def _feed(self, data):
        self.chunked_size += len(data) if self.pieces is not None else 0
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # Not taken up: the message is answered as any other.
        except httptools.HttpParserError as fault:
            cause = fault.__context__
            if isinstance(cause, Malformed):
                raise cause from None
            raise Malformed(400, f"no HTTP: {fault}") from None
        if self.chunked_size > CHUNKS_MOST * self.body_most:
            raise Malformed(413, "body too large")

    def _framing(self):
        """Where the body ends. What can be read in two ways is refused: it may hide another message."""
        message = self.message
        self.body_from = self.at
        coding, length = (
            message.fields.get(b"transfer-encoding"),
            message.fields.get(b"content-length"),
        )
        if not FRAMING.isdisjoint(message.doubled) or coding is not None and length is not None:
            raise Malformed(400, "framed twice")
        if coding is not None:
            if coding.lower() != b"chunked" or message.version != "1.1":
                raise Malformed(400, "unknown transfer encoding")
            self.pieces = []
        elif length is not None:
            if not length.isdigit():
                raise Malformed(400, "length is no number")
            self.length = self.left = int(length[:LENGTH_DIGITS])
            if self.length > self.body_most or len(length) > LENGTH_DIGITS:
                raise Malformed(413, "body of %s bytes" % length[:LENGTH_DIGITS].decode())
        elif not self._bodiless():
            self.until_end, self.pieces, message.keep = True, [], False

    # What the parser calls.

    def on_header(self, name, value):
        if self.headed:
            return  # Behind a chunked body: passed on in the head, it could say what was checked there.
        value = value.strip(b" \t")
        message, small = self.message, name.lower()
        message.headers.append((name, value, small))
        if small in message.fields:
            message.doubled = (*message.doubled, small)
        message.fields[small] = value

    def on_headers_complete(self):
        self.headed = True
        self.message.keep = self.parser.should_keep_alive()
        self.message.version = self.parser.get_http_version()
        self._headed()

    def on_body(self, body):
        if self.pieces is not None:
            self.pieces.append(body)
            # Added up as it comes: a body of many small chunks must not cost more than a large one.
            self.pieces_size += len(body)
            if self.pieces_size > self.body_most:
                raise Malformed(413, "body too large")

    def on_chunk_header(self):
        self.sized = True

    def on_message_complete(self):
        if self.pieces is not None:
            self.over = True


class Requests(Inbox):
    parser_type = httptools.HttpRequestParser
    head, fields = re.compile(REQUEST_LINE + FIELDS), re.compile(FIELDS)

    def _may_open(self, first):
        return first[:1].isalpha() or first == b"\r"

    def on_url(self, url):
        self.message.url += url

    def _headed(self):
        self.message.method = self.parser.get_method()

    def _bodiless(self):
        return True


class Answers(Inbox):
    body_most = ANSWER_MOST
    parser_type = httptools.HttpResponseParser
    head, fields = re.compile(STATUS_LINE + FIELDS), re.compile(FIELDS)

    def _may_open(self, first):
        return first[:7] == b"HTTP/1."[: len(first)]

    def _headed(self):
        self.message.status = self.parser.get_status_code()

    def _bodiless(self):
        return self.message.status // 100 == 1 or self.message.status in (204, 304)


def target(url):
    """Path and query of a request's target, or None if it has none."""
    if url.startswith(b"/"):
        return url
    try:
        parsed = httptools.parse_url(url)
    except httptools.HttpParserInvalidURLError:
        return None
    if not parsed.host:
        return None
    return (parsed.path or b"/") + (b"?" + parsed.query if parsed.query else b"")


def passed_on(message, left_out):
    """The headers that a proxy passes on: all but those of the one connection, and those replaced."""
    if b"connection" in message.fields:
        named = b",".join(value for _, value, small in message.headers if small == b"connection")
        left_out = left_out.union(token.strip().lower() for token in named.split(b","))
    return [(name, value) for name, value, small in message.headers if small not in left_out]


def request_head(method, path, headers, length):
    """`length`: None where it shows only at the body's end."""
    lines = [b"%s %s HTTP/1.1" % (method, path), *(b"%s: %s" % pair for pair in headers)]
    if length is None:
        lines.append(CHUNKED)
    elif length or method != b"GET":
        lines.append(b"Content-Length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def answer_head(status, headers, length, close, chunked=False):
    """`length`: None where it shows only at the body's end, by its last chunk or by the connection's."""
    lines = [
        b"HTTP/1.1 %d %s" % (status, PHRASES.get(status, "").encode()),
        *(b"%s: %s" % pair for pair in headers),
    ]
    if length is not None:
        lines.append(b"Content-Length: %d" % length)
    elif chunked:
        lines.append(CHUNKED)
    if close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"
