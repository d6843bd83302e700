"""A stand-in backend: a listening socket, a thread for each connection, one handler."""

import socket
import threading

from rig.http import ConnectionEndedError, MessageSocket


class Backend:
    """Serves each connection with `serve(backend, message_socket)`, called until it returns False.

    `receive_buffer`: size of the kernel's receive buffer; None leaves it to the system.
    """

    def __init__(self, name: str, serve, receive_buffer: int | None = None):
        self.name, self.serve = name, serve
        self.listener = socket.socket()
        if receive_buffer is not None:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock):
        messages = MessageSocket(sock)
        try:
            while self.serve(self, messages) is not False:
                pass
        except (ConnectionEndedError, OSError):
            pass
        finally:
            sock.close()

    def close(self):
        """Stops accepting."""
        self.listener.close()
