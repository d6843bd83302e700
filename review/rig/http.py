"""Plain reading of HTTP/1.1 messages from a blocking socket."""

import socket


class ConnectionEndedError(Exception):
    """The connection ended before the message was whole."""


class MessageSocket:
    """Reads whole messages from a socket; keeps what follows a message for the next one."""

    def __init__(self, sock: socket.socket):
        self.sock = sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""

    def fill(self, limit: int = 65536):
        """Reads more bytes."""
        try:
            data = self.sock.recv(limit)
        except TimeoutError:
            raise
        except OSError as error:
            raise ConnectionEndedError(str(error)) from None
        if not data:
            raise ConnectionEndedError("end of stream")
        self.buffer += data

    def take(self, count: int, limit: int = 65536) -> bytes:
        """Returns the next `count` bytes."""
        while len(self.buffer) < count:
            self.fill(limit)
        taken, self.buffer = self.buffer[:count], self.buffer[count:]
        return taken

    def line(self) -> bytes:
        """Returns the next line without its end."""
        while b"\r\n" not in self.buffer:
            self.fill()
        taken, _, self.buffer = self.buffer.partition(b"\r\n")
        return taken

    def head(self) -> tuple[bytes, dict[bytes, bytes]]:
        """Returns the start line and the fields (names in lower case) of the next message."""
        start = self.line()
        fields = {}
        while line := self.line():
            name, _, value = line.partition(b":")
            fields[name.lower()] = value.strip()
        return start, fields

    def body(self, fields: dict[bytes, bytes], limit: int = 65536, until_end=False) -> bytes:
        """Returns the body that the fields announce."""
        if fields.get(b"transfer-encoding", b"").lower() == b"chunked":
            parts = []
            while size := int(self.line().partition(b";")[0], 16):
                parts.append(self.take(size, limit))
                self.line()
            while self.line():
                pass
            return b"".join(parts)
        if b"content-length" in fields:
            return self.take(int(fields[b"content-length"]), limit)
        if until_end:
            try:
                while True:
                    self.fill(limit)
            except ConnectionEndedError as error:
                if str(error) != "end of stream":
                    raise
            taken, self.buffer = self.buffer, b""
            return taken
        return b""

    def response(self) -> tuple[int, dict[bytes, bytes], bytes]:
        """Returns status, fields and body of the next response."""
        start, fields = self.head()
        status = int(start.split(b" ")[1])
        return status, fields, self.body(fields, until_end=True)
