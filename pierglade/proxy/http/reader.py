"""Reads HTTP/1.1 messages: httptools parses heads and chunks; bodies are slices of the buffer."""

import httptools

from pierglade.proxy.http.head import (
    HEADER_LINES,
    MAX_HEAD_BYTES,
    MAX_HEAD_FIELDS,
    REQUEST_HEAD,
    RESPONSE_HEAD,
    BodyFraming,
    ProtocolError,
    body_framing,
    previewed_request,
)
from pierglade.proxy.http.message import Message

MAX_BUFFERED_BODY_BYTES = 65536  # a larger body is streamed
MAX_REQUEST_BODY_BYTES = 1 << 26  # operators expect bodies of up to 32 MB
STREAM_BUFFER_BYTES = 1 << 15  # maximum size of one read from a streamed body
INITIAL_BUFFER_BYTES = 4096  # nearly all heads fit
FIELD_BYTES = 300  # memory of a parsed field, beside its text
FREE_FIELDS = 16  # fields whose memory is not counted; usual heads have fewer
# Limit on a chunked body including its framing, as a multiple of the maximum body size. A larger
# body has more framing than data.
MAX_CHUNKING_OVERHEAD = 4
CHUNK_LINES_PER_STEP = 200  # parsed at once; each takes some microseconds
MAX_CHUNK_LINE_BYTES = 4096  # a line between or after chunks; extensions and trailers are short
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
MAX_INTERIM_RESPONSES = 8  # 1xx responses before the final one; backends need no more
MAX_RESPONSE_BODY_BYTES = 1 << 30  # large responses are streamed, not buffered


class ChunkFramer:
    """Splits a chunked body so that the parser never gets a byte of the following message.

    The parser is fed the lines between chunks one by one, and the data of a chunk up to its end.
    """

    __slots__ = ("has_size", "line", "line_ended", "remaining")

    def __init__(self):
        # Remaining bytes of the current chunk, and what was read of the line between two chunks.
        self.remaining, self.line = 0, b""
        self.line_ended = self.has_size = False

    def end_of_step(self, buffer: bytearray, position: int, end: int) -> int:
        """Returns the position up to which the parser may be fed; raises ProtocolError."""
        self.has_size = False
        if self.remaining:
            limit = min(end, position + self.remaining)
            self.remaining -= limit - position
            return limit
        newline = buffer.find(b"\n", position, end)
        limit = newline + 1 if newline >= 0 else end
        self.line += bytes(buffer[position:limit])
        if len(self.line) > MAX_CHUNK_LINE_BYTES:
            raise ProtocolError(400, "endless line between chunks")
        self.line_ended = newline >= 0
        return limit

    def step_parsed(self):
        """Records that the step was parsed; `has_size` is set if it contained a chunk size."""
        if self.has_size:
            self.remaining = int(self.line.partition(b";")[0], 16)
        if self.line_ended:
            self.line, self.line_ended = b"", False


class ChunkCallbacks:
    """Passes on to a reader what a parser calls back about a chunked body, and nothing else."""

    def __init__(self, message_reader: "MessageReader"):
        self.on_body = message_reader.on_body
        self.on_chunk_header = message_reader.on_chunk_header
        self.on_message_complete = message_reader.on_message_complete


def chunk_parser(message_reader: "MessageReader") -> httptools.HttpRequestParser:
    """Returns a parser to be fed the chunked body of the message that is being read."""
    parser = httptools.HttpRequestParser(ChunkCallbacks(message_reader))
    parser.feed_data(CHUNKED_HEAD)
    return parser


