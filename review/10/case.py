"""A connection whose answer began before PUT /standby is held idle after it."""

import select
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from rig2 import rig

PIECE, PIECES, PAUSE_S = 16384, 34, 0.1  # half a MB in 3.4 s, 160 kB a second
CHECK_AT_S = 4.0


class Slow(rig.Backend):
    """Gives a long answer in pieces."""

    def answer(self, sock: socket.socket, message: rig.Message) -> bool:
        """Answers in pieces if the disruption is on, else at once and shortly."""
        if not rig.TROUBLE:
            return super().answer(sock, message)
        sock.sendall(b"HTTP/1.1 200 .\r\nContent-Length: %d\r\n\r\n" % (PIECE * PIECES))
        for _ in range(PIECES):
            sock.sendall(b"x" * PIECE)
            time.sleep(PAUSE_S)
        return True


def is_open(client: rig.Client) -> bool:
    """Returns whether the client's connection is open, with nothing to read."""
    readable, _, _ = select.select([client.sock], [], [], 0)
    return not readable  # The end of the stream and a reset would be readable.


def case(stage: rig.Stage) -> str | None:
    """Calls PUT /standby while an answer is passed on, and looks at the connection 4 s later."""
    backends = [stage.backend(name, kind=Slow) for name in ("s-1", "s-2")]
    discovery = stage.discovery([each.entry() for each in backends])
    node = stage.node(stage.config(discovery, rig.settings(list(rig.KINGSTON))))
    node.wait_ready()
    client = stage.client(node)
    client.send(rig.request_bytes("/balance-check", "check-1", 4000), "check-1")
    time.sleep(0.3)
    if node.manage("PUT", "/standby") != 200:
        raise rig.NotRunError("PUT /standby was not answered with yes")
    called = rig.seconds()
    answer = client.answer("check-1")
    answered = rig.seconds() - called
    if answer is None or answer.status != 200:
        raise rig.NotRunError("no answer")
    if answered > CHECK_AT_S - 0.2:
        raise rig.NotRunError(f"the answer took {answered:.2f} s")
    time.sleep(max(0.0, called + CHECK_AT_S - rig.seconds()))
    held = is_open(client)
    stage.record.add("check", "4 s after the call", connection="open" if held else "closed")
    if not held:
        return None
    idle = rig.seconds() - called - answered
    return f"4 s after PUT /standby a client's connection is held, idle for {idle:.2f} s"


rig.play(__file__, case)
