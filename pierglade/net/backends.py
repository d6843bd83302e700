"""The backends' side: each connection has a greenlet that opens it and reads its answers until it ends."""

import gevent
from gevent import socket

from pierglade.net import reducer, sending
from pierglade.net.http import Answers, Malformed


class LinkSocket:
    def __init__(self, link, tell):
        self.link, self.tell = link, tell
        self.sock = socket.socket()
        self.answers = Answers()
        self.kept = False       # it has brought an answer before
        self.whole = False      # the last byte of the request that is out was handed to the kernel

    def run(self):
        """Opens the connection, then reads until it ends."""
        try:
            self._run()
        finally:
            self.answers.drop()

    def _run(self):
        try:
            host, _, port = self.link.address.rpartition(":")
            self.sock.connect((host, int(port)))
            sending.set_up(self.sock)
        except OSError as fault:
            return self._ended(reducer.REFUSED, f"refused: {fault.strerror or fault}")
        self.tell(reducer.UP, self.link)
        self.read()

    def read(self):
        try:
            while count := self.sock.recv_into(self.answers.room()):
                self.answers.filled(count)
                while (message := self.answers.next()) is not None:
                    # An answer that comes before its request is written whole leaves the rest in the way.
                    # What comes behind an answer, a second copy say, would answer the link's next trip.
                    message.keep = message.keep and self.whole and not self.answers.more()
                    self.kept, self.whole = True, False
                    self.tell(reducer.REPLIED, self.link, message)
                    self.answers.release()
                if self.answers.begun():
                    if self.link.state is reducer.IDLE:
                        # The next answer could not be told from bytes that nobody asked for.
                        return self._ended(reducer.BROKE, "unasked bytes")
                    self.tell(reducer.REPLYING, self.link)
        except Malformed as fault:
            return self._ended(reducer.GARBLED, f"malformed answer: {fault}")
        except OSError as fault:
            return self._ended(reducer.BROKE, f"broke: {fault.strerror or fault}")
        self._ended(reducer.BROKE, "closed by the backend")

    def _ended(self, how, reason):
        """What ended it is told with whether the request that was out was written whole."""
        self.tell(reducer.LINK_ENDED, self.link, how, self.whole, reason)

    def write(self, head, body):
        if self.kept and sending.waiting(self.sock):
            self.tell(reducer.LINK_ENDED, self.link, reducer.STALE, False, "readable while idle")
            return
        try:
            rest = sending.send_now(self.sock, head, body)
        except OSError as fault:
            self.tell(reducer.LINK_ENDED, self.link, reducer.BROKE, False, f"broke: {fault.strerror}")
            return
        if rest:
            gevent.spawn(self._write_rest, rest)
        else:
            self.whole = True

    def _write_rest(self, rest):
        try:
            self.sock.sendall(rest)
            self.whole = True
        except OSError as fault:
            # Part of the last piece may have gone: counted as written, it is never run twice.
            self.tell(reducer.LINK_ENDED, self.link, reducer.BROKE, True, f"broke: {fault.strerror}")

    def end(self):
        sending.hang_up(self.sock)