class MessageReader:
    """Reads one direction of a connection: a buffer to read into, and the messages in it."""

    parser_type = None
    max_body_bytes, max_buffered_bytes = MAX_REQUEST_BODY_BYTES, MAX_BUFFERED_BODY_BYTES
    head = None  # the grammar of a whole head

    def __init__(self):
        self.buffer = bytearray(INITIAL_BUFFER_BYTES)
        self.view = memoryview(self.buffer)
        self.position = self.end = 0  # positions up to which the buffer was parsed and filled
        self.in_use = False  # whether the message that `next` returned is still in use
        self.interim_count = 0  # interim responses read before the current message
        self.stream_buffer_bytes = STREAM_BUFFER_BYTES
        # Most lines and data of chunks that one call parses; None: all that was read.
        self.max_chunk_lines = None
        self.has_unparsed = False  # whether the last call stopped there
        self._begin()

    def _begin(self):
        self.start, self.has_unparsed = self.position, False
        self.message = Message()
        self.parser = self.parser_type(self)
        self.head_complete = False  # the head was parsed
        self.is_streamed = False  # the body is streamed: returned piece by piece
        self.until_end = False  # the body ends with the connection
        self.remaining = 0  # remaining bytes of a streamed body with a length
        self.body_start = 0  # position in the buffer
        self.length = 0  # bytes of a body with a length
        self.unsized_body = None  # what was read of a body whose length is known only at its end
        self.chunk_framer = None  # the ChunkFramer of a chunked body
        # Bytes read of a chunked body, with and without the framing of its chunks.
        self.chunked_size = self.unsized_size = 0
        self.body_complete = False  # the body was read to its end

    def has_begun(self) -> bool:
        """Returns whether a message has begun that is not complete yet."""
        return not self.in_use and self.end > self.start

    def body_bytes_received(self) -> int | None:
        """Returns the bytes read after the current head; None while the head is incomplete."""
        if not self.head_complete:
            return None
        return self.chunked_size if self.unsized_body is not None else self.end - self.body_start

    def unsized_body_bytes(self) -> int | None:
        """Returns the bytes read of a body whose length is known only at its end.

        None if no such body is being read, or if it is streamed already.
        """
        is_final = self.message.status // 100 != 1
        if self.unsized_body is None or self.in_use or self.body_complete or not is_final:
            return None
        return self.unsized_size

    def begin_stream(self) -> Message | None:
        """Returns the message being read, whose body is streamed from now on.

        None if its head is not complete yet, or if it is complete or streamed already.
        """
        is_final = self.message.status // 100 != 1
        if not self.head_complete or self.in_use or self.body_complete or not is_final:
            return None
        self.is_streamed = self.in_use = True
        return self.message

    def has_more(self) -> bool:
        """Returns whether bytes follow the current message."""
        return self.end > self.position

    def expects_continue(self) -> bool:
        """Returns whether the sender waits for 100 Continue before it sends the body."""
        return (
            self.head_complete
            and not self.body_complete
            and self.end == self.body_start
            and self.message.fields.get(b"expect", b"").lower() == b"100-continue"
        )

    def writable(self):
        """Returns the view to read into; None while a message is in use and the buffer is full.

        Bytes are moved only here, so that a pending read into the view returned last stays valid.
        """
        if self.is_streamed:
            if self.position == self.end:
                self.position = self.end = self.start = 0
                if len(self.buffer) != self.stream_buffer_bytes:
                    self.buffer = bytearray(self.stream_buffer_bytes)
                    self.view = memoryview(self.buffer)
        elif not self.in_use:
            if self.unsized_body is not None and self.position == self.end:
                # The parsed part of a chunked body is stored elsewhere; its space is reused.
                self.position = self.end = self.body_start
            if self.start == self.end and (self.end or len(self.buffer) > INITIAL_BUFFER_BYTES):
                self._move(INITIAL_BUFFER_BYTES)  # Releases the memory of a large message.
            elif self.end == len(self.buffer):
                self._grow()
        return self.view[self.end :] if self.end < len(self.buffer) else None

    def _grow(self):
        """Makes room behind what was read: twice of that, or the rest of a body if that is less."""
        message_size = self.body_start - self.start + self.length
        size = max(2 * (self.end - self.start), INITIAL_BUFFER_BYTES)
        if self.end - self.start < message_size <= self.max_buffered_bytes + MAX_HEAD_BYTES:
            size = min(size, message_size)
        self._move(size)

    def _move(self, size):
        """Moves the current message to the front of a buffer of `size` bytes."""
        unparsed = self.end - self.start
        new_buffer = self.buffer if size == len(self.buffer) else bytearray(size)
        new_buffer[:unparsed] = bytes(self.view[self.start : self.end])
        self.buffer, self.view = new_buffer, memoryview(new_buffer)
        self.position, self.end = self.position - self.start, unparsed
        self.body_start -= self.start if self.body_start else 0
        self.start = 0

    def extra_bytes(self) -> int:
        """Returns the memory that is held beside a small buffer and the fields of a usual head."""
        extra = len(self.buffer) - INITIAL_BUFFER_BYTES
        if (field_count := len(self.message.headers)) > FREE_FIELDS:
            extra += FIELD_BYTES * (field_count - FREE_FIELDS)
        return extra if self.unsized_body is None else extra + len(self.unsized_body)

    def filled(self, byte_count: int):
        """Records that `byte_count` bytes were read into the view that `writable` returned."""
        self.end += byte_count

    def preview(self) -> tuple | None:
        """Returns (method, target, fields) of a request that needs no parser, else None.

        See `head.previewed_request`.
        """
        if self.in_use or self.position != self.start:
            return None
        return previewed_request(self.buffer, self.start, self.end)

    def skip(self):
        """Discards the request in the buffer, as it was answered without the parser."""
        self.start = self.position = self.end

    def release(self):
        """Records that the message is no longer in use."""
        self.in_use = False
        self._begin()

    def drop(self):
        """Breaks the reference cycle of parser and reader.

        The cycle would keep the buffer in memory until the next garbage collection.
        """
        self.parser = None

    def next(self) -> Message | None:
        """Returns the next message, or None; it is in use until `release` is called.

        A message whose body is streamed is returned before the body is complete.

        Raises:
            ProtocolError: the data read is not an acceptable message.
        """
        if self.in_use:
            return None
        while self.head_complete or self._read_head():
            if self.until_end:
                self.unsized_body += self.view[self.position : self.end]
                self.unsized_size += self.end - self.position
                self.position = self.end
            elif self.unsized_body is not None:
                self._read_chunks()
            elif self.length <= self.max_buffered_bytes:
                message_end = self.body_start + self.length
                if self.end < message_end:
                    return None
                self.message.body = self.view[self.body_start : message_end]
                self.position, self.body_complete = message_end, True
            if not self.body_complete:
                if self.unsized_body is not None and self.unsized_size <= self.max_buffered_bytes:
                    return None
                self.is_streamed = self.in_use = True
                return self.message
            if self.unsized_body is not None:
                self.message.body, self.unsized_body = self.unsized_body, bytearray()
            if self.message.status // 100 != 1:
                self.in_use, self.interim_count = True, 0
                return self.message
            self.interim_count += 1  # The final response follows.
            if self.interim_count > MAX_INTERIM_RESPONSES or self.message.status == 101:
                raise ProtocolError(
                    400, "too many interim responses, or one that switches protocols"
                )
            self._begin()
        return None

    def piece(self) -> bytes:
        """Returns the bytes of a streamed body read since the last piece.

        `body_complete` is set once the body was read to its end.
        """
        if self.unsized_body is None:
            limit = min(self.end, self.position + self.remaining)
            piece = bytes(self.view[self.position : limit])
            self.remaining -= len(piece)
            self.position, self.body_complete = limit, not self.remaining
            return piece
        if self.until_end:
            self.unsized_body += self.view[self.position : self.end]
            self.position = self.end
        elif not self.body_complete:
            self._read_chunks()
        piece, self.unsized_body = bytes(self.unsized_body), bytearray()
        return piece

    def ended(self) -> bool:
        """Records that the connection has ended; returns whether that ends the current message."""
        if not self.until_end or self.body_complete:
            return False
        self.body_complete = True
        if not self.is_streamed:
            self.message.body, self.unsized_body = self.unsized_body, bytearray()
            self.in_use = True
        return True

    def _read_head(self):
        """Checks the head as far as it was read; parses it once complete; returns whether it is."""
        buffer = self.buffer
        while self.position == self.start and buffer.startswith(b"\r\n", self.start, self.end):
            # Some old senders end a body with an extra line break.
            self.position = self.start = self.start + 2
        head_end = buffer.find(b"\r\n\r\n", max(self.start, self.position - 2), self.end)
        limit = head_end + 4 if head_end >= 0 else buffer.rfind(b"\n", self.position, self.end) + 1
        if limit - self.start > MAX_HEAD_BYTES or (
            head_end < 0 and self.end - self.start > MAX_HEAD_BYTES
        ):
            raise ProtocolError(431, "head too large")
        # One more line is the start line, and one ends the head.
        if buffer.count(b"\n", self.start, limit) > MAX_HEAD_FIELDS + 2:
            raise ProtocolError(431, "too many fields")
        if limit > self.position:
            if not (self.head if self.position == self.start else HEADER_LINES).fullmatch(
                buffer, self.position, limit
            ):
                raise ProtocolError(400, "no HTTP")
            self.position = limit
        elif self.position == self.start < self.end and not self._may_start_message(
            bytes(self.view[self.start : self.end])
        ):
            raise ProtocolError(400, "no HTTP")
        if head_end < 0:
            return False
        self._feed(self.view[self.start : limit])
        if not self.head_complete:
            raise ProtocolError(400, "no HTTP")
        self._frame_body()
        return True

    def _read_chunks(self):
        parsed_count, self.has_unparsed = 0, False
        while self.position < self.end and not self.body_complete:
            if parsed_count == self.max_chunk_lines:
                self.has_unparsed = True
                return
            parsed_count += 1
            limit = self.chunk_framer.end_of_step(self.buffer, self.position, self.end)
            self._feed(self.view[self.position : limit])
            self.chunk_framer.step_parsed()
            self.position = limit

    def _feed(self, data):
        self.chunked_size += len(data) if self.unsized_body is not None else 0
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Upgrades are not supported: the message is read and answered like any other. Its own
            # parser would take the lines of a chunked body for the head of another message.
            self.parser = chunk_parser(self)
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, ProtocolError):
                raise cause from None
            raise ProtocolError(400, f"no HTTP: {error}") from None
        if self.chunked_size > MAX_CHUNKING_OVERHEAD * self.max_body_bytes:
            raise ProtocolError(413, "body too large")

    def _frame_body(self):
        self.body_start = self.position
        framing, self.length = body_framing(self.message, self.max_body_bytes)
        self.remaining = self.length
        if framing is BodyFraming.CHUNKED:
            self.unsized_body, self.chunk_framer = bytearray(), ChunkFramer()
        elif framing is BodyFraming.NONE and not self._has_no_body():
            self.until_end, self.unsized_body = True, bytearray()
            self.message.is_reusable = False

    # Callbacks of the parser.

    def on_header(self, name, value):
        """Handles a header field (parser callback)."""
        if self.head_complete:
            # Trailers are dropped: in the forwarded head they could override fields that were
            # checked before.
            return
        value = value.strip(b" \t")
        message, lowercase_name = self.message, name.lower()
        message.headers.append((name, value, lowercase_name))
        if lowercase_name in message.fields:
            message.repeated_fields = (*message.repeated_fields, lowercase_name)
        message.fields[lowercase_name] = value

    def on_headers_complete(self):
        """Handles the end of the head (parser callback)."""
        self.head_complete = True
        self.message.is_reusable = self.parser.should_keep_alive()
        self.message.version = self.parser.get_http_version()
        self._on_head()

    def on_body(self, body):
        """Handles decoded bytes of a body (parser callback)."""
        if self.unsized_body is not None:
            self.unsized_body += body
            self.unsized_size += len(body)
            if self.unsized_size > self.max_body_bytes:
                raise ProtocolError(413, "body too large")

    def on_chunk_header(self):
        """Handles the size of a chunk (parser callback)."""
        self.chunk_framer.has_size = True

    def on_message_complete(self):
        """Handles the end of the message (parser callback)."""
        if self.unsized_body is not None:
            self.body_complete = True


class RequestReader(MessageReader):
    """Reads the requests of a downstream connection."""

    parser_type = httptools.HttpRequestParser
    head = REQUEST_HEAD

    def _may_start_message(self, start_bytes):
        return start_bytes[:1].isalpha() or start_bytes == b"\r"

    def on_url(self, url):
        """Handles bytes of the request target (parser callback)."""
        self.message.url += url

    def _on_head(self):
        self.message.method = self.parser.get_method()

    def _has_no_body(self):
        return True


class ResponseReader(MessageReader):
    """Reads the responses of an upstream connection."""

    max_body_bytes = MAX_RESPONSE_BODY_BYTES
    parser_type = httptools.HttpResponseParser
    head = RESPONSE_HEAD

    def _may_start_message(self, start_bytes):
        return start_bytes[:7] == b"HTTP/1."[: len(start_bytes)]

    def _on_head(self):
        self.message.status = self.parser.get_status_code()

    def _has_no_body(self):
        return self.message.status // 100 == 1 or self.message.status in (204, 304)
