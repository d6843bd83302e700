"""Connection admission: limits per address and prefix, a reserve for known clients, penalties.

An address is an IPv4 address or the /64 of an IPv6 one; a prefix is its /24 or /48. A known address
(in one of the operator's prefixes) has no limits and may use the reserve. After too many faults of
its own, it is treated as unknown for a while. Times are ticks (tenths of a millisecond).

Memory is bounded: addresses without open connections are evicted beyond MAX_IDLE_ADDRESSES, least
recently used first. At most MAX_PENALISED_ADDRESSES penalised addresses are stored separately, so
that a stream of new addresses does not evict them. An address that was evicted early may use its
full burst again.
"""

import ipaddress
from collections import Counter, OrderedDict
from collections.abc import Iterable
from enum import StrEnum

# Maximum number of addresses and prefixes without open connections; 5 MB at 300 bytes each.
MAX_IDLE_ADDRESSES = 16384
# Maximum number of penalised addresses without open connections.
MAX_PENALISED_ADDRESSES = 4096
# An address may open the connections of this many seconds at once, as a browser does for a page.
BURST_S = 2.0
# Penalty points for a malformed or incomplete request.
FAULT_POINTS = 1.0
# Penalty points for a connection over a limit; a well-behaved client stops when it is rejected.
REJECTION_POINTS = 0.1
# An address with this many points is blocked.
BLOCKING_POINTS = 10.0
POINTS_HALF_LIFE_TICKS = 100000  # 10 s
# 5 s. The first block of an address; each further block is twice as long.
FIRST_BLOCK_TICKS = 50000
MAX_BLOCK_TICKS = 3000000  # 5 min
# 10 min. After this time without another block, the next one is as short as the first.
BLOCK_HISTORY_TICKS = 6000000
PREFIX_SUFFIXES = ("/24", "/48")
# Maximum number of addresses in a log line.
MAX_LOGGED_ADDRESSES = 5


class RejectionReason(StrEnum):
    """The reason why a connection is rejected; the values appear in the log."""

    RATE = "rate"
    OPEN = "open"
    PREFIX = "prefix"
    RESERVE = "reserve"
    PENALTY = "penalty"


