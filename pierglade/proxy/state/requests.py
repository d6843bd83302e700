"""Request intake: validation, load shedding and the ids of pending and recent requests."""

from collections import deque

from pierglade.model.request import Idempotency, Request
from pierglade.proxy.http import message as http
from pierglade.proxy.state.connections import (
    AWAITING_RESPONSE,
    IDLE,
    NEW,
    READING_REQUEST,
    set_state,
)
from pierglade.proxy.state.constants import (
    LIVE_PATH,
    LOG_INTERVAL,
    READY_PATH,
)
from pierglade.proxy.state.downstream import CLIENT_IDLE_TIMEOUT
from pierglade.proxy.state.executed_ids import ExecutedIds, IdNotSharedError, fingerprint
from pierglade.settings.platform import floor_ticks

# Times are tenths of a millisecond.

# 2 s; how long an id stays in use after the response, as a duplicate request may still arrive.
ID_RETENTION = 20000
ID_IN_USE = "X-Trace-Id is in use, or was answered just now"
MAX_ID_BYTES = 256  # bounds the memory for the ids of pending and recent requests
HINT_PREFIX = b"hintUs="  # in X-Props: the expected cost of a request
RETRY_AFTER_STEPS = 4  # Retry-After values of shed requests: one per quarter of the threshold
METHOD_BY_IDEMPOTENCY = {
    Idempotency.SAFE: b"GET",
    Idempotency.KEYED: b"POST",
    Idempotency.UNSAFE: b"POST",
}
# Headers that must not be repeated: the backend might use another one of the values than the proxy.
SINGLE_VALUE_HEADERS = frozenset(
    (b"host", b"x-trace-id", b"x-customer", b"x-expires-in-ms", b"x-second-try", b"idempotency-key")
)


