"""Handles the responses of backends: forwards them to their clients, buffered or streamed."""

from pierglade.model.endpoint import LoadReportSource
from pierglade.model.outcome import Outcome
from pierglade.model.request import Idempotency
from pierglade.proxy.http import message as http
from pierglade.proxy.state.connections import (
    BUSY,
    CLOSED,
    IDLE,
)

# Times are tenths of a millisecond.
# 1 s; between two pieces of a head, or of a small body whose length is known: the response may be
# malformed and never end, so the request is retried where that is possible
RESPONSE_PIECE_TIMEOUT = 10000
MAX_TIME_LEFT_RATIO = 0.5  # of the time to the latency objective; the rest is for a retry
# 1 s; how long a response of unknown length is held back at most, so that it can still be replaced
MAX_RESPONSE_HOLD = 10000
STREAM_PIECE_TIMEOUT = 50000  # 5 s; between two pieces of a response that is being streamed
# 350 ms; after its deadline, in which a streamed response of unknown length must turn out to go on;
# a response counts as lost 500 ms after the deadline
MAX_OVERTIME = 3500
# Bytes per tick (4 kB/s): a sixteenth of the rate of slow backends. A body of unknown length that
# has arrived more slowly by then is taken for one that never ends.
MIN_STREAM_RATE = 0.4
SMALL_BODY_BYTES = 65536  # a response of up to this size is late if its last byte is
# Response headers that are not forwarded, as only the balancer needs them.
WITHHELD_HEADERS = http.HOP_BY_HOP | {b"endpoint-load-metrics"}


