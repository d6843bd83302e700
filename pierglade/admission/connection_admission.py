"""Who may connect: caps for each address and each prefix, a reserve for known ones, penalties that fade.

An address is an IPv4 one or the /64 of an IPv6 one; a prefix is its /24 or /48. A known address (in one of
the operator's prefixes) has no caps and may use the reserve, until faults of its own make it a stranger for a
while. Times are tenths of a millisecond.

Bounded whatever comes: rows of addresses with nothing open are forgotten, the one longest unheard of first,
beyond ROWS; penalised ones are kept apart, PENALISED of them, so that no stream of fresh addresses washes a
penalty out. The error: an address forgotten early has its rate anew, BURST connections at once.
"""

import ipaddress
from collections import Counter, OrderedDict

ROWS = 16384  # addresses and prefixes with nothing open; at 300 bytes each they are 5 MB
PENALISED = 4096  # likewise
BURST = (
    2.0  # seconds' worth of its rate that an address may use at once, as a page's connections come
)
FAULT = 1.0  # points of a request that is none, or that was never whole
TURNED = 0.1  # points of a connection over a cap: who goes on all the same is no busy client
BAD = 10.0  # points from which an address is shut out
FADES = 100000  # 10 s; half of the points are gone after it
SHUT = 50000  # 5 s; the first time that an address is shut out, then doubled
SHUT_MOST = 3000000  # 5 min
FORGIVEN = 6000000  # 10 min without a further one, and the next is as the first
# why one is turned away
RATE, OPEN, PREFIX, RESERVE, PENALTY = "rate", "open", "prefix", "reserve", "penalty"
PREFIXES = ("/24", "/48")
TOLD = 5  # addresses that a line of the log names


class Caps:
    """What is allowed; 0 is no cap. `known`: prefixes as text; `reserve`: share of the descriptors for them.

    Raises ValueError with one line for a prefix that is none.
    """

    def __init__(self, per_address=0, per_prefix=0, rate_per_address=0.0, known=(), reserve=0.0):
        self.per_address, self.per_prefix, self.rate = per_address, per_prefix, rate_per_address
        self.reserve = reserve
        self.known = []  # (version, mask, the address under it)
        for text in known:
            try:
                net = ipaddress.ip_network(text)
            except ValueError as fault:
                raise ValueError(f"{text!r} is no prefix: {fault}") from None
            self.known.append((net.version, int(net.netmask), int(net.network_address)))


class Row:
    """What is known of an address or a prefix."""

    __slots__ = (
        "open",
        "tokens",
        "at",
        "points",
        "blamed",
        "until",
        "times",
        "turned",
        "known",
        "prefix",
    )

    def __init__(self, now):
        self.open = self.times = self.turned = 0
        self.tokens, self.at = None, now  # of its rate, and when they were counted
        self.points, self.blamed, self.until = 0.0, now, 0
        self.known = self.prefix = None


