"""Responses of backends: passed to their clients, whole or as they come."""

from pierglade.model.endpoint import LoadReportSource
from pierglade.model.outcome import Outcome
from pierglade.proxy.http import message as http
from pierglade.proxy.state.connections import (
    BUSY,
    CLOSED,
    IDLE,
)

# Times are tenths of a millisecond.
REPLY_GOES_ON = 1000  # 100 ms; between the pieces of an answer; a spoilt one may never end
FLOW_GOES_ON = 50000  # 5 s; between the pieces of a response that is forwarded as it comes
KEPT_BACK = http.HOP_BY_HOP | {
    b"endpoint-load-metrics"
}  # headers of a response that are for the balancer


class ResponseRelay:
    """Takes what backends respond."""

    def __init__(self, step, timers, downstream, upstream, attempts, health_checks):
        self.step = step
        self.timers = timers
        self.downstream = downstream
        self.upstream = upstream
        self.attempts = attempts
        self.health_checks = health_checks

    def part_received(self, link):
        """A piece of a response has come, and it is not whole. Its reader bounds its size."""
        if link.flow is not None:
            self.timers.set_timer(link, self.step.now + FLOW_GOES_ON, self._flow_stalled)
        elif link.state is BUSY:
            link.replying = self.step.now + REPLY_GOES_ON
            self.upstream.watch(link)

    def _flow_stalled(self, link):
        if link.flow.full():
            return self.part_received(
                link
            )  # The client takes it slowly, and is looked after itself.
        self.upstream.close(link, "stalled")

    def received(self, link, message):
        """A whole response has come on a connection."""
        link.replying = 0
        if link.state is IDLE:
            # Nobody asked: kept, the connection would give the next attempt a response that is not
            # its own.
            return self.upstream.close(link, "unasked answer")
        if link.state is not BUSY:
            return
        if link.probing:
            if message.status == 200 and self.health_checks.uses_reports(
                LoadReportSource.HEALTH_CHECKS
            ):
                self.health_checks.load_reported(link, message.body)
            self.health_checks.finished(link, message.status == 200)
        else:
            if self.health_checks.uses_reports(LoadReportSource.RESPONSES):
                self.health_checks.load_reported(
                    link, message.fields.get(b"endpoint-load-metrics", b"")
                )
            if self._attempt_answered(link, message):
                return self.part_received(link)
        # The rest of what nobody waits for would hold up the connection.
        self.upstream.release(link, message.keep and message.flow is None)

    def _attempt_answered(self, link, message):
        """Whether the body of the response is still to be forwarded from the connection."""
        attempt, link.attempt = link.attempt, None
        # The client's own fault goes back to it; but 429 would say that nothing ran, which nobody
        # knows.
        rejected = 400 <= message.status < 500 and message.status != 429
        if message.status != 200 and not rejected:
            self._attempt_failed(link, attempt, message)
            return False
        request = attempt.request
        awaited = not request.completed
        outcome = Outcome.CLIENT_ERROR if rejected else Outcome.SUCCESS
        self.attempts.ended(attempt, outcome, done=True)
        if not awaited:
            return False
        if rejected or len(request.attempts) > 1 or self.step.now > request.objective_at:
            # What went well leaves no line: at four times the load there were too many of them.
            self.step.log(
                "client_error" if rejected else "request_succeeded",
                request_class=request.request_class.name,
                attempts=len(request.attempts),
                latency_ms=(self.step.now - request.arrived_at) / 10,
                backend=link.backend.name,
            )
        client, headers = request.host_context, http.passed_on(message, KEPT_BACK)
        if message.flow is None:
            self.downstream.respond(client, message.status, headers, message.body)
            return False
        wanted = client.message.method != b"HEAD"
        self.downstream.respond(client, message.status, headers, message.flow, link)
        return wanted

    def _attempt_failed(self, link, attempt, message):
        """A backend's response that does not go to the client."""
        never_ran = message.status in (503, 504) and message.fields.get(b"x-never-ran") == b"1"
        self.step.log(
            "attempt_failed",
            backend=link.backend.name,
            status=message.status,
            unexecuted=never_ran,
        )
        self.attempts.ended(
            attempt, Outcome.REJECTED_UNPROCESSED if never_ran else Outcome.SERVER_ERROR
        )

    def completed(self, link, keep):
        """A response that was forwarded as it came is whole."""
        if link.flow is None or link.state is CLOSED:
            return
        if link.reader is not None:
            link.reader.source = None
        link.flow = link.reader = None
        link.replying = 0
        self.upstream.release(link, keep)
