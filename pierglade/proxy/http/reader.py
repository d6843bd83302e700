"""Reads HTTP/1.1 messages: httptools parses, and bodies stay slices of the read buffer."""

import httptools

from pierglade.proxy.http.head import (
    HEAD_MOST,
    HEADER_LINES,
    REQUEST_HEAD,
    RESPONSE_HEAD,
    BodyFraming,
    ProtocolError,
    body_framing,
    glanced_request,
)
from pierglade.proxy.http.message import Message

HELD_MOST = 65536  # bytes of a body that is held whole; a larger one is streamed
BODY_MOST = 1 << 26  # bytes of a request's body; operators expect 32 MB
STREAM_BUFFER = 1 << 15  # bytes read at once of a body that is streamed
INITIAL_BUFFER = 4096  # bytes a connection starts with; nearly all heads fit
CHUNKS_MOST = 4  # times the most of a body, as sent in chunks; beyond it is more framing than body
CHUNK_LINE_MOST = (
    4096  # bytes of a line between chunks or behind them; extensions and trailers are short
)
INTERIM_MOST = 8  # responses 1xx ahead of the final one; a backend has no use for more
RESPONSE_MOST = 1 << 30  # bytes of a response's body; none of it is held


class ChunkFramer:
    """Cuts a chunked body so that the parser is never given a byte of what follows the message.

    Lines between chunks are fed one by one, and the data of a chunk up to its end.
    """

    __slots__ = ("left", "line", "line_ended", "sized")

    def __init__(self):
        self.left, self.line = 0, b""  # bytes of the current chunk; its size line so far
        self.line_ended = self.sized = False

    def end_of_step(self, buffer: bytearray, at: int, end: int) -> int:
        """Returns up to where the parser may be fed from `at`; raises ProtocolError."""
        self.sized = False
        if self.left:
            upto = min(end, at + self.left)
            self.left -= upto - at
            return upto
        newline = buffer.find(b"\n", at, end)
        upto = newline + 1 if newline >= 0 else end
        self.line += bytes(buffer[at:upto])
        if len(self.line) > CHUNK_LINE_MOST:
            raise ProtocolError(400, "endless line between chunks")
        self.line_ended = newline >= 0
        return upto

    def fed(self):
        """Notes that the parser has seen the step; `sized`: it found a chunk's size in it."""
        if self.sized:
            self.left = int(self.line.partition(b";")[0], 16)
        if self.line_ended:
            self.line, self.line_ended = b"", False


