"""Requests on their way to the balancer: checked, shed at need, and known by their ids."""

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
from pierglade.proxy.state.downstream import CLIENT_IDLE, SLOW_BODY
from pierglade.settings.platform import down

# Times are tenths of a millisecond.
SPENT_FOR = (
    20000  # 2 s; an id is not taken again so soon after its answer: a copy may just be coming in
)
ID_MOST = 256  # bytes of an id; ids are kept while their request is open
HINT = b"hintUs="  # in X-Props: how much work a request is
RETRY_AFTER_STEPS = (
    4  # lengths of the Retry-After of shed requests: one for each fourth of the threshold
)
METHODS = {Idempotency.SAFE: b"GET", Idempotency.KEYED: b"POST", Idempotency.UNSAFE: b"POST"}
# Headers that a request has once: of two, the next to read it may heed the other.
SINGLE = frozenset(
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
        self.ids = {}  # of open requests, and of those just answered, to their client
        self.recent_ids = deque()  # (until when it is kept, id) of the latter
        self.assigns_ids, self.assigned = (
            False,
            0,
        )  # to requests without one, and how many it assigned
        self.shed = 0  # not logged yet
        self.began = step.now

    def connect(self, reconfiguration):
        """The parts that are made after this one."""
        self.reconfiguration = reconfiguration

    def received(self, client, message):
        """Validates a request and passes it to the balancer, unless it is refused."""
        if client.state not in (
            NEW,
            IDLE,
            READING_REQUEST,
        ):
            return
        self.descriptors.keep_open(client)
        client.message = message
        if not message.keep:
            client.last = True
        path = http.target(message.url)
        if path is None:
            return self.downstream.refuse(client, 400, "the target names no path", last=True)
        if path in (READY_PATH, LIVE_PATH):
            return self._answer_health(client, message, path)
        if self.lifecycle.rejecting:
            return self.downstream.reject(client, self.balancers.current)
        request_class = self.balancers.request_classes.get(path.partition(b"?")[0].split(b"/")[1])
        if request_class is None:
            return self.downstream.refuse(client, 404, "the path's first part names no offering")
        # A HEAD is a GET whose response's body is kept back (RFC 9110, 9.3.2); a backend gets a
        # GET.
        method = b"GET" if message.method == b"HEAD" else message.method
        if method != METHODS[request_class.idempotency]:
            return self._refuse_method(client, request_class)
        name = message.fields.get(b"x-trace-id")
        if name is None and self.assigns_ids:
            name = self._assign_id(message)
            if request_class.idempotency == Idempotency.KEYED:
                request_class = self.balancers.without_key[request_class.name.encode()]
        left = message.fields.get(b"x-expires-in-ms", b"%d" % (request_class.request_timeout // 10))
        fault = self._fault_in(message, request_class, name, left)
        if fault is not None:
            return self.downstream.refuse(client, 400, fault, last=True)
        self._admit(client, request_class, name, min(int(left) * 10, request_class.request_timeout))

    def _fault_in(self, message, request_class, name, left):
        if _is_malformed(message, request_class, name, left):
            return _at_fault(message, request_class, name, left)
        if self._is_in_use(name):
            # Another's, or one that ran already: forwarded, it would run twice.
            return "X-Trace-Id is in use, or was answered just now"
        return None

    def _answer_health(self, client, message, path):
        if message.method not in (b"GET", b"HEAD"):
            return self.downstream.refuse(
                client, 405, "GET or HEAD asks for health", allow=b"GET, HEAD"
            )
        good = path == LIVE_PATH or (self.lifecycle.ready and not self.lifecycle.is_draining())
        self.downstream.respond(
            client, 200 if good else 503, body=b"ok\n" if good else b"not ready\n"
        )

    def _refuse_method(self, client, request_class):
        allowed = (
            b"GET, HEAD"
            if request_class.idempotency == Idempotency.SAFE
            else METHODS[request_class.idempotency]
        )
        self.downstream.refuse(
            client,
            405,
            "this offering takes " + allowed.decode().replace(", ", " or "),
            allow=allowed,
        )

    def _admit(self, client, request_class, name, left):
        """Sheds a valid request, or passes it to the balancer; `left`: ticks until its deadline."""
        message = client.message
        self.balancers.load_shedder.note_wait(
            self.step.now, (self.step.now - self.step.came) / request_class.latency_objective
        )
        refused = (
            self.balancers.load_shedder.threshold
            and not client.passed
            and self.balancers.load_shedder.rejects(
                request_class.index, left < request_class.latency_objective, client.known
            )
        )
        client.passed = False
        if self.balancers.current.should_shed(
            self.step.now, self.step.idle, request_class, self.step.came, left, refused
        ):
            self._count_shed()
            wait = self._retry_after()
            return self.downstream.respond(client, 503, [(b"Retry-After", wait)] if wait else [])
        tenant = self._tenant(message.fields.get(b"x-customer"))
        request = Request(
            client,
            request_class,
            tenant,
            self.step.came,
            self.step.came + left,
            _hint(message.fields.get(b"x-props")),
            owner=self.balancers.current,
        )
        set_state(client, AWAITING_RESPONSE, self.downstream.by_state)
        client.request, client.id = request, name
        self.ids[name] = client
        if message.flow is None or message.flow.whole:
            self.downstream.await_response(client)
        else:
            self.downstream.await_body(client, SLOW_BODY)
        self.balancers.current.request_received(self.step.now, request)

    def _tenant(self, name):
        # What is no UTF-8 becomes a name that no settings can hold.
        return (
            self.balancers.settings.tenants.of(name.decode(errors="surrogateescape"), self.step.now)
            if name
            else None
        )

    def preview(self, now, client, requests, came, idle):
        """The prepared refusal of what `requests` holds, or None if that is to be handled as usual.

        No event: nothing is decided, due or noted but the count, so that it costs a tenth of an
        answer.
        """
        if (
            not self.balancers.load_shedder.threshold
            or client.state not in (NEW, IDLE)
            or client.is_closing
            or client.last
        ):
            return None
        seen = requests.preview()
        if seen is None:
            return None
        wait = self._shed_unread(now, client, seen, came, idle)
        if wait is None:
            return None
        refusals = self.balancers.refusals
        if wait not in refusals:
            refusals[wait] = http.answer_head(
                503, [(b"Retry-After", wait)] if wait else [], 0, False
            )
        return refusals[wait]

    def _shed_unread(self, now, client, seen, came, idle):
        """Sheds what was seen at a glance: its Retry-After, or None if it is not shed."""
        method, target, fields = seen
        request_class = self.balancers.request_classes.get(
            target.partition(b"?")[0].partition(b"/")[2].partition(b"/")[0]
        )
        if request_class is None:
            return None
        name, left = (
            fields.get(b"x-trace-id"),
            fields.get(b"x-expires-in-ms", b"%d" % (request_class.request_timeout // 10)),
        )
        if (
            not _can_be_shed_unread(method, target, fields, request_class, name, left)
            or name in self.ids
            or self.lifecycle.is_draining()
        ):
            return None
        left = min(int(left) * 10, request_class.request_timeout)
        if not self.balancers.load_shedder.rejects(
            request_class.index, left < request_class.latency_objective, client.known
        ):
            client.passed = True  # Once is enough: it is not checked again after its wait.
            return None
        self.balancers.current.should_shed(now, idle, request_class, came, left, True)
        self._count_shed()
        client.since = now
        self.downstream.by_state[client.state].move_to_end(client)
        if client.due is not None:
            client.due = (now + CLIENT_IDLE, self.downstream.idle_too_long)
        return self._retry_after()

    def _count_shed(self):
        if not self.shed:
            self.timers.at(self.step.now + LOG_INTERVAL, self._log_shed, None)
        self.shed += 1

    def _retry_after(self):
        """The Retry-After of a shed request: seconds as text; empty where that is not set."""
        most = self.balancers.settings.max_retry_after
        return (
            b"%g"
            % (
                max(1, round(RETRY_AFTER_STEPS * self.balancers.load_shedder.threshold))
                * most
                / RETRY_AFTER_STEPS
                / 10000
            )
            if most
            else b""
        )

    def _assign_id(self, message):
        """An id for a request without one; it is forwarded like one that was sent."""
        self.assigned += 1
        name = b"%s-%x-%x" % (
            str(self.reconfiguration.document.get("name", "")).encode(),
            self.began,
            self.assigned,
        )
        message.headers.append((b"X-Trace-Id", name, b"x-trace-id"))
        message.fields[b"x-trace-id"] = name
        message.given = True
        return name

    def _log_shed(self, _):
        """One line for many: they come by thousands, and at the worst time."""
        self.step.log("load_shed", requests=self.shed)
        self.shed = 0

    def _is_in_use(self, name):
        while self.recent_ids and self.recent_ids[0][0] <= self.step.now:
            self.ids.pop(self.recent_ids.popleft()[1], None)
        return name in self.ids

    def close_id(self, client):
        """Its id is refused for a while yet."""
        self.recent_ids.append((self.step.now + SPENT_FOR, client.id))
        self.ids[client.id] = client.id = None


def _at_fault(message, request_class, name, left):
    """What is missing from a request, doubled or too much in it: the first that is found."""
    doubled = sorted(SINGLE.intersection(message.doubled))
    if doubled:
        return f"{doubled[0].decode()} stands twice"
    if not name:
        return "X-Trace-Id is missing: a new one with every request"
    if len(name) > ID_MOST:
        return f"X-Trace-Id is longer than {ID_MOST} bytes"
    if not left.isdigit() or len(left) > 9:
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


def _hint(props):
    """The work of a request as its X-Props tell it, 0 where they do not."""
    for pair in (props or b"").split(b","):
        figure = pair.strip().removeprefix(HINT)
        if len(figure) < len(pair.strip()) and figure.isdigit() and len(figure) <= 9:
            return down(figure)
    return 0


def _is_malformed(message, request_class, name, left):
    """Whether a header of a request is missing, doubled or out of its bounds."""
    fields, idempotency = message.fields, request_class.idempotency
    return (
        not name
        or len(name) > ID_MOST
        or not left.isdigit()
        or len(left) > 9
        or (message.doubled and not SINGLE.isdisjoint(message.doubled))
        or (message.version == "1.1" and b"host" not in fields)
        or (
            (b"idempotency-key" in fields) != (idempotency == Idempotency.KEYED)
            and not message.given
        )
        or (idempotency == Idempotency.SAFE and (len(message.body) or message.flow))
    )


def _can_be_shed_unread(method, target, fields, request_class, name, left):
    """Whether what is seen at a glance is a valid request, as far as that can be seen."""
    return (
        method == METHODS[request_class.idempotency]
        and target[:1] == b"/"
        and name
        and len(name) <= ID_MOST
        and left.isdigit()
        and len(left) <= 9
        and (b"idempotency-key" in fields) == (request_class.idempotency == Idempotency.KEYED)
    )