class ResponseRelay:
    """Handles the responses of backends."""

    def __init__(self, step, timers, downstream, upstream, attempts, health_checks):
        self.step = step
        self.timers = timers
        self.downstream = downstream
        self.upstream = upstream
        self.attempts = attempts
        self.health_checks = health_checks

    def part_received(self, connection, unsized_body_bytes=None):
        """Restarts the timeout for the next piece of a response; its reader bounds its size.

        A response of unknown length is buffered at first, so that the request can be sent again if
        the response breaks off. After some time it is streamed, as its backend may be writing a
        large one slowly.
        """
        if connection.body_stream is not None:
            self._restart_stream_timeout(connection)
        elif connection.state is BUSY:
            connection.response_began_at = connection.response_began_at or self.step.now
            connection.is_open_ended = unsized_body_bytes is not None
            if self.upstream.may_stream_response(connection):
                stream_at = connection.response_began_at + MAX_RESPONSE_HOLD
                if self.step.now >= stream_at:
                    return self.upstream.stream_response(connection)
                connection.response_piece_due_at = stream_at
            else:
                connection.response_piece_due_at = self.step.now + self._piece_timeout(connection)
            self.upstream.restart_timeout(connection)

    def _piece_timeout(self, connection):
        """Returns how long to wait for the next piece of a response that is not streamed."""
        attempt = connection.attempt
        if attempt is None or attempt.request.request_class.idempotency == Idempotency.UNSAFE:
            return RESPONSE_PIECE_TIMEOUT  # No retry is possible, so nothing is gained by haste.
        request = attempt.request
        aim = request.objective_at if self.step.now < request.objective_at else request.deadline
        time_left = int(MAX_TIME_LEFT_RATIO * (aim - self.step.now))
        return max(1, min(RESPONSE_PIECE_TIMEOUT, time_left))

    def _restart_stream_timeout(self, connection):
        if self.step.now < connection.proof_due_at:
            moment = connection.proof_due_at
        elif self._is_endless(connection):
            return self.upstream.close(connection, "endless answer")
        else:
            moment = self.step.now + STREAM_PIECE_TIMEOUT
        self.timers.set_timer(connection, moment, self._stream_timed_out)

    def _stream_timed_out(self, connection):
        # While the client reads slowly, the body stands still; its connection has a timeout of its
        # own.
        if connection.body_stream.full() or connection.proof_due_at > connection.proved_at:
            connection.proved_at = self.step.now
            return self._restart_stream_timeout(connection)
        self.upstream.close(connection, "stalled")

    def _is_endless(self, connection):
        """Returns whether a small body of unknown length has nearly stopped arriving."""
        body = connection.body_stream
        duration = self.step.now - connection.response_began_at
        return (
            connection.proof_due_at
            and not body.full()
            and body.size <= SMALL_BODY_BYTES
            and body.size < MIN_STREAM_RATE * duration
        )

    def received(self, connection, message):
        """Handles a response that is complete, or whose body is streamed from now on."""
        began_at, is_streamed_early = connection.response_began_at, connection.is_streamed_early
        connection.expect_response()
        if connection.state is IDLE:
            # The response is unsolicited. If the connection were reused, it would be mistaken for
            # the response to the next attempt.
            self.upstream.unsolicited_bytes(connection)
            return self.upstream.close(connection, "unasked answer")
        if connection.state is not BUSY:
            return
        if connection.is_health_check:
            if message.status == 200 and self.health_checks.uses_reports(
                LoadReportSource.HEALTH_CHECKS
            ):
                self.health_checks.load_reported(connection, message.body)
            self.health_checks.finished(connection, message.status == 200)
        else:
            if self.health_checks.uses_reports(LoadReportSource.RESPONSES):
                self.health_checks.load_reported(
                    connection, message.fields.get(b"endpoint-load-metrics", b"")
                )
            attempt = connection.attempt
            if self._attempt_answered(connection, message):
                if is_streamed_early:
                    connection.response_began_at = began_at
                    connection.proof_due_at = attempt.request.deadline + MAX_OVERTIME
                return self.part_received(connection)
        # A body that no client waits for would block the connection.
        self.upstream.release(connection, message.is_reusable and message.body_stream is None)

    def _attempt_answered(self, connection, message):
        """Reports a response to the balancer; returns whether its body is still to be streamed."""
        # The attempt stays attached until it is reported, so that `recover_from_fault` finds its
        # client.
        attempt = connection.attempt
        # A client error is forwarded, except 429: that would tell the client that its request was
        # not executed, which is unknown.
        rejected = 400 <= message.status < 500 and message.status != 429
        if message.status != 200 and not rejected:
            self._attempt_failed(connection, attempt, message)
            connection.attempt = None
            return False
        request = attempt.request
        is_awaited = not request.completed
        outcome = Outcome.CLIENT_ERROR if rejected else Outcome.SUCCESS
        self.attempts.report_outcome(attempt, outcome, answered=True)
        connection.attempt = None
        if not is_awaited:
            return False
        if rejected or len(request.attempts) > 1 or self.step.now > request.objective_at:
            # Fast first-attempt successes are not logged: at four times the load there were too
            # many lines.
            self.step.log(
                "client_error" if rejected else "request_succeeded",
                request_class=request.request_class.name,
                attempts=len(request.attempts),
                latency_ms=(self.step.now - request.arrived_at) / 10,
                backend=connection.backend.name,
                request_id=request.caller_context.request_id,
            )
        client, headers = request.caller_context, http.forwarded_headers(message, WITHHELD_HEADERS)
        if message.body_stream is None:
            self.downstream.respond(client, message.status, headers, message.body)
            return False
        has_body = client.message.method != b"HEAD"
        self.downstream.respond(client, message.status, headers, message.body_stream, connection)
        return has_body

    def _attempt_failed(self, connection, attempt, message):
        """Reports a response that is not forwarded to the client."""
        never_ran = message.status in (503, 504) and message.fields.get(b"x-never-ran") == b"1"
        self.step.log(
            "attempt_failed",
            backend=connection.backend.name,
            status=message.status,
            unexecuted=never_ran,
            request_id=attempt.request.caller_context.request_id,
        )
        self.attempts.report_outcome(
            attempt, Outcome.REJECTED_UNPROCESSED if never_ran else Outcome.SERVER_ERROR
        )

    def completed(self, connection, keep):
        """Releases the connection of a streamed response that is complete."""
        if connection.body_stream is None or connection.state is CLOSED:
            return
        if connection.receiver is not None:
            connection.receiver.source = None
        connection.body_stream = connection.receiver = None
        connection.expect_response()
        self.upstream.release(connection, keep)
