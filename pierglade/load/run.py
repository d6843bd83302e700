"""Sends what was planned: one process, or several that share one plan."""

import asyncio
import gc
import itertools
import multiprocessing
import os
import random
import resource
import signal
import time

from pierglade.audit.ledger import Ledger
from pierglade.errors import PiergladeError
from pierglade.load.client import CLOSED, Pool, Request
from pierglade.load.recorder import LatencyRecorder

AHEAD = 0.0005  # s; what is due so soon is sent at once, as the loop's timer is no finer
LEDGER_MB = 512.0  # of a worker's ledger
FLUSH_LINES = 500  # lines of it that are written at once
FLUSH_S = 0.25  # s; no line of it waits longer
LINGER_S = 0.3  # s; with a ledger, for answers that nobody asked for
MOST_OPEN = 20000  # connections of a worker; beyond it requests fail, and say so


class InvalidRunError(PiergladeError):
    """The run proves nothing; its text says why."""


class Load:
    """What is sent where.

    `target` is host:port; `path` begins with a slash. `retries`: further tries after a rejection
    or a failure, `retry_s` apart and, if `doubled`, doubled, marked X-Second-Try where `marks`;
    `abandon_share`: share of the requests whose client goes away after half of its timeout.
    `repeats`: the idempotency of each request class of `rows`, in a plan's words; without it
    `method` serves all. `node`: a name for the target in the ledger.
    """

    def __init__(
        self,
        target,
        path,
        moments,
        method="GET",
        headers=(),
        timeout_s=10.0,
        reuses=True,
        retries=0,
        retry_s=0.2,
        marks=False,
        abandon_share=0.0,
        seed=1,
        rows=None,
        body=b"",
        ledger="",
        doubled=True,
        repeats=None,
        node="",
    ):
        self.target, self.path, self.moments, self.method = target, path, moments, method
        self.headers, self.timeout_s, self.reuses = list(headers), timeout_s, reuses
        self.retries, self.retry_s, self.marks, self.abandon_share, self.seed = (
            retries,
            retry_s,
            marks,
            abandon_share,
            seed,
        )
        self.rows, self.body, self.ledger = rows, body, ledger
        self.doubled, self.repeats, self.node = doubled, repeats, node


class _Sender:
    def __init__(self, load, share, begins, tally):
        self.load, self.tally, self.loop = load, tally, asyncio.get_running_loop()
        self.pool = Pool(load.target, self.loop, load.reuses)
        self.moments = load.moments[share[0] :: share[1]].tolist()
        self.numbers = itertools.count(share[0], share[1])
        self.begins, self.pending, self.all_sent = begins, 0, False
        self.done = asyncio.Event()
        self.most_open = min(MOST_OPEN, resource.getrlimit(resource.RLIMIT_NOFILE)[0] - 64)
        self.prefix = f"{os.getpid():x}{time.time_ns() & 0xFFFFFF:x}"
        self.chance = random.Random(load.seed * 1000003 + share[0]).random
        tally.counts["planned"] += len(self.moments)
        ahead = time.time() - time.monotonic()  # one clock with the backends', and no step of it
        path = load.ledger and (load.ledger if share[1] == 1 else f"{load.ledger}.{share[0]}")
        self.ledger = Ledger(path, LEDGER_MB, lambda: (ahead + time.monotonic()) * 1000)
        self.pool.on_unsolicited = self._unsolicited
        self.request_class = (
            load.path.split("/")[1].partition("?")[0] if load.path[:1] == "/" else ""
        )

    def data(self, number, tries):
        """The bytes of a try."""
        load, row = self.load, self.load.rows[number] if self.load.rows else None
        path = f"/{row.request_class}/x" if row and row.request_class else load.path
        method, repeats = load.method, load.repeats and load.repeats[row.request_class]
        if repeats:
            method = "GET" if repeats == "harmless" else "POST"
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {load.target}",
            f"X-Trace-Id: {self.id(number, tries)}",
            f"X-Expires-In-Ms: {max(1, int(load.timeout_s * 1000))}",
            *load.headers,
        ]
        if row and row.customer:
            lines.append(f"X-Customer: {row.customer}")
        if tries and load.marks:
            lines.append("X-Second-Try: 1")
        if repeats == "stamped":
            lines.append(f"Idempotency-Key: {self.prefix}-{number}")
        body = b"x" * row.size if row and row.size else load.body
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body

    def id(self, number, tries):
        """The id of a try."""
        return f"{self.prefix}-{number}-{tries}"

    def _unsolicited(self, request, status):
        """An answer to what was answered already."""
        number, _, _, tries = request.context
        self.ledger.note("answer", id=self.id(number, tries), status=status, unasked=True)

    async def play(self):
        """All that is due is sent when it is due, whatever has become of the rest."""
        self._flush()
        clock, sent = time.monotonic, 0
        count, moments = len(self.moments), self.moments
        while sent < count:
            now = clock() - self.begins
            while sent < count and moments[sent] <= now + AHEAD:
                self.send(next(self.numbers), moments[sent], 0)
                sent += 1
                now = clock() - self.begins
            if sent < count:
                await asyncio.sleep(max(0.0, moments[sent] - now))
        self.all_sent = True
        self._look_if_done()
        await self.done.wait()
        if self.ledger.is_open:
            await asyncio.sleep(LINGER_S)  # a second answer would come now
        self.pool.close()
        self.ledger.close()

    def _flush(self):
        """Whoever stops the run finds all but the last of it written down."""
        if self.ledger.is_open:
            self.ledger.flush()
            self.loop.call_later(FLUSH_S, self._flush)

    def send(self, number, planned, tries):
        """Sends a try of the request with that number, planned for that moment."""
        self.pending += 1
        now = time.monotonic() - self.begins
        if not tries:
            self.tally.counts["sent"] += 1
            self.tally.add("late", now - planned)
        request = Request(self.data(number, tries), self.ended, (number, planned, now, tries))
        if self.ledger.is_open:
            row = self.load.rows[number] if self.load.rows else None
            self.ledger.note(
                "sent",
                id=self.id(number, tries),
                tries=tries,
                number=number,
                node=self.load.node,
                offering=row.request_class if row and row.request_class else self.request_class,
                late_ms=0.0 if tries else round((now - planned) * 1000, 1),
            )
        if self.pool.open >= self.most_open and not self.pool.idle:
            request.timer = self.loop.call_later(0, lambda: None)
            return self.pool.ended(request, 0, "", "too many connections")
        self.pool.send(request, self.load.timeout_s)
        if self.load.abandon_share and self.chance() < self.load.abandon_share:
            self.loop.call_later(self.load.timeout_s / 2, self.pool.leave, request)

    def ended(self, request, status, backend, reason):
        """A try has ended: it is counted, and retried if the load says so."""
        number, planned, sent, tries = request.context
        now = time.monotonic() - self.begins
        self.pending -= 1
        self.tally.add("service", now - sent)
        if self.ledger.is_open:
            fields = {"status": status} if status else {"why": reason or CLOSED}
            self.ledger.note("answer" if status else "left", id=self.id(number, tries), **fields)
            if self.ledger.pending >= FLUSH_LINES:
                self.ledger.flush()
        is_retried = status != 200 and tries < self.load.retries
        if is_retried:
            self.pending += 1
            wait = self.load.retry_s * (2**tries if self.load.doubled else 1)
            self.loop.call_later(wait, self._retry, number, planned, tries + 1)
        else:
            self.tally.add("latency", now - planned)
            self.tally.ended(status, reason or CLOSED)
        self._look_if_done()

    def _retry(self, number, planned, tries):
        self.pending -= 1
        self.send(number, planned, tries)

    def _look_if_done(self):
        if self.all_sent and not self.pending:
            self.done.set()


