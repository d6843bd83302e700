"""The clients' part of a node's state: who is open, what each is owed, and who yields when room is short."""

from pierglade.model.outcome import Outcome
from pierglade.model.request import Idempotency, Request
from pierglade.proxy.http import message as http
from pierglade.proxy.state.connections import ConnectionState, DownstreamConnection
from pierglade.proxy.state.constants import LIVE_PATH, LOG_INTERVAL, MARGIN, READY_PATH, SPARE
from pierglade.proxy.state.effects import AbortConnection, CloseWhenRead, SendResponse
from pierglade.settings.platform import down

# Constants. Times are tenths of a millisecond.
FIRST_ASK = 20000  # 2 s; from connecting to a request's first byte
SLOW_HEAD = 25000  # 2.5 s; from there, or the connecting, to the head's end: slow clients take 2 s
SLOW_BODY = 20000  # 2 s; what a sender may be behind in a body
SLOWEST = 3.2  # bytes in a tenth of a ms; 32 kB/s, half of what slow clients send
SLOW_READER = 50000  # 5 s; in which some of an answer is to be taken
CLIENT_IDLE = (
    25000  # 2.5 s; some clients ask once and stay, and would take the descriptors from the links
)
CLIENT_PART = (
    0.25  # share of the descriptors; beyond it clients that rest are let go, longest idle first
)
YIELD_AFTER = 1000  # 100 ms; idle for less, a connection is likely to be used the next moment
YIELD_FRESH = 200  # 20 ms; who opens a connection in earnest asks at once
LINGER = 10000  # 1 s; for a client to close after its last answer
SPENT_FOR = (
    20000  # 2 s; an id is not taken again so soon after its answer: a copy may just be coming in
)
ID_MOST = 256  # bytes of an id; ids are kept while their invocation is open
HINT = b"hintUs="  # in X-Props: how much work a request is
STAYS = 4  # lengths of the wait that a refusal at the door names: one for each fourth of the bar
METHODS = {Idempotency.SAFE: b"GET", Idempotency.KEYED: b"POST", Idempotency.UNSAFE: b"POST"}
# Headers that a request has once: of two, the next to read it may heed the other.
SINGLE = frozenset(
    (b"host", b"x-trace-id", b"x-customer", b"x-expires-in-ms", b"x-second-try", b"idempotency-key")
)