class MessageReader:
    """One direction of a connection: a buffer to read into, and the messages in it one by one."""

    parser_type = None
    body_most, held_most = BODY_MOST, HELD_MOST
    head = None  # the grammar of a whole head

    def __init__(self):
        self.buffer = bytearray(INITIAL_BUFFER)
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
        self.flows = False  # the body is streamed: handed out piece by piece
        self.until_end = False  # the body ends with the connection
        self.left = 0  # bytes, of a streamed body with a length
        self.body_from = 0
        self.length = 0  # bytes, of a body with a length
        self.pieces = None  # of a body whose length is known only at its end
        self.chunks = None  # of a chunked body
        self.chunked_size = self.pieces_size = 0
        self.over = False

    def begun(self) -> bool:
        """Whether a message has begun that is not whole yet."""
        return not self.held and self.end > self.start

    def come(self) -> int | None:
        """Returns the bytes read behind the current head; None while the head is not whole."""
        if not self.headed:
            return None
        return self.chunked_size if self.pieces is not None else self.end - self.body_from

    def more(self) -> bool:
        """Whether bytes follow the current message."""
        return self.end > self.at

    def expects_go_on(self) -> bool:
        """Whether the sender waits for 100 Continue before it sends the body."""
        return (
            self.headed
            and not self.over
            and self.end == self.body_from
            and self.message.fields.get(b"expect", b"").lower() == b"100-continue"
        )

    def writable(self):
        """Returns where to read next; None while a whole message is in use and the buffer is full.

        Bytes are moved only here: a pending read into the view returned last must find it in place.
        """
        if self.flows:
            if self.at == self.end:
                self.at = self.end = self.start = 0
                if len(self.buffer) != STREAM_BUFFER:
                    self.buffer = bytearray(STREAM_BUFFER)
                    self.view = memoryview(self.buffer)
        elif not self.held:
            if self.pieces is not None and self.at == self.end:
                # What is parsed of a chunked body is kept in pieces, and its space is reused.
                self.at = self.end = self.body_from
            if self.start == self.end and (self.end or len(self.buffer) > INITIAL_BUFFER):
                self._move(INITIAL_BUFFER)  # A large message must not hold its memory for ever.
            elif self.body_from + self.length > len(self.buffer) and self.length <= self.held_most:
                self._move(self.body_from - self.start + self.length)
            elif self.end == len(self.buffer):
                self._move(len(self.buffer) * (1 if self.start else 2))
        return self.view[self.end :] if self.end < len(self.buffer) else None

    def _move(self, size):
        """Moves what is being read to the front of a buffer of this size."""
        rest = self.end - self.start
        fresh = self.buffer if size == len(self.buffer) else bytearray(size)
        fresh[:rest] = bytes(self.view[self.start : self.end])
        self.buffer, self.view = fresh, memoryview(fresh)
        self.at, self.end = self.at - self.start, rest
        self.body_from -= self.start if self.body_from else 0
        self.start = 0

    def filled(self, count: int):
        """Notes that `count` bytes were read into what `writable` returned."""
        self.end += count

    def preview(self) -> tuple | None:
        """Returns (method, target, fields) of what was read if that needs no parser, else None.

        See `head.glanced_request`.
        """
        if self.held or self.at != self.start:
            return None
        return glanced_request(self.buffer, self.start, self.end)

    def skip(self):
        """Discards what was read; it was answered without the parser."""
        self.start = self.at = self.end

    def release(self):
        """Notes that the message is no longer in use."""
        self.held = False
        self._begin()

    def drop(self):
        """Breaks the cycle of parser and reader, which would keep the buffer until a collection."""
        self.parser = None

    def next(self) -> Message | None:
        """Returns the next whole message, or None; the reader holds it until `release`.

        Raises:
            ProtocolError: what was read is no message that is accepted.
        """
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
            self.interims += 1  # The final response follows.
            if self.interims > INTERIM_MOST or self.message.status == 101:
                raise ProtocolError(400, "interim answers without end")
            self._begin()
        return None

    def piece(self) -> bytes:
        """Returns what was read of a streamed body since the last piece; `over`: that was all."""
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

    def ended(self) -> bool:
        """Notes that the connection has ended; returns whether that ends the current message."""
        if not self.until_end or self.over:
            return False
        self.over = True
        if not self.flows:
            self.message.body = b"".join(self.pieces)
            self.held = True
        return True

    def _read_head(self):
        """Checks what was read of the head, and parses it once whole; returns whether it is."""
        buffer = self.buffer
        while self.at == self.start and buffer.startswith(b"\r\n", self.start, self.end):
            self.at = self.start = self.start + 2  # Old senders end a body with a line too many.
        found = buffer.find(b"\r\n\r\n", max(self.start, self.at - 2), self.end)
        upto = found + 4 if found >= 0 else buffer.rfind(b"\n", self.at, self.end) + 1
        if upto - self.start > HEAD_MOST or (found < 0 and self.end - self.start > HEAD_MOST):
            raise ProtocolError(431, "head too large")
        if upto > self.at:
            if not (self.head if self.at == self.start else HEADER_LINES).fullmatch(
                buffer, self.at, upto
            ):
                raise ProtocolError(400, "no HTTP")
            self.at = upto
        elif self.at == self.start < self.end and not self._may_open(
            bytes(self.view[self.start : self.end])
        ):
            raise ProtocolError(400, "no HTTP")
        if found < 0:
            return False
        self._feed(self.view[self.start : upto])
        if not self.headed:
            raise ProtocolError(400, "no HTTP")
        self._frame_body()
        return True

    def _read_chunks(self):
        while self.at < self.end and not self.over:
            upto = self.chunks.end_of_step(self.buffer, self.at, self.end)
            self._feed(self.view[self.at : upto])
            self.chunks.fed()
            self.at = upto

    def _feed(self, data):
        self.chunked_size += len(data) if self.pieces is not None else 0
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # Not supported: the message is answered like any other.
        except httptools.HttpParserError as fault:
            cause = fault.__context__
            if isinstance(cause, ProtocolError):
                raise cause from None
            raise ProtocolError(400, f"no HTTP: {fault}") from None
        if self.chunked_size > CHUNKS_MOST * self.body_most:
            raise ProtocolError(413, "body too large")

    def _frame_body(self):
        self.body_from = self.at
        framing, self.length = body_framing(self.message, self.body_most)
        self.left = self.length
        if framing is BodyFraming.CHUNKED:
            self.pieces, self.chunks = [], ChunkFramer()
        elif framing is BodyFraming.NONE and not self._has_no_body():
            self.until_end, self.pieces, self.message.keep = True, [], False

    # Callbacks of the parser.

    def on_header(self, name, value):
        """Parser callback: one header field."""
        if self.headed:
            return  # A trailer: forwarded in the head, it could override what was checked there.
        value = value.strip(b" \t")
        message, small = self.message, name.lower()
        message.headers.append((name, value, small))
        if small in message.fields:
            message.doubled = (*message.doubled, small)
        message.fields[small] = value

    def on_headers_complete(self):
        """Parser callback: the head is whole."""
        self.headed = True
        self.message.keep = self.parser.should_keep_alive()
        self.message.version = self.parser.get_http_version()
        self._on_head()

    def on_body(self, body):
        """Parser callback: decoded bytes of a body."""
        if self.pieces is not None:
            self.pieces.append(body)
            # Summed as it arrives: a body of many small chunks must not cost more than a large one.
            self.pieces_size += len(body)
            if self.pieces_size > self.body_most:
                raise ProtocolError(413, "body too large")

    def on_chunk_header(self):
        """Parser callback: the size of a chunk was read."""
        self.chunks.sized = True

    def on_message_complete(self):
        """Parser callback: the message is whole."""
        if self.pieces is not None:
            self.over = True


class RequestReader(MessageReader):
    """Reads the requests of a downstream connection."""

    parser_type = httptools.HttpRequestParser
    head = REQUEST_HEAD

    def _may_open(self, first):
        return first[:1].isalpha() or first == b"\r"

    def on_url(self, url):
        """Parser callback: bytes of the target."""
        self.message.url += url

    def _on_head(self):
        self.message.method = self.parser.get_method()

    def _has_no_body(self):
        return True


class ResponseReader(MessageReader):
    """Reads the responses of an upstream connection."""

    body_most = RESPONSE_MOST
    parser_type = httptools.HttpResponseParser
    head = RESPONSE_HEAD

    def _may_open(self, first):
        return first[:7] == b"HTTP/1."[: len(first)]

    def _on_head(self):
        self.message.status = self.parser.get_status_code()

    def _has_no_body(self):
        return self.message.status // 100 == 1 or self.message.status in (204, 304)
