"""Sends a planned load from one worker process, or from several that split the plan."""

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

# Requests due within this time are sent at once, because the event loop's timer is no finer.
SEND_AHEAD_S = 0.0005
MAX_LEDGER_MB = 512.0  # of each worker
FLUSH_LINES = 500  # ledger lines after which the ledger is written
FLUSH_INTERVAL_S = 0.25  # longest time that a ledger line waits to be written
# Wait for unsolicited responses after the last request, if there is a ledger
UNSOLICITED_WAIT_S = 0.3
MAX_CONNECTIONS = 20000  # per worker; further requests fail as "too many connections"


class InvalidRunError(PiergladeError):
    """The result of the run is invalid; the message gives the reason."""


class Load:
    """A load on one target.

    `target` is host:port; `path` begins with a slash. `retries`: further attempts after a rejection
    or a failure, `retry_s` apart, with the wait doubled each time if `exponential_backoff`, and
    marked X-Second-Try if `marks`. `abandon_share`: fraction of the requests whose client
    disconnects after half of its timeout. `repeats`: the idempotency of each request class of
    `rows`, with the values of a plan; without it `method` applies to all requests. `node`: name of
    the target in the ledger.
    """

    def __init__(
        self,
        target,
        path,
        moments,
        method="GET",
        headers=(),
        timeout_s=10.0,
        reuses_connections=True,
        retries=0,
        retry_s=0.2,
        marks_retries=False,
        abandon_share=0.0,
        seed=1,
        rows=None,
        body=b"",
        ledger="",
        exponential_backoff=True,
        idempotency_by_class=None,
        node="",
    ):
        self.target, self.path, self.moments, self.method = target, path, moments, method
        self.headers, self.timeout_s, self.reuses_connections = (
            list(headers),
            timeout_s,
            reuses_connections,
        )
        self.retries, self.retry_s, self.marks_retries, self.abandon_share, self.seed = (
            retries,
            retry_s,
            marks_retries,
            abandon_share,
            seed,
        )
        self.rows, self.body, self.ledger = rows, body, ledger
        self.exponential_backoff, self.idempotency_by_class, self.node = (
            exponential_backoff,
            idempotency_by_class,
            node,
        )


class _Sender:
    """Sends one partition of a load: requests i, i + n, ... for `partition` (i, n)."""

    def __init__(self, load, partition, start_time, recorder):
        self.load, self.recorder, self.loop = load, recorder, asyncio.get_running_loop()
        self.pool = Pool(load.target, self.loop, load.reuses_connections)
        self.moments = load.moments[partition[0] :: partition[1]].tolist()
        self.numbers = itertools.count(partition[0], partition[1])
        self.start_time, self.pending, self.all_sent = start_time, 0, False
        self.finished = asyncio.Event()
        self.max_connections = min(
            MAX_CONNECTIONS, resource.getrlimit(resource.RLIMIT_NOFILE)[0] - 64
        )
        self.id_prefix = f"{os.getpid():x}{time.time_ns() & 0xFFFFFF:x}"
        self.random_fraction = random.Random(load.seed * 1000003 + partition[0]).random
        recorder.counts["planned"] += len(self.moments)
        # Unix time derived from the monotonic clock: comparable with the backends' ledger, and not
        # subject to clock steps.
        clock_offset = time.time() - time.monotonic()
        path = load.ledger and (
            load.ledger if partition[1] == 1 else f"{load.ledger}.{partition[0]}"
        )
        self.ledger = Ledger(path, MAX_LEDGER_MB, lambda: (clock_offset + time.monotonic()) * 1000)
        self.pool.on_unsolicited = self._note_unsolicited
        self.request_class = (
            load.path.split("/")[1].partition("?")[0] if load.path[:1] == "/" else ""
        )

    def encode(self, number, retry):
        """Returns the encoded request; `retry` is 0 for the first attempt."""
        load, row = self.load, self.load.rows[number] if self.load.rows else None
        path = f"/{row.request_class}/x" if row and row.request_class else load.path
        method, idempotency = (
            load.method,
            load.idempotency_by_class and load.idempotency_by_class[row.request_class],
        )
        if idempotency:
            method = "GET" if idempotency == "harmless" else "POST"
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {load.target}",
            f"X-Trace-Id: {self.attempt_id(number, retry)}",
            f"X-Expires-In-Ms: {max(1, int(load.timeout_s * 1000))}",
            *load.headers,
        ]
        if row and row.customer:
            lines.append(f"X-Customer: {row.customer}")
        if retry and load.marks_retries:
            lines.append("X-Second-Try: 1")
        if idempotency == "stamped":
            lines.append(f"Idempotency-Key: {self.id_prefix}-{number}")
        body = b"x" * row.size if row and row.size else load.body
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body

    def attempt_id(self, number, retry):
        """Returns the id of an attempt."""
        return f"{self.id_prefix}-{number}-{retry}"

    def _note_unsolicited(self, request, status):
        """Records a further response to a request that was answered already."""
        number, _, _, retry = request.context
        self.ledger.note("answer", id=self.attempt_id(number, retry), status=status, unasked=True)

    async def send_all(self):
        """Sends each request at its planned time, whether or not earlier ones have finished."""
        self._flush()
        clock, sent = time.monotonic, 0
        count, moments = len(self.moments), self.moments
        while sent < count:
            now = clock() - self.start_time
            while sent < count and moments[sent] <= now + SEND_AHEAD_S:
                self.send(next(self.numbers), moments[sent], 0)
                sent += 1
                now = clock() - self.start_time
            if sent < count:
                await asyncio.sleep(max(0.0, moments[sent] - now))
        self.all_sent = True
        self._check_finished()
        await self.finished.wait()
        if self.ledger.is_open:
            # An unsolicited second response would arrive within this time.
            await asyncio.sleep(UNSOLICITED_WAIT_S)
        self.pool.close()
        self.ledger.close()

    def _flush(self):
        """Writes the ledger periodically, so that little is lost when the process is stopped."""
        if self.ledger.is_open:
            self.ledger.flush()
            self.loop.call_later(FLUSH_INTERVAL_S, self._flush)

    def send(self, number, planned, retry):
        """Sends an attempt of request `number`, which was planned for the time `planned`."""
        self.pending += 1
        now = time.monotonic() - self.start_time
        if not retry:
            self.recorder.counts["sent"] += 1
            self.recorder.add("late", now - planned)
        request = Request(
            self.encode(number, retry), self._on_finished, (number, planned, now, retry)
        )
        if self.ledger.is_open:
            row = self.load.rows[number] if self.load.rows else None
            self.ledger.note(
                "sent",
                id=self.attempt_id(number, retry),
                tries=retry,
                number=number,
                node=self.load.node,
                offering=row.request_class if row and row.request_class else self.request_class,
                late_ms=0.0 if retry else round((now - planned) * 1000, 1),
            )
        if self.pool.open_count >= self.max_connections and not self.pool.idle:
            request.timer = self.loop.call_later(0, lambda: None)
            return self.pool.finish(request, 0, "", "too many connections")
        self.pool.send(request, self.load.timeout_s)
        if self.load.abandon_share and self.random_fraction() < self.load.abandon_share:
            self.loop.call_later(self.load.timeout_s / 2, self.pool.abandon, request)

    def _on_finished(self, request, status, backend, reason):
        """Records a finished attempt and schedules a retry if the load has one left."""
        number, planned, sent, retry = request.context
        now = time.monotonic() - self.start_time
        self.pending -= 1
        self.recorder.add("service", now - sent)
        if self.ledger.is_open:
            fields = {"status": status} if status else {"why": reason or CLOSED}
            self.ledger.note(
                "answer" if status else "left", id=self.attempt_id(number, retry), **fields
            )
            if self.ledger.pending >= FLUSH_LINES:
                self.ledger.flush()
        is_retried = status != 200 and retry < self.load.retries
        if is_retried:
            self.pending += 1
            delay_s = self.load.retry_s * (2**retry if self.load.exponential_backoff else 1)
            self.loop.call_later(delay_s, self._send_retry, number, planned, retry + 1)
        else:
            self.recorder.add("latency", now - planned)
            self.recorder.count_result(status, reason or CLOSED)
        self._check_finished()

    def _send_retry(self, number, planned, retry):
        self.pending -= 1
        self.send(number, planned, retry)

    def _check_finished(self):
        if self.all_sent and not self.pending:
            self.finished.set()