class ConnectionLimits:
    """Limits on connections; 0 means no limit.

    Args:
        per_address: Maximum number of open connections per address.
        per_prefix: Maximum number of open connections per prefix.
        rate_per_address: Maximum number of new connections per second and address.
        known: Prefixes of known clients, as text.
        reserve: Fraction of the file descriptors that only known addresses may use.

    Raises:
        ValueError: An entry of `known` is not a prefix.
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
        self.known = []  # (IP version, netmask, network address), as integers
        for prefix in known:
            try:
                network = ipaddress.ip_network(prefix)
            except ValueError as error:
                raise ValueError(
                    f"admission.known has {prefix!r}; expected a prefix: {error}"
                ) from None
            self.known.append((network.version, int(network.netmask), int(network.network_address)))


class AddressState:
    """Open connections, rate limit and penalty of an address or a prefix."""

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
        self.tokens, self.tokens_at = None, now  # tokens in the token bucket at tokens_at
        self.points, self.points_at, self.blocked_until = 0.0, now, 0
        self.known = self.prefix = None


class ConnectionAdmission:
    """Admits or rejects connections by `limits` and tracks the state of their addresses."""

    def __init__(self, limits: ConnectionLimits):
        self.limits = limits
        self.active = {}  # AddressState by address or prefix, with open connections
        self.idle = OrderedDict()  # without open connections, not penalised
        self.penalised = OrderedDict()  # without open connections, with points or a block
        self.unknown_open = 0  # open connections of unknown addresses
        self.by_reason = Counter()  # rejections since the last `take_rejections`
        self.by_address = Counter()  # the same by address, at most MAX_IDLE_ADDRESSES of them

    def set_limits(self, limits: ConnectionLimits):
        """Replaces the limits; connections that are already open stay open."""
        self.limits, self.unknown_open = limits, 0
        for states in (self.idle, self.penalised):
            for state in states.values():
                state.known = None
        for key, state in self.active.items():
            if not key.endswith(PREFIX_SUFFIXES):
                state.known = self._is_known(key)
                self.unknown_open += state.open * (not state.known)

    def admit(self, now: int, address: str, budget: int) -> RejectionReason | None:
        """Counts a connection from `address` if it is admitted, or returns why it is rejected.

        Args:
            now: The current time.
            address: The client's IP address.
            budget: File descriptors that the node may use for connections.

        Returns:
            None if the connection is admitted, else the reason of its rejection.
        """
        key = _address_key(address)
        state = self._activate(now, key)
        if state.known is None:
            state.known, state.prefix = self._is_known(key), _prefix_key(key)
        blocked = now < state.blocked_until
        exempt = state.known and not blocked
        reason = None if exempt else self._rejection_reason(now, state, blocked, budget)
        if reason is not None:
            self._record_rejection(now, key, state, reason)
            return reason
        state.open += 1
        self._activate(now, state.prefix).open += 1
        self.unknown_open += not state.known
        return None

    def is_known_client(self, now: int, address: str) -> bool:
        """Returns whether an admitted address is known and is not blocked for its own faults."""
        state = self.active[_address_key(address)]
        return bool(state.known) and now >= state.blocked_until

    def _rejection_reason(self, now, state, blocked, budget):
        limits = self.limits
        if blocked and not state.known:
            return RejectionReason.PENALTY
        if limits.per_address and state.open >= limits.per_address:
            return RejectionReason.OPEN
        prefix = self.active.get(state.prefix)
        if limits.per_prefix and prefix is not None and prefix.open >= limits.per_prefix:
            return RejectionReason.PREFIX
        if limits.reserve and self.unknown_open >= (1 - limits.reserve) * budget:
            return RejectionReason.RESERVE
        if limits.rate:
            max_tokens = max(1.0, BURST_S * limits.rate)
            if state.tokens is None:
                state.tokens = max_tokens
            else:
                refilled = state.tokens + limits.rate * (now - state.tokens_at) / 10000
                state.tokens = min(max_tokens, refilled)
            state.tokens_at = now
            if state.tokens < 1:
                return RejectionReason.RATE
            state.tokens -= 1
        return None

    def connection_closed(self, now: int, address: str):
        """Records that an admitted connection of `address` has closed."""
        key = _address_key(address)
        state = self.active.get(key)
        if state is None or not state.open:
            return
        state.open -= 1
        self.unknown_open -= not state.known
        prefix = self.active[state.prefix]
        prefix.open -= 1
        self._deactivate(now, state.prefix, prefix)
        self._deactivate(now, key, state)

    def record_fault(self, now: int, address: str, points: float = FAULT_POINTS):
        """Records that `address` sent a malformed or incomplete request."""
        key = _address_key(address)
        self._add_points(now, key, self._activate(now, key), points)
        self._deactivate(now, key, self.active[key])

    def _add_points(self, now, key, state, points):
        state.points = (
            state.points * 0.5 ** ((now - state.points_at) / POINTS_HALF_LIFE_TICKS) + points
        )
        state.points_at = now
        if state.points < BLOCKING_POINTS or now < state.blocked_until:
            return
        if now - state.blocked_until > BLOCK_HISTORY_TICKS:
            state.blocks = 0
        state.blocked_until = now + min(MAX_BLOCK_TICKS, FIRST_BLOCK_TICKS << min(state.blocks, 16))
        state.blocks += 1
        state.points = 0.0

    def _record_rejection(self, now, key, state, reason):
        state.rejected += 1
        self.by_reason[reason.value] += 1
        self.by_address[key] += 1
        if len(self.by_address) > MAX_IDLE_ADDRESSES:
            self.by_address = Counter(dict(self.by_address.most_common(MAX_IDLE_ADDRESSES // 2)))
        if reason is not RejectionReason.PENALTY:
            self._add_points(now, key, state, REJECTION_POINTS)
        self._deactivate(now, key, state)

    def take_rejections(self) -> tuple[dict[str, int], list[tuple[str, int]]]:
        """Returns the rejections since the last call by reason, and the most rejected addresses."""
        by_reason, by_address = self.by_reason, self.by_address
        self.by_reason, self.by_address = Counter(), Counter()
        return dict(by_reason), by_address.most_common(MAX_LOGGED_ADDRESSES)

    def most_rejected(self, now: int, max_count: int = 20) -> list[dict]:
        """Returns the rejected or blocked addresses, most rejected first, for `GET /admission`."""
        entries = [
            (key, state)
            for states in (self.active, self.penalised, self.idle)
            for key, state in states.items()
            if state.rejected or state.blocked_until > now
        ]
        entries.sort(key=lambda entry: (-entry[1].rejected, entry[0]))
        return [
            {
                "address": key,
                "open": state.open,
                "turned_away": state.rejected,
                "known": bool(state.known),
                "shut_out_s": max(0, state.blocked_until - now) / 10000,
            }
            for key, state in entries[:max_count]
        ]

    def _activate(self, now, key):
        state = self.active.get(key)
        if state is None:
            state = self.idle.pop(key, None) or self.penalised.pop(key, None) or AddressState(now)
            self.active[key] = state
        return state

    def _deactivate(self, now, key, state):
        """Moves an address without open connections to a table from which it may be evicted."""
        if state.open:
            return
        del self.active[key]
        points = state.points * 0.5 ** ((now - state.points_at) / POINTS_HALF_LIFE_TICKS)
        penalised = state.blocked_until > now or points >= FAULT_POINTS
        states, max_states = (
            (self.penalised, MAX_PENALISED_ADDRESSES)
            if penalised
            else (self.idle, MAX_IDLE_ADDRESSES)
        )
        states[key] = state
        if len(states) > max_states:
            states.popitem(last=False)

    def _is_known(self, key):
        if not self.limits.known:
            return False
        address = ipaddress.ip_address(key.partition("/")[0])
        version, number = address.version, int(address)
        return any(
            version == known_version and number & netmask == network
            for known_version, netmask, network in self.limits.known
        )


def _address_key(text):
    """Returns the key of an address: an IPv4 address, or the /64 of IPv6 that one host uses."""
    if ":" not in text:
        return text
    address = ipaddress.ip_address(text.partition("%")[0])
    if address.ipv4_mapped is not None:
        return str(address.ipv4_mapped)
    return f"{ipaddress.IPv6Address(int(address) >> 64 << 64)}/64"


def _prefix_key(key):
    if key.endswith("/64"):
        return f"{ipaddress.IPv6Address(int(ipaddress.IPv6Address(key[:-3])) >> 80 << 80)}/48"
    return key.rpartition(".")[0] + ".0/24"
