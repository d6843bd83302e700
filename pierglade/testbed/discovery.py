"""The discovery agent of the stand-in fleet: serves the endpoint list, and a watch on its changes."""

import asyncio

import msgspec

LIST_PATH = "/registry/instances"
MAX_CHANGES = 4096  # stored changes; a watch from before the first of them gets a full snapshot
MAX_HEAD_BYTES = 16384  # of a request
LISTEN_BACKLOG = 4096  # pending connections; hundreds of watches may reconnect at once


class DiscoveryServer:
    """Publishes the endpoint list to nodes, each change `notice_s` after it was made."""

    def __init__(self, fleet):
        self.fleet, self.clock = fleet, fleet.clock
        self.entries, self.index = {}, 1
        self.changes = []  # (index, entry)
        self.list_changed = asyncio.Event()
        self.is_silent = False
        # Seconds added to `notice_s`, and whether messages are truncated.
        self.late_by, self.truncates_messages = 0.0, False
        self.watches, self.server, self.address = set(), None, ""
        # Bytes of HTTP sent and received on all connections
        self.sent_bytes = self.received_bytes = 0
        self.encode = msgspec.json.Encoder().encode
        # Index to the encoded line with the changes since then, encoded once for all watches.
        self.encoded_lines = {}

    async def start(self, port):
        """Listens on `port`; 0 picks a free one."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=MAX_HEAD_BYTES, backlog=LISTEN_BACKLOG
        )
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    async def stop(self):
        """Stops listening and ends all connections."""
        if self.server is not None:
            self.server.close()
            for task in list(self.watches):
                task.cancel()

    def set_initial_entries(self, entries):
        """Sets the initial list, without delay."""
        self.entries = {entry["name"]: entry for entry in entries}
        self.encoded_lines.clear()

    def changed(self, entry, at_once=False):
        """Schedules the publication of a changed entry."""
        delay = 0.0 if at_once else (self.fleet.plan.discovery.notice_s + self.late_by) * 10000
        self.clock.after(delay, self._publish, entry)

    def _publish(self, entry):
        self.index += 1
        self.encoded_lines.clear()
        if entry["status"] == "DELETED":
            self.entries.pop(entry["name"], None)
        else:
            self.entries[entry["name"]] = entry
        self.changes.append((self.index, entry))
        del self.changes[:-MAX_CHANGES]
        self.fleet.ledger.note("listed", backend=entry["name"], state=entry["status"])
        self.wake()

    def wake(self):
        """Wakes all watches, which then check for changes."""
        self.list_changed.set()
        self.list_changed = asyncio.Event()

    def snapshot(self):
        """Returns the full list as a document."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def changes_since(self, index):
        """Returns the changes since `index`, or a full snapshot if they are no longer stored."""
        oldest = self.changes[0][0] - 1 if self.changes else self.index
        if not oldest <= index <= self.index:
            return self.snapshot()
        # Each change raises the index by one, so the position is computed without a search.
        later = self.changes[len(self.changes) - (self.index - index) :]
        latest = {entry["name"]: entry for _, entry in later}
        return {"index": self.index, "snapshot": False, "endpoints": list(latest.values())}

    def _encoded_line(self, index):
        """Returns the watch line with the changes since `index`; an empty line if there are none."""
        line = self.encoded_lines.get(index)
        if line is None:
            document = self.changes_since(index)
            line = self.encode(document) if document["endpoints"] or document["snapshot"] else b""
            self.encoded_lines[index] = line = line + b"\n"
        return line

    def _write(self, writer, data):
        self.sent_bytes += len(data)
        writer.write(data)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.watches.add(task)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                self.received_bytes += len(head)
                target = head.split(" ", 2)[1] if head.count(" ") > 1 else ""
                path, _, query = target.partition("?")
                while self.is_silent:
                    await self.list_changed.wait()
                if path != LIST_PATH:
                    self._write(writer, b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                elif "follow=1" in query:
                    return await self._watch(writer, query)
                else:
                    body = self.encode(self.snapshot())
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
            if not self.is_silent:
                line, line_index = self._encoded_line(index), self.index
                if self.truncates_messages:
                    # The connection ends within a line; nodes must not apply the partial line.
                    self._write(writer, b"%x\r\n%s" % (len(line), line[: len(line) // 2]))
                    await writer.drain()
                    return
                self._write(writer, b"%x\r\n%s\r\n" % (len(line), line))
                await writer.drain()
                index = line_index
            list_changed = self.list_changed
            if self.is_silent or index == self.index:
                try:
                    await asyncio.wait_for(
                        list_changed.wait(), self.fleet.plan.discovery.heartbeat_s
                    )
                except asyncio.TimeoutError:
                    pass
