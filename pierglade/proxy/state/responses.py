"""Handles the responses of backends: forwards them to their clients, buffered or streamed."""

from pierglade.model.endpoint import LoadReportSource
from pierglade.model.outcome import Outcome
from pierglade.proxy.http import message as http
from pierglade.proxy.state.connections import (
    BUSY,
    CLOSED,
    IDLE,
)
from pierglade.proxy.state.effects import StreamResponse

# Times are tenths of a millisecond.
RESPONSE_PIECE_TIMEOUT = 1000  # 100 ms; between two pieces, as a malformed response may never end
# 200 ms; from the head to the first pieces of a body of unknown length, as some backends send the
# head before they have the body
BODY_START_TIMEOUT = 2000
# 1 s; how long a large response is held back at most, so that it can still be replaced
MAX_RESPONSE_HOLD = 10000
STREAM_PIECE_TIMEOUT = 50000  # 5 s; between two pieces of a response that is being streamed
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
        the response breaks off. A large one that is written slowly is streamed from some time on.
        """
        if connection.body_stream is not None:
            self.timers.set_timer(
                connection, self.step.now + STREAM_PIECE_TIMEOUT, self._stream_stalled
            )
        elif connection.state is BUSY:
            connection.response_began_at = connection.response_began_at or self.step.now
            connection.unsized_body_bytes = unsized_body_bytes
            if (
                self.step.now >= connection.response_began_at + MAX_RESPONSE_HOLD
                and self.upstream.may_stream_response(connection)
            ):
                return self.step.emit(StreamResponse(connection))
            connection.response_piece_due_at = self.step.now + RESPONSE_PIECE_TIMEOUT
            if unsized_body_bytes is not None:
                connection.response_piece_due_at = max(
                    connection.response_piece_due_at,
                    connection.response_began_at + BODY_START_TIMEOUT,
                )
            self.upstream.restart_timeout(connection)

    def _stream_stalled(self, connection):
        if connection.body_stream.full():
            # The client reads slowly; its connection has a timeout of its own.
            return self.part_received(connection)
        self.upstream.close(connection, "stalled")

    def received(self, connection, message):
        """Handles a response that is complete, or whose body is streamed from now on."""
        connection.expect_response()
        if connection.state is IDLE:
            # The response is unsolicited. If the connection were reused, it would be mistaken for
            # the response to the next attempt.
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
            if self._attempt_answered(connection, message):
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
