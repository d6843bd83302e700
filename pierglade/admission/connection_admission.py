"""Who may connect: limits per address and prefix, a reserve for known clients, decaying penalties.

An address is an IPv4 one or the /64 of an IPv6 one; a prefix is its /24 or /48. A known address (in
one of the operator's prefixes) has no limits and may use the reserve, until its own faults make it
count as unknown for a while. Times are tenths of a millisecond.

Memory is bounded: addresses with nothing open are evicted beyond ROWS, the least recently used
first; penalised ones are kept apart, PENALISED of them, so that a stream of fresh addresses evicts
no penalty. The cost: an address evicted early may use its full burst again.
"""

import ipaddress
from collections import Counter, OrderedDict
from collections.abc import Iterable
from enum import StrEnum

ROWS = 16384  # addresses and prefixes with nothing open; at 300 bytes each they are 5 MB
PENALISED = 4096  # likewise
BURST = 2.0  # seconds of its rate that an address may use at once, as a page opens connections
FAULT_POINTS = 1.0  # for a malformed request, or one that was never whole
REJECTED_POINTS = 0.1  # for a connection over a limit: a busy client would not go on regardless
BLOCKING_POINTS = 10.0  # from which an address is blocked
POINTS_HALF_LIFE = 100000  # 10 s
BLOCK_TIME = 50000  # 5 s; the first block of an address, doubled with each further one
BLOCK_TIME_MOST = 3000000  # 5 min
BLOCKS_EXPIRE = 6000000  # 10 min without a further one, and the next is as the first
PREFIXES = ("/24", "/48")
LOGGED_ADDRESSES = 5  # that a line of the log names


class RejectionReason(StrEnum):
    """Why a connection is rejected; the values stand in the log."""

    RATE = "rate"
    OPEN = "open"
    PREFIX = "prefix"
    RESERVE = "reserve"
    PENALTY = "penalty"


class ConnectionLimits:
    """The limits; 0 is none.

    `rate_per_address`: connections a second; `known`: prefixes as text; `reserve`: share of the
    descriptors that only known addresses may use.

    Raises:
        ValueError: one of `known` is no prefix.
    """

    def __init__(
        self,
        per_address: int = 0,
        per_prefix: int = 0,
        rate_per_address: float = 0.0,
        known: Iterable[str] = (),
        reserve: float = 0.0,
    ):
        self.per_address, self.per_prefix, self.rate = per_address, per_prefix, rate_per_address
        self.reserve = reserve
        self.known = []  # (version, mask, the address under it)
        for text in known:
            try:
                net = ipaddress.ip_network(text)
            except ValueError as fault:
                raise ValueError(f"{text!r} is no prefix: {fault}") from None
            self.known.append((net.version, int(net.netmask), int(net.network_address)))


class AddressState:
    """Open connections, rate and penalty of an address or a prefix."""

    __slots__ = (
        "blocked_until",
        "blocks",
        "known",
        "open",
        "points",
        "points_at",
        "prefix",
        "rejected",
        "tokens",
        "tokens_at",
    )

    def __init__(self, now):
        self.open = self.blocks = self.rejected = 0
        self.tokens, self.tokens_at = None, now  # of the token bucket, and when they were counted
        self.points, self.points_at, self.blocked_until = 0.0, now, 0
        self.known = self.prefix = None