def _run_worker(load, partition, start_time, pipe):
    """Runs one worker process; sends its encoded LatencyRecorder through `pipe`."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    recorder = LatencyRecorder()

    async def _send_all():
        await _Sender(load, partition, start_time, recorder).send_all()

    gc.freeze()
    # A garbage collection would stall the sender; the garbage is bounded by the size of the plan.
    gc.disable()
    asyncio.run(_send_all())
    pipe.send_bytes(recorder.encoded())
    pipe.close()


def run_load(load, workers=1):
    """Sends a Load with `workers` processes; returns its LatencyRecorder.

    Raises InvalidRunError if a worker exits before it has sent its part of the plan. When it is
    interrupted, raises KeyboardInterrupt with the LatencyRecorder so far as its first argument.
    """
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    # During a stall of the target each new request takes a connection of its own.
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    start_time = time.monotonic() + (0.05 if workers == 1 else 0.3 + 0.1 * workers)
    if workers == 1:
        recorder = LatencyRecorder()

        async def _send_all():
            await _Sender(load, (0, 1), start_time, recorder).send_all()

        try:
            asyncio.run(_send_all())
        except KeyboardInterrupt:
            raise KeyboardInterrupt(recorder) from None
        return recorder
    worker_pool = WorkerPool([(load, (number, workers)) for number in range(workers)], start_time)
    try:
        return worker_pool.collect()
    except KeyboardInterrupt:
        raise KeyboardInterrupt(worker_pool.recorder) from None
    finally:
        worker_pool.end()


class WorkerPool:
    """Worker processes that send in parallel.

    `jobs`: a (Load, partition) for each worker; `start_time`: the time on the monotonic clock at
    which all of them start to send.
    """

    def __init__(self, jobs, start_time):
        self.recorder, self.children = LatencyRecorder(), []
        context = multiprocessing.get_context("fork")
        for load, partition in jobs:
            parent_end, child_end = context.Pipe(False)
            child = context.Process(
                target=_run_worker, args=(load, partition, start_time, child_end), daemon=True
            )
            child.start()
            child_end.close()
            self.children.append((child, parent_end))

    def collect(self):
        """Waits for all workers; returns their merged LatencyRecorder.

        Raises InvalidRunError if a worker exits before it has sent its part of the plan.
        """
        for number, (child, pipe) in enumerate(self.children):
            try:
                self.recorder.merge(pipe.recv_bytes())
            except EOFError:
                child.join()
                exit_text = f"worker {number} exited with status {child.exitcode}"
                raise InvalidRunError(
                    f"{exit_text} before the end of its plan; the result is invalid"
                ) from None
        return self.recorder

    def running(self) -> bool:
        """Whether a worker process is alive."""
        return any(child.is_alive() for child, _ in self.children)

    def end(self) -> None:
        """Terminates all worker processes."""
        for child, _ in self.children:
            child.terminate()
            child.join()