class Gate:
    def __init__(self, caps):
        self.caps = caps
        self.rows = {}  # with something open
        self.resting = OrderedDict()  # with nothing open, and no penalty
        self.penalised = OrderedDict()  # with nothing open, and points or a time shut out
        self.strangers = 0  # open connections of those that are not known
        self.why = Counter()  # turned away since it was told last, by reason
        self.by = Counter()  # the same by address, of as many as there are rows

    def allow(self, caps):
        """Other caps from now on; what is open stays so."""
        self.caps, self.strangers = caps, 0
        for rows in (self.resting, self.penalised):
            for row in rows.values():
                row.known = None
        for name, row in self.rows.items():
            if not name.endswith(PREFIXES):
                row.known = self._is_known(name)
                self.strangers += row.open * (not row.known)

    def opened(self, now, address, budget):
        """None, and counts it, if a connection from `address` (text) is let in; else why not.

        `budget`: descriptors that the node may have for connections.
        """
        name = _address(address)
        row = self._row(now, name)
        if row.known is None:
            row.known, row.prefix = self._is_known(name), _prefix(name)
        shut = now < row.until
        why = None if row.known and not shut else self._against(now, row, shut, budget)
        if why is not None:
            self._turned_away(now, name, row, why)
            return why
        row.open += 1
        self._row(now, row.prefix).open += 1
        self.strangers += not row.known
        return None

    def knows(self, now, address):
        """Whether one that was let in is known, and not shut out for faults of its own."""
        row = self.rows[_address(address)]
        return bool(row.known) and now >= row.until

    def _against(self, now, row, shut, budget):
        caps = self.caps
        if shut and not row.known:
            return PENALTY
        if caps.per_address and row.open >= caps.per_address:
            return OPEN
        beside = self.rows.get(row.prefix)
        if caps.per_prefix and beside is not None and beside.open >= caps.per_prefix:
            return PREFIX
        if caps.reserve and self.strangers >= (1 - caps.reserve) * budget:
            return RESERVE
        if caps.rate:
            most = max(1.0, BURST * caps.rate)
            row.tokens = (
                most
                if row.tokens is None
                else min(most, row.tokens + caps.rate * (now - row.at) / 10000)
            )
            row.at = now
            if row.tokens < 1:
                return RATE
            row.tokens -= 1
        return None

    def closed(self, now, address):
        """One of its connections, that was let in, has ended."""
        name = _address(address)
        row = self.rows.get(name)
        if row is None or not row.open:
            return
        row.open -= 1
        self.strangers -= not row.known
        prefix = self.rows[row.prefix]
        prefix.open -= 1
        self._rest(now, row.prefix, prefix)
        self._rest(now, name, row)

    def faulted(self, now, address, points=FAULT):
        """It sent what is no request, or never the whole of one."""
        name = _address(address)
        self._blame(now, name, self._row(now, name), points)
        self._rest(now, name, self.rows[name])

    def _blame(self, now, name, row, points):
        row.points = row.points * 0.5 ** ((now - row.blamed) / FADES) + points
        row.blamed = now
        if row.points < BAD or now < row.until:
            return
        if now - row.until > FORGIVEN:
            row.times = 0
        row.until = now + min(SHUT_MOST, SHUT << min(row.times, 16))
        row.times += 1
        row.points = 0.0

    def _turned_away(self, now, name, row, why):
        row.turned += 1
        self.why[why] += 1
        self.by[name] += 1
        if len(self.by) > ROWS:
            self.by = Counter(dict(self.by.most_common(ROWS // 2)))
        if why is not PENALTY:
            self._blame(now, name, row, TURNED)
        self._rest(now, name, row)

    def told(self):
        """(why to how many, [(address, how many)]) of those turned away since this was asked last."""
        why, by = self.why, self.by
        self.why, self.by = Counter(), Counter()
        return dict(why), by.most_common(TOLD)

    def top(self, now, most=20):
        """The addresses that were turned away most or are shut out: plain data, worst first."""
        rows = [
            (name, row)
            for rows in (self.rows, self.penalised, self.resting)
            for name, row in rows.items()
            if row.turned or row.until > now
        ]
        rows.sort(key=lambda pair: (-pair[1].turned, pair[0]))
        return [
            {
                "address": name,
                "open": row.open,
                "turned_away": row.turned,
                "known": bool(row.known),
                "shut_out_s": max(0, row.until - now) / 10000,
            }
            for name, row in rows[:most]
        ]

    # Rows.

    def _row(self, now, name):
        row = self.rows.get(name)
        if row is None:
            row = self.resting.pop(name, None) or self.penalised.pop(name, None) or Row(now)
            self.rows[name] = row
        return row

    def _rest(self, now, name, row):
        """With nothing open it is kept where it may be forgotten."""
        if row.open:
            return
        del self.rows[name]
        bad = row.until > now or row.points * 0.5 ** ((now - row.blamed) / FADES) >= FAULT
        rows, most = (self.penalised, PENALISED) if bad else (self.resting, ROWS)
        rows[name] = row
        if len(rows) > most:
            rows.popitem(last=False)

    def _is_known(self, name):
        if not self.caps.known:
            return False
        address = ipaddress.ip_address(name.partition("/")[0])
        version, number = address.version, int(address)
        return any(version == v and number & mask == net for v, mask, net in self.caps.known)


def _address(text):
    """The name of its row: IPv4 as it is, of IPv6 the /64, as one machine has all of that."""
    if ":" not in text:
        return text
    address = ipaddress.ip_address(text.partition("%")[0])
    if address.ipv4_mapped is not None:
        return str(address.ipv4_mapped)
    return f"{ipaddress.IPv6Address(int(address) >> 64 << 64)}/64"


def _prefix(name):
    if name.endswith("/64"):
        return f"{ipaddress.IPv6Address(int(ipaddress.IPv6Address(name[:-3])) >> 80 << 80)}/48"
    return name.rpartition(".")[0] + ".0/24"
