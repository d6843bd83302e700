"""The stand-in's discovery agent: the whole list, and a watch that tells what has changed."""

import asyncio

import msgspec

LIST = "/registry/instances"
KEPT = 4096  # changes; whoever asks from before the first of them gets the whole list
HEAD_MOST = 16384  # bytes of a request
BACKLOG = 4096  # connections that the kernel holds; hundreds of watches come back at once


class Agent:
    """What nodes are told of backends. Entries are told `notice_s` after they were changed."""

    def __init__(self, fleet):
        self.fleet, self.clock = fleet, fleet.clock
        self.entries, self.index = {}, 1
        self.changes = []  # (index, entry)
        self.told = asyncio.Event()
        self.silent = False
        self.late_by, self.broken = 0.0, False
        self.watches, self.server, self.address = set(), None, ""
        self.sent = self.heard = 0  # bytes of HTTP, over all connections
        self.encode = msgspec.json.Encoder().encode
        self.lines = {}  # version: the line that tells what came after it, made once for all watches

    async def start(self, port):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=HEAD_MOST, backlog=BACKLOG
        )
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    async def stop(self):
        if self.server is not None:
            self.server.close()
            for task in list(self.watches):
                task.cancel()

    def first(self, entries):
        """What holds from the start on, told at once."""
        self.entries = {entry["name"]: entry for entry in entries}
        self.lines.clear()

    def changed(self, entry, at_once=False):
        """An entry is another one from now on; it is told later."""
        span = 0.0 if at_once else (self.fleet.plan.discovery.notice_s + self.late_by) * 10000
        self.clock.after(span, self._tell, entry)

    def _tell(self, entry):
        self.index += 1
        self.lines.clear()
        if entry["status"] == "DELETED":
            self.entries.pop(entry["name"], None)
        else:
            self.entries[entry["name"]] = entry
        self.changes.append((self.index, entry))
        del self.changes[:-KEPT]
        self.fleet.ledger.note("listed", backend=entry["name"], state=entry["status"])
        self.wake()

    def wake(self):
        """Whoever watches looks again."""
        self.told.set()
        self.told = asyncio.Event()

    def whole(self):
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def since(self, index):
        """What has changed since that version, or the whole list where that is not known any more."""
        oldest = self.changes[0][0] - 1 if self.changes else self.index
        if not oldest <= index <= self.index:
            return self.whole()
        # One version a change, so those after it need not be looked for among thousands.
        later = self.changes[len(self.changes) - (self.index - index) :]
        latest = {entry["name"]: entry for _, entry in later}
        return {"index": self.index, "snapshot": False, "endpoints": list(latest.values())}

    def _line(self, index):
        """The line of a watch that tells what has changed since that version; empty if nothing has."""
        line = self.lines.get(index)
        if line is None:
            document = self.since(index)
            line = self.encode(document) if document["endpoints"] or document["snapshot"] else b""
            self.lines[index] = line = line + b"\n"
        return line

    def _write(self, writer, data):
        self.sent += len(data)
        writer.write(data)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.watches.add(task)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                self.heard += len(head)
                target = head.split(" ", 2)[1] if head.count(" ") > 1 else ""
                path, _, query = target.partition("?")
                while self.silent:
                    await self.told.wait()
                if path != LIST:
                    self._write(writer, b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                elif "follow=1" in query:
                    return await self._watch(writer, query)
                else:
                    body = self.encode(self.whole())
                    self._write(
                        writer,
                        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                        b"Content-Length: %d\r\n\r\n" % len(body) + body,
                    )
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            OSError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self.watches.discard(task)
            writer.close()

    async def _watch(self, writer, query):
        since = next((part[6:] for part in query.split("&") if part.startswith("since=")), "")
        index = int(since) if since.isdigit() else 0
        self._write(
            writer,
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n",
        )
        while True:
            if not self.silent:
                line, upto = self._line(index), self.index
                if self.broken:
                    # In the middle of a line: half a change must not be taken for one.
                    self._write(writer, b"%x\r\n%s" % (len(line), line[: len(line) // 2]))
                    await writer.drain()
                    return
                self._write(writer, b"%x\r\n%s\r\n" % (len(line), line))
                await writer.drain()
                index = upto
            told = self.told
            if self.silent or index == self.index:
                try:
                    await asyncio.wait_for(told.wait(), self.fleet.plan.discovery.heartbeat_s)
                except asyncio.TimeoutError:
                    pass
