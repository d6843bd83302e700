"""From readiness to the end of a process: standby, takeover by a new version, SIGTERM."""

from pierglade.proxy.state.connections import (
    AWAITING_RESPONSE,
    CLOSED,
    IDLE,
    NEW,
    READING_REQUEST,
    DownstreamConnection,
    UpstreamConnection,
)
from pierglade.proxy.state.effects import (
    CloseListener,
    CloseWhenRead,
    Exit,
    OpenListener,
)

# Times are tenths of a millisecond.
LISTENING_TIME = (
    7000  # 0.7 s; new connections are taken so long after the stop: the front needs 0.4 s
)
LONGEST = (
    30000  # 3 s; the end may come LISTENING_TIME and the longest hard limit, this at most, after it
)
LAST_CALL = 500  # 50 ms; for what was accepted last to be read
RESPONSE_PART = 0.83  # share of the time until then by which all is answered; 3.1 s of 3.7 s


class Lifecycle:
    """Whether the process is ready, in standby, stopping or leaving."""

    def __init__(self, step, timers, balancers, descriptors, sole_process):
        self.step = step
        self.timers = timers
        self.balancers = balancers
        self.descriptors = descriptors
        self.ready = False
        self.listening = (
            sole_process  # else from the first good list on; until then the other process serves
        )
        self.stopped_at = None
        self.standby = False  # operators have its clients leave
        self.leaving = self.exiting = False
        self.rejecting = False  # after a stop: the end is so near that no request is taken any more

    def connect(self, downstream, upstream, attempts):
        """The parts that are made after this one."""
        self.downstream = downstream
        self.upstream = upstream
        self.attempts = attempts

    def become_ready(self):
        """The endpoint list is good: new connections are taken, unless the process stops."""
        self.ready = True
        if not self.listening and self.stopped_at is None:
            self.listening = True
            self.step.emit(OpenListener())

    def set_standby(self, by):
        """Standby: not ready, still listening; each client is closed after its next response."""
        if by == self.standby:
            return
        self.standby = by
        self.step.log(
            "standby" if by else "active",
            pending=len(self.downstream.by_state[AWAITING_RESPONSE]),
        )
        if by:
            self._close_idle_clients()

    def is_draining(self):
        """Whether clients are closed, after their next response at the latest."""
        return self.standby or self.stopped_at is not None

    def sole_process(self):
        """The process that served here before has ended."""
        self.descriptors.limit = self.descriptors.full_limit
        self.step.log("sole_process")

    def stop(self, followed=False):
        """Stops taking connections after a while; each client is closed after its next response."""
        if self.stopped_at is not None:
            return
        self.stopped_at = self.step.now
        self.step.log(
            "stopping",
            pending=len(self.downstream.by_state[AWAITING_RESPONSE]),
            successor_running=followed,
        )
        if followed:
            self.descriptors.limit = min(self.descriptors.limit, self.descriptors.full_limit // 2)
            while self.descriptors.open > self.descriptors.limit and self.upstream.by_state[IDLE]:
                self.upstream.close(next(iter(self.upstream.by_state[IDLE])), "yielded")
        self._close_idle_clients()
        # Where no limit is long the end comes soon: by a fixed time, what has none of its own came
        # too late.
        longest = min(
            LONGEST, max(each.request_timeout for each in self.balancers.settings.request_classes)
        )
        all_answered_in = int(RESPONSE_PART * (LISTENING_TIME + longest))
        self.timers.at(
            self.step.now + min(LISTENING_TIME, all_answered_in - 2 * LAST_CALL),
            self._close_listener,
            None,
        )
        self.timers.at(self.step.now + all_answered_in, self._answer_all, None)

    def _close_idle_clients(self):
        for client in (
            *self.downstream.by_state[NEW],
            *self.downstream.by_state[IDLE],
        ):
            self.step.emit(CloseWhenRead(client, "stopping"))

    def _close_listener(self, _):
        self.step.emit(CloseListener())
        self.timers.at(self.step.now + LAST_CALL, self._leave, None)

    def _leave(self, _):
        """Not as the listener closes: what the kernel had accepted by then comes just after it."""
        self.leaving = True
        self._close_idle_clients()

    def _answer_all(self, _):
        """The process may be ended soon: open requests fail, what still comes is rejected."""
        self.rejecting = True
        for client in list(self.downstream.by_state[AWAITING_RESPONSE]):
            request = client.request
            request.owner.client_disconnected(self.step.now, request)
            self.downstream.respond_without_backend(request, may_retry=False)
        for client in list(self.downstream.by_state[READING_REQUEST]):
            # Its last byte may be there unread: closed without a response it would be lost.
            self.downstream.reject(client, self.balancers.current)
        self._close_idle_clients()

    def exit_when_done(self):
        """After a stop: the process may end once no client is left."""
        if self.leaving and not self.exiting and not any(self.downstream.by_state.values()):
            self.exiting = True
            self.step.emit(Exit())

    def salvage(self, subject):
        """After a fault in `apply`: the event's connection is answered and closed all the same."""
        if isinstance(subject, UpstreamConnection) and subject.state is not CLOSED:
            attempt, subject.attempt = subject.attempt, None
            self.upstream.close(subject, "fault")
            if attempt is not None:
                self.attempts.connections.pop(attempt, None)
                subject = attempt.request.host_context
        if isinstance(subject, DownstreamConnection) and subject.state in (
            NEW,
            IDLE,
            READING_REQUEST,
            AWAITING_RESPONSE,
        ):
            if subject.request is not None:
                subject.request.completed = True
                for attempt in subject.request.attempts:
                    self.attempts.abort(attempt, "fault")
            self.downstream.refuse(subject, 500, last=True)
        return self.step.effects
