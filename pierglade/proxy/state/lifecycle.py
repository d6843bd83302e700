"""The life cycle of a process: readiness, standby, takeover by a new version, SIGTERM."""

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

# 0.7 s; how long new connections are accepted after a stop. The load balancer in front of the proxy
# needs 0.4 s to react.
LISTEN_AFTER_STOP = 7000
# 3 s; upper bound of the request timeout used for the time until exit. After a stop, the process
# may be killed once LISTEN_AFTER_STOP and that timeout have passed.
MAX_REQUEST_TIMEOUT = 30000
ACCEPTED_READ_DELAY = 500  # 50 ms; for reading the connections that were accepted last
# Fraction of the time until the process may be killed in which all requests are answered: 3.1 s of
# 3.7 s.
RESPONSE_TIME_RATIO = 0.83
# The same for requests that were read behind others: 3.4 s of 3.7 s, so that a client that sends on
# and on does not keep the process. In standby, MAX_REQUEST_TIMEOUT takes its place.
PIPELINED_TIME_RATIO = 0.92


class Lifecycle:
    """Whether the process is ready, in standby, stopping or about to exit."""

    def __init__(self, step, timers, balancers, descriptors, sole_process):
        self.step = step
        self.timers = timers
        self.balancers = balancers
        self.descriptors = descriptors
        self.ready = False
        # In a takeover, the process listens as soon as it has a valid endpoint list and shares the
        # ids of sent requests with the earlier process. Until then that one serves.
        self.listening = self.may_listen = sole_process
        self.stopped_at = None
        self.serves_pipelined_until = 0  # while draining, see `serves_pipelined`
        self.standby = False  # set by operators; client connections are closed
        self.may_exit = self.exiting = False
        self.rejecting = False  # whether new requests are rejected, shortly before the exit

    def set_dependencies(self, downstream, upstream, attempts):
        """Sets the components that are created after this one."""
        self.downstream = downstream
        self.upstream = upstream
        self.attempts = attempts

    def become_ready(self):
        """Starts listening with a valid endpoint list, unless the process stops."""
        self.ready = True
        self._open_listener()

    def ids_shared(self):
        """Allows listening: each of two processes knows which ids the other one has sent."""
        self.may_listen = True
        self._open_listener()

    def _open_listener(self):
        if self.ready and self.may_listen and not self.listening and self.stopped_at is None:
            self.listening = True
            self.step.emit(OpenListener())

    def set_standby(self, enabled):
        """Sets standby: not ready, but listening; clients are closed after their next response."""
        if enabled == self.standby:
            return
        self.standby = enabled
        self.step.log(
            "standby" if enabled else "active",
            pending=len(self.downstream.by_state[AWAITING_RESPONSE]),
        )
        if enabled:
            self.serves_pipelined_until = self.step.now + MAX_REQUEST_TIMEOUT
            self._close_idle_clients()

    def is_draining(self):
        """Returns whether clients are closed, after their next response at the latest.

        Clients that have sent more requests by then are closed after the last of these.
        """
        return self.standby or self.stopped_at is not None

    def serves_pipelined(self):
        """Returns whether a client that is drained gets responses to all that it has sent."""
        return self.step.now < self.serves_pipelined_until

    def sole_process(self):
        """Raises the descriptor limit: the process that served here before has ended."""
        self.descriptors.limit = self.descriptors.full_limit
        self.step.log("sole_process")
        self.may_listen = True  # There is no one else to share ids with.
        self._open_listener()

    def stop(self, successor_running=False):
        """Stops listening after a delay; each client is closed after its next response."""
        if self.stopped_at is not None:
            return
        self.stopped_at = self.step.now
        self.step.log(
            "stopping",
            pending=len(self.downstream.by_state[AWAITING_RESPONSE]),
            successor_running=successor_running,
        )
        if successor_running:
            self.descriptors.limit = min(self.descriptors.limit, self.descriptors.full_limit // 2)
            while (
                self.descriptors.open_count > self.descriptors.limit
                and self.upstream.by_state[IDLE]
            ):
                self.upstream.close(next(iter(self.upstream.by_state[IDLE])), "yielded")
        self._close_idle_clients()
        # The time depends on the request timeouts: if these are short, the process may be killed
        # early, and a fixed time would be too late for the remaining requests.
        max_timeout = min(
            MAX_REQUEST_TIMEOUT,
            max(each.request_timeout for each in self.balancers.settings.request_classes),
        )
        time_left = LISTEN_AFTER_STOP + max_timeout
        response_time = int(RESPONSE_TIME_RATIO * time_left)
        self.serves_pipelined_until = self.step.now + int(PIPELINED_TIME_RATIO * time_left)
        self.timers.schedule(
            self.step.now + min(LISTEN_AFTER_STOP, response_time - 2 * ACCEPTED_READ_DELAY),
            self._close_listener,
            None,
        )
        self.timers.schedule(self.step.now + response_time, self._finish_pending_requests, None)

    def _close_idle_clients(self):
        for client in (
            *self.downstream.by_state[NEW],
            *self.downstream.by_state[IDLE],
        ):
            self.step.emit(CloseWhenRead(client, "stopping"))

    def _close_listener(self, _):
        self.step.emit(CloseListener())
        self.timers.schedule(self.step.now + ACCEPTED_READ_DELAY, self._allow_exit, None)

    def _allow_exit(self, _):
        """Allows the exit, some time after the listener was closed.

        Clients that the kernel had accepted by then are read just after it.
        """
        self.may_exit = True
        self._close_idle_clients()

    def _finish_pending_requests(self, _):
        """Fails pending requests and rejects new ones: the process may be killed soon."""
        self.rejecting = True
        for client in list(self.downstream.by_state[AWAITING_RESPONSE]):
            request = client.request
            request.owner.client_disconnected(self.step.now, request)
            self.downstream.respond_without_backend(request, may_retry=False)
        for client in list(self.downstream.by_state[READING_REQUEST]):
            # Its last byte may be unread; without a response the request would be lost.
            self.downstream.reject(client, self.balancers.current)
        self._close_idle_clients()

    def exit_when_done(self):
        """After a stop, exits once no client is connected."""
        if self.may_exit and not self.exiting and not any(self.downstream.by_state.values()):
            self.exiting = True
            self.step.emit(Exit())

    def recover_from_fault(self, connection):
        """After an exception in `apply`, answers and closes the connection of the event."""
        if isinstance(connection, UpstreamConnection):
            attempt, connection.attempt = connection.attempt, None
            if connection.state is not CLOSED:
                self.upstream.close(connection, "fault")
            if attempt is not None:
                self.attempts.connections.pop(attempt, None)
                connection = attempt.request.caller_context
        if isinstance(connection, DownstreamConnection) and connection.state in (
            NEW,
            IDLE,
            READING_REQUEST,
            AWAITING_RESPONSE,
        ):
            if connection.request is not None:
                connection.request.completed = True
                for attempt in connection.request.attempts:
                    self.attempts.abort(attempt, "fault")
            self.downstream.refuse(connection, 500, last=True)
        return self.step.effects