def _work(load, share, begins, pipe):
    """One worker process."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    tally = LatencyRecorder()

    async def _send_all():
        await _Sender(load, share, begins, tally).play()

    gc.freeze()
    gc.disable()  # a collection is a stall of the sender; what it leaves is bounded by the plan
    asyncio.run(_send_all())
    pipe.send_bytes(tally.encoded())
    pipe.close()


def play(load, workers=1):
    """Plays a Load; returns its LatencyRecorder.

    Raises InvalidRunError where a worker ended before its plan, and KeyboardInterrupt with what was
    seen so far as its first argument where it is stopped.
    """
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))  # a stall takes a connection a request
    begins = time.monotonic() + (0.05 if workers == 1 else 0.3 + 0.1 * workers)
    if workers == 1:
        tally = LatencyRecorder()

        async def _send_all():
            await _Sender(load, (0, 1), begins, tally).play()

        try:
            asyncio.run(_send_all())
        except KeyboardInterrupt:
            raise KeyboardInterrupt(tally) from None
        return tally
    worker_pool = WorkerPool([(load, (number, workers)) for number in range(workers)], begins)
    try:
        return worker_pool.collect()
    except KeyboardInterrupt:
        raise KeyboardInterrupt(worker_pool.tally) from None
    finally:
        worker_pool.end()


class WorkerPool:
    """Worker processes that send at once.

    `jobs`: a (Load, share) each; `begins`: the monotonic moment at which all begin.
    """

    def __init__(self, jobs, begins):
        self.tally, self.children = LatencyRecorder(), []
        context = multiprocessing.get_context("fork")
        for load, share in jobs:
            ours, theirs = context.Pipe(False)
            child = context.Process(target=_work, args=(load, share, begins, theirs), daemon=True)
            child.start()
            theirs.close()
            self.children.append((child, ours))

    def collect(self):
        """The LatencyRecorder of all, once the last has ended.

        Raises InvalidRunError where one ended before its plan.
        """
        for number, (child, pipe) in enumerate(self.children):
            try:
                self.tally.merge(pipe.recv_bytes())
            except EOFError:
                child.join()
                how = f"worker {number} ended with {child.exitcode} before its plan"
                raise InvalidRunError(f"{how}; the run is void") from None
        return self.tally

    def running(self) -> bool:
        """Whether a worker is still alive."""
        return any(child.is_alive() for child, _ in self.children)

    def end(self) -> None:
        """Ends all workers."""
        for child, _ in self.children:
            child.terminate()
            child.join()
