"""What a reducer is told and asks for, and the connections it keeps: words shared by its parts."""

# Events.
(
    OPENED,
    BEGUN,
    ASKED,
    BODY,
    FAULTY,
    TAKES,
    ANSWERED,
    CLIENT_ENDED,
    UP,
    LEFT,
    REPLYING,
    REPLIED,
    REPLY_OVER,
    LINK_ENDED,
    HEARD,
    NO_WORD,
    CONFIGURED,
    CALLED,
    ALONE,
    STOP,
    WOKE,
) = (
    "opened",
    "begun",
    "asked",
    "body",
    "faulty",
    "takes",
    "answered",
    "downstream_closed",
    "up",
    "left",
    "replying",
    "replied",
    "reply over",
    "link ended",
    "heard",
    "no word",
    "configured",
    "called",
    "alone",
    "stop",
    "woke",
)
UNDECIDED = frozenset(
    (OPENED, BEGUN, TAKES, ANSWERED, REPLYING, REPLY_OVER)
)  # they tell decisions nothing
# Effects.
(
    ANSWER,
    LET_GO,
    END_CLIENT,
    CONNECT,
    WRITE,
    END_LINK,
    RELIST,
    ASK,
    MOVE,
    REPLY,
    OPEN_DOOR,
    CLOSE_DOOR,
    EXIT,
    NOTE,
) = (
    "answer",
    "let go",
    "end client",
    "connect",
    "write",
    "end link",
    "relist",
    "ask",
    "move",
    "reply",
    "open door",
    "close door",
    "exit",
    "note",
)
# Constants. Times are tenths of a millisecond.
NEVER = 1 << 62  # a moment that does not come
MARGIN = 50  # 5 ms; a trip times out this much ahead of the limit, to be answered before it
SPARE = 16  # descriptors beside connections: discovery's, and those that close on the next turn
TOLD_AFTER = 10000  # 1 s; what comes by hundreds is told of once in this time
READY_PATH, LIVE_PATH, STATS_PATH = b"/health/ready", b"/health/live", b"/stats"
# What operators may call.
STATUS_CALL, STANDBY_CALL, ACTIVE_CALL, BACKENDS_CALL, ADMISSION_CALL = (
    b"/status",
    b"/standby",
    b"/active",
    b"/backends",
    b"/admission",
)
# What a client's connection is doing.
FRESH, IDLE, READING, OWED, WRITING, LINGERING, ENDED = (
    "fresh",
    "idle",
    "reading",
    "owed",
    "writing",
    "lingering",
    "ended",
)
# What a link is doing, beside IDLE and ENDED.
CONNECTING, BUSY = "connecting", "busy"
# How a link came to its end, as far as outcomes differ.
REFUSED, BROKE, STALE, GARBLED, CUT = "refused", "broke", "stale", "garbled", "cut"


class Client:
    """A client's connection, and the invocation that it is owed an answer for."""

    __slots__ = (
        "io",
        "state",
        "since",
        "due",
        "queued",
        "message",
        "request",
        "id",
        "last",
        "yields",
        "headed",
        "taken",
        "source",
        "known",
        "passed",
        "dropped",
    )

    def __init__(self, io):
        self.io = io
        self.state = FRESH  # it has brought nothing yet
        self.since = 0  # when it was opened or became idle
        self.due = self.queued = None
        self.message = self.request = self.id = None
        self.last = False  # it ends with its next answer
        self.yields = False  # it was asked to make room, and ends unless something of it is unread
        self.headed = 0  # when the head of what it sends was whole
        self.taken = -1  # bytes of its body when it was last looked at
        self.source = None  # the link whose answer is passed on to it as it comes
        self.dropped = 0  # when a trip of its invocation was last ended by us
        self.passed = False  # not refused at a glance, though others are
        self.known = False  # of an address that goes before strangers


class Link:
    """A connection to a backend, and the trip or probe on it."""

    __slots__ = (
        "io",
        "backend",
        "address",
        "state",
        "due",
        "queued",
        "attempt",
        "probing",
        "replying",
        "since",
        "flow",
        "reader",
        "cut",
    )

    def __init__(self, backend):
        self.io = None
        self.backend, self.address = backend, backend.address
        self.state = CONNECTING
        self.due = self.queued = None
        self.attempt = None
        self.probing = False
        self.replying = 0  # by when the answer that has begun is to go on; 0: none has
        self.cut = False  # it was ended in the middle of something
        self.flow = self.reader = (
            None  # an answer that is passed on as it comes, and the client it goes to
        )
        self.since = 0


class Backend:
    """Where a backend is reached, and what is open to it."""

    __slots__ = (
        "name",
        "address",
        "started",
        "state",
        "told",
        "idle",
        "links",
        "coming_up",
        "probed_on",
        "entry",
        "drains",
    )

    def __init__(self, name, address, started):
        self.name, self.address, self.started = name, address, started
        self.state = None  # as the list says
        self.told = None  # since when it drains or is gone
        self.drains = False  # it was listed as draining since it was ready last
        self.idle = []  # the last one used last
        self.links = 0  # open ones, the idle included
        self.coming_up = 0  # of these, those that are not up yet
        self.probed_on = None  # the link of a probe that has no result yet
        self.entry = None  # what the list said last