class Clients:
    """Mixed into the ProxyStateMachine, which holds what is used here."""

    def _opened(self, io, known=False):
        client = io.client = DownstreamConnection(io)
        client.known = known
        self.open += 1
        self._is(client, ConnectionState.NEW, self.clients)
        client.since = self.now
        self._connection_due(client, self.now + FIRST_ASK, self._idle_too_long)
        if not self._make_room(client):
            # Nothing idle is left to yield: whoever came last is served, and let go with the answer.
            client.last = True
            self._note_crowded()
        self._keep_share(client)

    def _rest(self, client):
        self._is(client, ConnectionState.IDLE, self.clients)
        client.since = self.now
        self._connection_due(client, self.now + CLIENT_IDLE, self._idle_too_long)

    def _idle_too_long(self, client):
        self._do(CloseWhenRead(client, "silent" if client.state is ConnectionState.NEW else "idle"))

    def _begun(self, client, come=None):
        """Some of a message has come; `come`: bytes behind its head, None until that is whole."""
        if client.state in (ConnectionState.NEW, ConnectionState.IDLE):
            # The first message has until then from the connecting on, or silence and a trickle would add up.
            client.headed = 0
            until = (client.since if client.state is ConnectionState.NEW else self.now) + SLOW_HEAD
            self._is(client, ConnectionState.READING_REQUEST, self.clients)
            self._connection_due(client, until, self._sends_too_slowly)
            self._stays(client)
        if come is not None and client.state is ConnectionState.READING_REQUEST:
            # Told from a flood of half requests by what comes, not by how long it takes.
            client.headed = client.headed or self.now
            self._connection_due(
                client, client.headed + SLOW_BODY + int(come / SLOWEST), self._sends_too_slowly
            )

    def _sends_too_slowly(self, client):
        self._refuse(client, 408, last=True)

    # A body that is passed on as it comes.

    def _body_goes_on(self, client, within):
        client.taken = client.message.flow.size
        self._connection_due(client, self.now + within, self._body_stands)

    def _body_stands(self, client):
        """Who holds it up: the client, if what has come is all passed on; else the backend that takes it."""
        flow, request = client.message.flow, client.request
        if not flow.full() and flow.size - client.taken < SLOWEST * SLOW_BODY:
            request.owner.client_disconnected(self.now, request)
            return self._sends_too_slowly(client)
        if flow.size == client.taken:
            for attempt in request.attempts:
                if attempt in self.carried:
                    self._drop(attempt, "takes no body")
                    self._return(
                        attempt, Outcome.CONNECT_FAILED
                    )  # It has not run: its last byte was never written.
            if client.request is not request:
                return
        self._body_goes_on(client, SLOW_BODY)

    def _body(self, client):
        """More of it has come. With the last byte the invocation's time begins."""
        request = client.request
        if (
            request is None
            or client.state is not ConnectionState.AWAITING_RESPONSE
            or not client.message.flow.whole
        ):
            return
        waited = self.now - request.arrived_at
        request.arrived_at += waited
        request.objective_at += waited
        request.deadline += waited
        for attempt in request.attempts:
            if attempt in self.carried:
                attempt.sent_at, attempt.timeout_at = self.now, request.deadline
                self._watch(self.carried[attempt])
        self._owes(client)

    def _owes(self, client):
        limit = client.request.deadline
        self._connection_due(client, max(limit - MARGIN // 2, self.now + 1), self._overdue)

    def _faulty(self, client, status, why=""):
        """What came is no message that we take."""
        if client.state in (
            ConnectionState.NEW,
            ConnectionState.IDLE,
            ConnectionState.READING_REQUEST,
        ):
            self._refuse(client, status, why, last=True)
        client.last = True

    def _asked(self, client, message):
        """Validates a request and passes it to the balancer, unless it is refused."""
        if client.state not in (
            ConnectionState.NEW,
            ConnectionState.IDLE,
            ConnectionState.READING_REQUEST,
        ):
            return
        self._stays(client)
        client.message = message
        if not message.keep:
            client.last = True
        path = http.target(message.url)
        if path is None:
            return self._refuse(client, 400, "the target names no path", last=True)
        if path in (READY_PATH, LIVE_PATH):
            return self._answer_health(client, message, path)
        if self.closing:
            return self._bounce(client, self.node)
        request_class = self.request_classes.get(path.partition(b"?")[0].split(b"/")[1])
        if request_class is None:
            return self._refuse(client, 404, "the path's first part names no offering")
        # A HEAD is a GET whose response's body is kept back (RFC 9110, 9.3.2); a backend gets a GET.
        method = b"GET" if message.method == b"HEAD" else message.method
        if method != METHODS[request_class.idempotency]:
            return self._refuse_method(client, request_class)
        name = message.fields.get(b"x-trace-id")
        if name is None and self.gives_ids:
            name = self._give_id(message)
            if request_class.idempotency == Idempotency.KEYED:
                request_class = self.unstamped[request_class.name.encode()]
        left = message.fields.get(b"x-expires-in-ms", b"%d" % (request_class.request_timeout // 10))
        if _is_malformed(message, request_class, name, left):
            return self._refuse(
                client, 400, _at_fault(message, request_class, name, left), last=True
            )
        if self._is_known(name):
            # Another's, or one that ran already: forwarded, it would run twice.
            return self._refuse(
                client, 400, "X-Trace-Id is in use, or was answered just now", last=True
            )
        self._admit(client, request_class, name, min(int(left) * 10, request_class.request_timeout))

    def _answer_health(self, client, message, path):
        if message.method not in (b"GET", b"HEAD"):
            return self._refuse(client, 405, "GET or HEAD asks for health", allow=b"GET, HEAD")
        good = path == LIVE_PATH or self.ready and not self._empties()
        self._answer(client, 200 if good else 503, body=b"ok\n" if good else b"not ready\n")

    def _refuse_method(self, client, request_class):
        allowed = (
            b"GET, HEAD"
            if request_class.idempotency == Idempotency.SAFE
            else METHODS[request_class.idempotency]
        )
        self._refuse(
            client,
            405,
            "this offering takes " + allowed.decode().replace(", ", " or "),
            allow=allowed,
        )

    def _admit(self, client, request_class, name, left):
        """Sheds a valid request, or passes it to the balancer; `left`: ticks until its deadline."""
        message = client.message
        self.press.waits(self.now, (self.now - self.came) / request_class.latency_objective)
        refused = (
            self.press.bar
            and not client.passed
            and self.press.refuses(
                request_class.index, left < request_class.latency_objective, client.known
            )
        )
        client.passed = False
        if self.node.should_shed(self.now, self.idle, request_class, self.came, left, refused):
            self._bounced_unseen()
            wait = self._stay_away()
            return self._answer(client, 503, [(b"Retry-After", wait)] if wait else [])
        tenant = self._tenant(message.fields.get(b"x-customer"))
        request = Request(
            client,
            request_class,
            tenant,
            self.came,
            self.came + left,
            _hint(message.fields.get(b"x-props")),
            owner=self.node,
        )
        self._is(client, ConnectionState.AWAITING_RESPONSE, self.clients)
        client.request, client.id = request, name
        self.ids[name] = client
        if message.flow is None or message.flow.whole:
            self._owes(client)
        else:
            self._body_goes_on(client, SLOW_BODY)
        self.node.request_received(self.now, request)

    def _tenant(self, name):
        # What is no UTF-8 becomes a name that no settings can hold.
        return (
            self.settings.tenants.of(name.decode(errors="surrogateescape"), self.now)
            if name
            else None
        )

    def glance(self, now, client, requests, came, idle):
        """The prepared refusal of what `requests` holds, or None if that is to be taken the ordinary way.

        No event: nothing is decided, due or noted but the count, so that it costs a tenth of an answer.
        """
        if (
            not self.press.bar
            or client.state not in (ConnectionState.NEW, ConnectionState.IDLE)
            or client.yields
            or client.last
        ):
            return None
        seen = requests.glance()
        if seen is None:
            return None
        method, target, fields = seen
        request_class = self.request_classes.get(
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
            or self._empties()
        ):
            return None
        left = min(int(left) * 10, request_class.request_timeout)
        if not self.press.refuses(
            request_class.index, left < request_class.latency_objective, client.known
        ):
            client.passed = True  # Once is enough: it is not asked again after its wait.
            return None
        self.node.should_shed(now, idle, request_class, came, left, True)
        self._bounced_unseen()
        client.since = now
        self.clients[client.state].move_to_end(client)
        if client.due is not None:
            client.due = (now + CLIENT_IDLE, self._idle_too_long)
        wait = self._stay_away()
        if wait not in self.refusals:
            self.refusals[wait] = http.answer_head(
                503, [(b"Retry-After", wait)] if wait else [], 0, False
            )
        return self.refusals[wait]

    def _bounced_unseen(self):
        if not self.pressed:
            self._at(self.now + LOG_INTERVAL, self._tell_pressed, None)
        self.pressed += 1

    def _stay_away(self):
        """For how long a client that is refused at the door is told to, in seconds as text; empty:
        nothing."""
        most = self.settings.max_retry_after
        return (
            b"%g" % (max(1, round(STAYS * self.press.bar)) * most / STAYS / 10000) if most else b""
        )

    def _give_id(self, message):
        """An id for a request that brought none; it goes on to the backend like one that was brought."""
        self.given += 1
        name = b"%s-%x-%x" % (str(self.told.get("name", "")).encode(), self.began, self.given)
        message.headers.append((b"X-Trace-Id", name, b"x-trace-id"))
        message.fields[b"x-trace-id"] = name
        message.given = True
        return name

    def _tell_pressed(self, _):
        """One line for many: they come by thousands, and at the worst time."""
        self._note("load_shed", requests=self.pressed)
        self.pressed = 0

    def _note_crowded(self):
        if not self.crowded:
            self._at(self.now + LOG_INTERVAL, self._tell_crowded, None)
        self.crowded += 1

    def _tell_crowded(self, _):
        self._note(
            "descriptors_exhausted",
            clients=self.crowded,
            upstream={s.value: len(some) for s, some in self.links.items()},
            downstream={s.value: len(some) for s, some in self.clients.items()},
        )
        self.crowded = 0

    def _is_known(self, name):
        while self.spent and self.spent[0][0] <= self.now:
            self.ids.pop(self.spent.popleft()[1], None)
        return name in self.ids

    def _closed(self, client):
        """Its invocation is answered or abandoned."""
        client.request = client.message = None
        if client.id is not None:
            self._close_id(client)

    def _close_id(self, client):
        """Its id is refused for a while yet."""
        self.spent.append((self.now + SPENT_FOR, client.id))
        self.ids[client.id] = client.id = None

    def _overdue(self, client):
        """Guards against a fault of ours: whatever went wrong, the answer is out before the limit."""
        self._note("deadline_overrun")
        client.request.owner.client_disconnected(self.now, client.request)
        self._final(client.request, may_retry=False)

    def _refuse(self, client, status, why="", last=False, allow=None):
        """`why`: one plain line for whoever wrote the client."""
        client.last = client.last or last
        headers = [(b"Allow", allow)] if allow else []
        if why:
            headers.append((b"Content-Type", b"text/plain"))
        self._answer(client, status, headers, why.encode() + b"\n" if why else b"")

    def _answer(self, client, status, headers=(), body=b"", source=None):
        """`source`: the link that the body, a flow then, goes on to come from."""
        message = client.message
        chunked = source is not None and body.length is None and message.version == "1.1"
        length = len(body) if source is None else body.length
        # Without a length or chunks, only the end of the connection tells the end of the answer; and behind
        # one that comes before its request is whole, the rest of the request would be read as the next.
        client.last = (
            client.last
            or self._empties()
            or length is None
            and not chunked
            or message is not None
            and message.flow is not None
            and not message.flow.whole
        )
        head = http.answer_head(status, headers, length, client.last, chunked)
        if message is not None and message.method == b"HEAD":
            body, source = b"", None
        self._is(client, ConnectionState.WRITING_RESPONSE, self.clients)
        self._closed(client)
        if source is not None:
            client.source, source.reader, source.flow = source, client, body
        self._connection_due(client, self.now + SLOW_READER, self._reads_too_slowly)
        self._do(SendResponse(client, head, body, chunked if source is not None else None))

    def _reads_too_slowly(self, client):
        if client.source is not None and not client.source.flow.waiting:
            return self._takes(
                client
            )  # It has taken all that has come; the link is looked after itself.
        self._end_client(client, "slow reader")

    def _takes(self, client):
        """Some more of its answer was written to it."""
        if client.state is ConnectionState.WRITING_RESPONSE:
            self._connection_due(client, self.now + SLOW_READER, self._reads_too_slowly)

    def _answered(self, client):
        """The answer's last byte is written."""
        if client.state is not ConnectionState.WRITING_RESPONSE:
            return
        if client.last:
            self._is(client, ConnectionState.LINGERING, self.clients)
            self._connection_due(client, self.now + LINGER, self._lingered)
        else:
            self._rest(client)

    def _lingered(self, client):
        self._end_client(client, "answered last")

    def _client_ended(self, client, reason):
        """The client closed, or its connection broke: what it asked for is abandoned."""
        if client.state is ConnectionState.CLOSED:
            return
        if client.request is not None:
            client.request.owner.client_disconnected(self.now, client.request)
        self._end_client(
            client, "answered last" if client.state is ConnectionState.LINGERING else reason
        )

    def _end_client(self, client, reason):
        del self.clients[client.state][client]
        self.open -= 1
        self._stays(client)
        self._note("downstream_closed", reason=reason, state=client.state)
        client.state = ConnectionState.CLOSED
        self._closed(client)
        if client.source is not None:
            self._end_link(client.source, "client gone")
        self._do(AbortConnection(client))

    # Room for sockets.

    def lets_in(self, now, address):
        """Whether a client from `address` may connect. Only where there are caps."""
        if self.gate.opened(now, address, self.sockets) is None:
            return True
        if not self.turned_away:
            self._at(now + LOG_INTERVAL, self._tell_turned_away, None)
        self.turned_away += 1
        return False

    def _tell_turned_away(self, _):
        self.turned_away = 0
        why, by = self.gate.told() if self.gate is not None else ({}, [])
        self._note("connections_rejected", reason=why, addresses=dict(by))

    def may_open(self, most):
        """How many clients may connect before what has yielded is to be closed, `most` at the most."""
        return max(1, min(most, self.sockets // 2 - self.open))

    def _make_room(self, newcomer):
        """What is least needed yields to the newcomer. Whether there is room."""
        while self.open - self.yielding > self.sockets:
            # Those that were answered for good; those that were opened and say nothing, who may be hundreds.
            if (client := self._first(ConnectionState.LINGERING, newcomer)) is not None:
                self._end_client(client, "yielded")
            elif (client := self._first(ConnectionState.NEW, newcomer, YIELD_FRESH)) is not None:
                self._let_yield(client)
            elif (link := next(iter(self.links[ConnectionState.IDLE]), None)) is not None:
                self._end_link(link, "yielded")
            elif (client := self._first(ConnectionState.IDLE, newcomer, YIELD_AFTER)) is not None:
                self._let_yield(client)
            elif newcomer is None and (
                client := self._first(ConnectionState.NEW, None)
                or self._first(ConnectionState.IDLE, None)
            ):
                # For a link: without it a request in hand is refused for the sake of who has not asked yet.
                self._let_yield(client)
            else:
                # Slow senders must not keep the others out: the first of them is told to come back.
                slow = next(iter(self.clients[ConnectionState.READING_REQUEST]), None)
                if slow is not None:
                    self._refuse(slow, 503, last=True)
                return False
        return self.open <= self.sockets + SPARE // 2

    def _keep_share(self, newcomer):
        """Clients that hold on to what they do not use must not keep the others from connecting."""
        most = CLIENT_PART * self.sockets
        while sum(map(len, self.clients.values())) - self.yielding > most:
            client = self._first(ConnectionState.NEW, newcomer, YIELD_FRESH) or self._first(
                ConnectionState.IDLE, newcomer, YIELD_AFTER
            )
            if client is None:
                return
            self._let_yield(client)

    def _first(self, state, newcomer, after=0):
        """Who has been in this state for longest and may yield."""
        if self.open > self.sockets + SPARE // 2:
            # One that was just opened or answered may bring a request as it is let go, and that would be
            # lost: it stays for a while, unless the descriptors beyond the budget are in use as well.
            after = 0
        for client in self.clients[state]:
            if client is not newcomer and not client.yields:
                return client if self.now - client.since >= after else None
        return None

    def _let_yield(self, client):
        # Not ended outright: a request that the kernel holds for it is taken, and would be lost.
        client.yields, self.yielding = True, self.yielding + 1
        self._do(CloseWhenRead(client, "yielded"))

    def _stays(self, client):
        """Asked to make room, it had something unread: it is served, and let go with its answer."""
        if client.yields:
            client.yields, self.yielding = False, self.yielding - 1
            # Where descriptors are left it was in use, and only the node was late to see it.
            client.last = client.last or self.open > self.sockets


def _is_malformed(message, request_class, name, left):
    """Whether a header of a request is missing, doubled or out of its bounds."""
    fields, idempotency = message.fields, request_class.idempotency
    return (
        not name
        or len(name) > ID_MOST
        or not left.isdigit()
        or len(left) > 9
        or message.doubled
        and not SINGLE.isdisjoint(message.doubled)
        or message.version == "1.1"
        and b"host" not in fields
        or (b"idempotency-key" in fields) != (idempotency == Idempotency.KEYED)
        and not message.given
        or idempotency == Idempotency.SAFE
        and (len(message.body) or message.flow)
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
