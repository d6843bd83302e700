"""A stand-in client: one request at a time on a connection, as the protocol page says."""

import socket
from dataclasses import dataclass, field

from rig.http import ConnectionEndedError, MessageSocket


@dataclass
class Answer:
    """What a client got for one request; `status` is None if no whole answer came."""

    status: int | None
    body: bytes = b""
    fields: dict = field(default_factory=dict)
    fault: str = ""


def request_bytes(
    method: str,
    path: str,
    trace_id: str,
    expires_in_ms: int,
    body: bytes = b"",
    key: str | None = None,
    headers: tuple[str, ...] = (),
) -> bytes:
    """Returns a request as the usual clients send it."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: backend.local",
        f"X-Trace-Id: {trace_id}",
        "X-Customer: parish-schools",
        f"X-Expires-In-Ms: {expires_in_ms}",
        *headers,
    ]
    if key is not None:
        lines.append(f"Idempotency-Key: {key}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Client:
    """A connection to a node."""

    def __init__(self, port: int):
        sock = socket.create_connection(("127.0.0.1", port), 5)
        self.messages = MessageSocket(sock)

    def send(self, request: bytes):
        """Writes a request."""
        self.messages.sock.sendall(request)

    def answer(self, wait_s: float) -> Answer:
        """Waits for the answer; `wait_s`: the longest time without a byte."""
        self.messages.sock.settimeout(wait_s)
        try:
            status, fields, body = self.messages.response()
        except TimeoutError:
            return Answer(None, fault="no byte in time")
        except ConnectionEndedError as error:
            return Answer(None, fault=f"connection ended: {error}")
        except OSError as error:
            return Answer(None, fault=f"connection lost: {error}")
        return Answer(status, body, fields)

    def close(self):
        """Closes the connection."""
        self.messages.sock.close()