class RequestIntake:
    """Validates requests and passes them to the balancer."""

    def __init__(self, step, timers, balancers, descriptors, lifecycle, downstream):
        self.step = step
        self.timers = timers
        self.balancers = balancers
        self.descriptors = descriptors
        self.lifecycle = lifecycle
        self.downstream = downstream
        self.ids = {}  # client by id for pending requests; None for recently answered ones
        self.recent_ids = deque()  # (expiry time, id) of recently answered requests
        self.executed_ids = ExecutedIds()
        self.fingerprint = b""  # of the id that was checked last
        # Whether requests without an id get one, and the number of ids assigned.
        self.assigns_ids, self.assigned_count = False, 0
        self.shed_count = 0  # shed requests since the last log line
        self.started_at = step.now

    def set_dependencies(self, reconfiguration):
        """Sets the components that are created after this one."""
        self.reconfiguration = reconfiguration

    def received(self, client, message):
        """Validates a request and passes it to the balancer, or refuses it."""
        if client.state not in (
            NEW,
            IDLE,
            READING_REQUEST,
        ):
            return
        self.descriptors.cancel_close(client)
        client.message = message
        if not message.is_reusable:
            client.last = True
        path = http.target(message.url)
        if path is None:
            return self.downstream.refuse(client, 400, "the target names no path", last=True)
        if path in (READY_PATH, LIVE_PATH):
            return self._answer_health(client, message, path)
        # Clients beyond the limit must not wait for backends, or their number has no bound.
        if self.lifecycle.rejecting or (
            client.exceeds_limit and self.descriptors.is_over_reserve()
        ):
            return self.downstream.reject(client, self.balancers.current)
        request_class = self.balancers.request_classes.get(path.partition(b"?")[0].split(b"/")[1])
        if request_class is None:
            return self.downstream.refuse(client, 404, "the path's first part names no offering")
        # A HEAD is a GET whose response body is not sent (RFC 9110, 9.3.2); the backend gets a GET.
        method = b"GET" if message.method == b"HEAD" else message.method
        if method != METHOD_BY_IDEMPOTENCY[request_class.idempotency]:
            return self._refuse_method(client, request_class)
        request_id = message.fields.get(b"x-trace-id")
        if request_id is None and self.assigns_ids:
            request_id = self._assign_id(message)
            if request_class.idempotency == Idempotency.KEYED:
                request_class = self.balancers.unkeyed_classes[request_class.name.encode()]
        expires_in = message.fields.get(
            b"x-expires-in-ms", b"%d" % (request_class.request_timeout // 10)
        )
        fault = self._validation_error(message, request_class, request_id, expires_in)
        if fault is not None:
            return self.downstream.refuse(client, 400, fault, last=True)
        self._admit(
            client,
            request_class,
            request_id,
            min(int(expires_in) * 10, request_class.request_timeout),
        )

    def _validation_error(self, message, request_class, request_id, expires_in):
        if _is_malformed(message, request_class, request_id, expires_in):
            return _describe_fault(message, request_class, request_id, expires_in)
        if self._is_in_use(request_id):
            # The id belongs to a pending or an answered request, which may be executed twice if
            # this one is forwarded.
            return ID_IN_USE
        return None

    def _answer_health(self, client, message, path):
        if message.method not in (b"GET", b"HEAD"):
            return self.downstream.refuse(
                client, 405, "GET or HEAD asks for health", allow=b"GET, HEAD"
            )
        is_healthy = path == LIVE_PATH or (
            self.lifecycle.ready and not self.lifecycle.is_draining()
        )
        self.downstream.respond(
            client, 200 if is_healthy else 503, body=b"ok\n" if is_healthy else b"not ready\n"
        )

    def _refuse_method(self, client, request_class):
        allowed = (
            b"GET, HEAD"
            if request_class.idempotency == Idempotency.SAFE
            else METHOD_BY_IDEMPOTENCY[request_class.idempotency]
        )
        self.downstream.refuse(
            client,
            405,
            "this offering takes " + allowed.decode().replace(", ", " or "),
            allow=allowed,
        )

    def _admit(self, client, request_class, request_id, time_left):
        """Sheds a valid request or passes it on; `time_left`: ticks until its deadline."""
        message = client.message
        self.balancers.load_shedder.record_wait(
            self.step.now, self.step.queueing_delay() / request_class.latency_objective
        )
        refused = (
            self.balancers.load_shedder.threshold
            and not client.passed_shedding
            and self.balancers.load_shedder.rejects(
                request_class.index, time_left < request_class.latency_objective, client.known
            )
        )
        client.passed_shedding = False
        if self.balancers.current.should_shed(
            self.step.now,
            self.step.last_idle_at,
            request_class,
            self.step.arrived_at,
            time_left,
            refused,
        ):
            self._count_shed()
            wait = self._retry_after()
            return self.downstream.respond(client, 503, [(b"Retry-After", wait)] if wait else [])
        tenant = self._tenant(message.fields.get(b"x-customer"))
        request = Request(
            client,
            request_class,
            tenant,
            self.step.arrived_at,
            self.step.arrived_at + time_left,
            _cost_hint(message.fields.get(b"x-props")),
            owner=self.balancers.current,
        )
        set_state(client, AWAITING_RESPONSE, self.downstream.by_state)
        client.request, client.id = request, request_id
        client.unclaimed_fingerprint = self.fingerprint
        self.ids[request_id] = client
        if message.body_stream is None or message.body_stream.is_complete:
            self.downstream.await_response(client)
        else:
            self.downstream.await_body(client)
        self.balancers.current.request_received(self.step.now, request)

    def _tenant(self, name):
        # A name that is not valid UTF-8 decodes to one that no settings can contain.
        return (
            self.balancers.settings.tenants.tenant(
                name.decode(errors="surrogateescape"), self.step.now
            )
            if name
            else None
        )

    def preview(self, now, client, requests, arrived_at, last_idle_at):
        """Returns a prepared 503 head for unparsed input, or None if that is handled as usual.

        This applies no event, makes no decision and schedules no timer except that of the log line,
        so it costs a tenth of a full response.
        """
        if (
            not self.balancers.load_shedder.threshold
            or client.state not in (NEW, IDLE)
            or client.is_closing
            or client.last
        ):
            return None
        preview = requests.preview()
        if preview is None:
            return None
        wait = self._shed_unparsed(now, client, preview, arrived_at, last_idle_at)
        if wait is None:
            return None
        refusals = self.balancers.refusals
        if wait not in refusals:
            refusals[wait] = http.response_head(
                503, [(b"Retry-After", wait)] if wait else [], 0, False
            )
        return refusals[wait]

    def _shed_unparsed(self, now, client, preview, arrived_at, last_idle_at):
        """Sheds a previewed request and returns its Retry-After, or None if it is not shed."""
        method, target, fields = preview
        request_class = self.balancers.request_classes.get(
            target.partition(b"?")[0].partition(b"/")[2].partition(b"/")[0]
        )
        if request_class is None:
            return None
        request_id, expires_in = (
            fields.get(b"x-trace-id"),
            fields.get(b"x-expires-in-ms", b"%d" % (request_class.request_timeout // 10)),
        )
        if (
            not _can_be_shed_unparsed(method, target, fields, request_class, request_id, expires_in)
            or request_id in self.ids
            or self.lifecycle.is_draining()
        ):
            return None
        time_left = min(int(expires_in) * 10, request_class.request_timeout)
        if not self.balancers.load_shedder.rejects(
            request_class.index, time_left < request_class.latency_objective, client.known
        ):
            client.passed_shedding = True  # The parsed request is not checked again.
            return None
        self.balancers.current.should_shed(
            now, last_idle_at, request_class, arrived_at, time_left, True
        )
        self._count_shed()
        client.since = now
        self.downstream.by_state[client.state].move_to_end(client)
        if client.timer is not None:
            client.timer = (now + CLIENT_IDLE_TIMEOUT, self.downstream.idle_timed_out)
        return self._retry_after()

    def _count_shed(self):
        if not self.shed_count:
            self.timers.schedule(self.step.now + LOG_INTERVAL, self._log_shed, None)
        self.shed_count += 1

    def _retry_after(self):
        """Returns the Retry-After of shed requests: seconds as text, empty if none is set."""
        maximum = self.balancers.settings.max_retry_after
        return (
            b"%g"
            % (
                max(1, round(RETRY_AFTER_STEPS * self.balancers.load_shedder.threshold))
                * maximum
                / RETRY_AFTER_STEPS
                / 10000
            )
            if maximum
            else b""
        )

    def _assign_id(self, message):
        """Assigns an id to a request without one; it is forwarded like an id from the client."""
        self.assigned_count += 1
        request_id = b"%s-%x-%x" % (
            str(self.reconfiguration.document.get("name", "")).encode(),
            self.started_at,
            self.assigned_count,
        )
        message.headers.append((b"X-Trace-Id", request_id, b"x-trace-id"))
        message.fields[b"x-trace-id"] = request_id
        message.has_assigned_id = True
        return request_id

    def _log_shed(self, _):
        """Logs one line for many shed requests: thousands may be shed while the process is busy."""
        self.step.log("load_shed", requests=self.shed_count)
        self.shed_count = 0

    def _is_in_use(self, request_id):
        while self.recent_ids and self.recent_ids[0][0] <= self.step.now:
            self.ids.pop(self.recent_ids.popleft()[1], None)
        self.fingerprint = fingerprint(request_id)
        return request_id in self.ids or self.executed_ids.contains(self.step.now, self.fingerprint)

    def may_send(self, client):
        """Returns whether the request of a client may be sent to a backend.

        Before its first attempt, refuses it if the other process of an upgrade has sent it
        meanwhile. While that is unknown, only a safe request may be sent.
        """
        digest = client.unclaimed_fingerprint
        if digest is None:
            return True
        try:
            is_free = self.executed_ids.claim(self.step.now, digest)
        except IdNotSharedError:
            if client.request.request_class.idempotency is not Idempotency.SAFE:
                return False
            is_free = True
        client.unclaimed_fingerprint = None
        if is_free:
            return True
        client.request.owner.client_disconnected(self.step.now, client.request)
        self.downstream.refuse(client, 400, ID_IN_USE, last=True)
        return False

    def retire_id(self, client):
        """Keeps the id of an answered request in use for ID_RETENTION."""
        self.recent_ids.append((self.step.now + ID_RETENTION, client.id))
        self.ids[client.id] = client.id = None


def _describe_fault(message, request_class, request_id, expires_in):
    """Describes the first fault of a request: a header or body missing, repeated or excessive."""
    doubled = sorted(SINGLE_VALUE_HEADERS.intersection(message.repeated_fields))
    if doubled:
        return f"{doubled[0].decode()} stands twice"
    if not request_id:
        return "X-Trace-Id is missing: a new one with every request"
    if len(request_id) > MAX_ID_BYTES:
        return f"X-Trace-Id is longer than {MAX_ID_BYTES} bytes"
    if not expires_in.isdigit() or len(expires_in) > 9:
        return "X-Expires-In-Ms is no whole number of milliseconds"
    if message.version == "1.1" and b"host" not in message.fields:
        return "Host is missing"
    if (b"idempotency-key" in message.fields) != (request_class.idempotency == Idempotency.KEYED):
        return (
            "Idempotency-Key is missing: this offering's requests are stamped"
            if request_class.idempotency == Idempotency.KEYED
            else "Idempotency-Key stands where nothing is stamped"
        )
    return "a body where there is none"


def _cost_hint(props):
    """Returns the cost hint in X-Props, or 0 if there is none."""
    for pair in (props or b"").split(b","):
        figure = pair.strip().removeprefix(HINT_PREFIX)
        if len(figure) < len(pair.strip()) and figure.isdigit() and len(figure) <= 9:
            return floor_ticks(figure)
    return 0


def _is_malformed(message, request_class, request_id, expires_in):
    """Returns whether a header of a request is missing, repeated or out of bounds."""
    fields, idempotency = message.fields, request_class.idempotency
    return (
        not request_id
        or len(request_id) > MAX_ID_BYTES
        or not expires_in.isdigit()
        or len(expires_in) > 9
        or (
            message.repeated_fields and not SINGLE_VALUE_HEADERS.isdisjoint(message.repeated_fields)
        )
        or (message.version == "1.1" and b"host" not in fields)
        or (
            (b"idempotency-key" in fields) != (idempotency == Idempotency.KEYED)
            and not message.has_assigned_id
        )
        or (idempotency == Idempotency.SAFE and (len(message.body) or message.body_stream))
    )


def _can_be_shed_unparsed(method, target, fields, request_class, request_id, expires_in):
    """Returns whether a previewed request is valid, as far as that is known unparsed."""
    return (
        method == METHOD_BY_IDEMPOTENCY[request_class.idempotency]
        and target[:1] == b"/"
        and request_id
        and len(request_id) <= MAX_ID_BYTES
        and expires_in.isdigit()
        and len(expires_in) <= 9
        and (b"idempotency-key" in fields) == (request_class.idempotency == Idempotency.KEYED)
    )