class ConnectionAdmission:
    """Admits or rejects connections by `limits`, and keeps the state of their addresses."""

    def __init__(self, limits: ConnectionLimits):
        self.limits = limits
        self.rows = {}  # with something open
        self.resting = OrderedDict()  # with nothing open, and no penalty
        self.penalised = OrderedDict()  # with nothing open, and points or a block
        self.strangers = 0  # open connections of addresses that are not known
        self.by_reason = Counter()  # rejected since `take_rejections`
        self.by_address = Counter()  # the same, of at most ROWS addresses

    def set_limits(self, limits: ConnectionLimits):
        """Applies other limits from now on; open connections stay."""
        self.limits, self.strangers = limits, 0
        for rows in (self.resting, self.penalised):
            for row in rows.values():
                row.known = None
        for name, row in self.rows.items():
            if not name.endswith(PREFIXES):
                row.known = self._is_known(name)
                self.strangers += row.open * (not row.known)

    def opened(self, now: int, address: str, budget: int) -> RejectionReason | None:
        """Returns None, and counts it, if a connection from `address` is admitted; else why not.

        `budget`: descriptors that the node may use for connections.
        """
        name = _address(address)
        row = self._row(now, name)
        if row.known is None:
            row.known, row.prefix = self._is_known(name), _prefix(name)
        blocked = now < row.blocked_until
        exempt = row.known and not blocked
        reason = None if exempt else self._rejection(now, row, blocked, budget)
        if reason is not None:
            self._reject(now, name, row, reason)
            return reason
        row.open += 1
        self._row(now, row.prefix).open += 1
        self.strangers += not row.known
        return None

    def knows(self, now: int, address: str) -> bool:
        """Whether an admitted address is known, and not blocked for faults of its own."""
        row = self.rows[_address(address)]
        return bool(row.known) and now >= row.blocked_until

    def _rejection(self, now, row, blocked, budget):
        limits = self.limits
        if blocked and not row.known:
            return RejectionReason.PENALTY
        if limits.per_address and row.open >= limits.per_address:
            return RejectionReason.OPEN
        beside = self.rows.get(row.prefix)
        if limits.per_prefix and beside is not None and beside.open >= limits.per_prefix:
            return RejectionReason.PREFIX
        if limits.reserve and self.strangers >= (1 - limits.reserve) * budget:
            return RejectionReason.RESERVE
        if limits.rate:
            most = max(1.0, BURST * limits.rate)
            if row.tokens is None:
                row.tokens = most
            else:
                refilled = row.tokens + limits.rate * (now - row.tokens_at) / 10000
                row.tokens = min(most, refilled)
            row.tokens_at = now
            if row.tokens < 1:
                return RejectionReason.RATE
            row.tokens -= 1
        return None

    def closed(self, now: int, address: str):
        """Notes that one of its admitted connections has ended."""
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

    def faulted(self, now: int, address: str, points: float = FAULT_POINTS):
        """Notes that it sent a malformed request, or never the whole of one."""
        name = _address(address)
        self._add_points(now, name, self._row(now, name), points)
        self._rest(now, name, self.rows[name])

    def _add_points(self, now, name, row, points):
        row.points = row.points * 0.5 ** ((now - row.points_at) / POINTS_HALF_LIFE) + points
        row.points_at = now
        if row.points < BLOCKING_POINTS or now < row.blocked_until:
            return
        if now - row.blocked_until > BLOCKS_EXPIRE:
            row.blocks = 0
        row.blocked_until = now + min(BLOCK_TIME_MOST, BLOCK_TIME << min(row.blocks, 16))
        row.blocks += 1
        row.points = 0.0

    def _reject(self, now, name, row, reason):
        row.rejected += 1
        self.by_reason[reason.value] += 1
        self.by_address[name] += 1
        if len(self.by_address) > ROWS:
            self.by_address = Counter(dict(self.by_address.most_common(ROWS // 2)))
        if reason is not RejectionReason.PENALTY:
            self._add_points(now, name, row, REJECTED_POINTS)
        self._rest(now, name, row)

    def take_rejections(self) -> tuple[dict[str, int], list[tuple[str, int]]]:
        """Returns the rejections since the last call: counts by reason, and the worst addresses."""
        by_reason, by_address = self.by_reason, self.by_address
        self.by_reason, self.by_address = Counter(), Counter()
        return dict(by_reason), by_address.most_common(LOGGED_ADDRESSES)

    def top(self, now: int, most: int = 20) -> list[dict]:
        """Returns the addresses rejected most or blocked, worst first, as operators read them."""
        rows = [
            (name, row)
            for rows in (self.rows, self.penalised, self.resting)
            for name, row in rows.items()
            if row.rejected or row.blocked_until > now
        ]
        rows.sort(key=lambda pair: (-pair[1].rejected, pair[0]))
        return [
            {
                "address": name,
                "open": row.open,
                "turned_away": row.rejected,
                "known": bool(row.known),
                "shut_out_s": max(0, row.blocked_until - now) / 10000,
            }
            for name, row in rows[:most]
        ]

    def _row(self, now, name):
        row = self.rows.get(name)
        if row is None:
            row = (
                self.resting.pop(name, None) or self.penalised.pop(name, None) or AddressState(now)
            )
            self.rows[name] = row
        return row

    def _rest(self, now, name, row):
        """Moves an address with nothing open to where it may be evicted."""
        if row.open:
            return
        del self.rows[name]
        points = row.points * 0.5 ** ((now - row.points_at) / POINTS_HALF_LIFE)
        penalised = row.blocked_until > now or points >= FAULT_POINTS
        rows, most = (self.penalised, PENALISED) if penalised else (self.resting, ROWS)
        rows[name] = row
        if len(rows) > most:
            rows.popitem(last=False)

    def _is_known(self, name):
        if not self.limits.known:
            return False
        address = ipaddress.ip_address(name.partition("/")[0])
        version, number = address.version, int(address)
        return any(version == v and number & mask == net for v, mask, net in self.limits.known)


def _address(text):
    """Returns the key of its state: IPv4 as it is, of IPv6 the /64 that one machine has."""
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
