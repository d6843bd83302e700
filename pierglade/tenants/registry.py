"""The tenants that share the fleet: what each may ask, and what is known of those with traffic.

It does no I/O and reads no clock: `now` is passed in, in whole tenths of a millisecond. Tens of
thousands of tenants cost a name and a quota each; a Tenant, with its rate and slowness, exists only
while requests of it come. Start with `TenantRegistry`.
"""

from bisect import bisect_left, insort
from collections.abc import Collection
from dataclasses import dataclass, replace

from pierglade.errors import PiergladeError
from pierglade.model.request import Tenant
from pierglade.model.ticks import Ticks

# 15 s; a tenant's rate and slowness have faded 5 s after its last answer.
LATELY: Ticks = 150000


class VersionConflictError(PiergladeError, ValueError):
    """A difference that was made from another version than the one in force."""


@dataclass(slots=True, eq=False)
class QuotaDelta:
    """What a later table of quotas says otherwise than the one of version `base`."""

    base: int
    version: int
    """The version of the later table."""
    changed: dict[str, float]
    """Name to the new quota, in requests a second."""
    gone: Collection[str] = ()
    """Names that are no tenants any more."""

    def __len__(self) -> int:
        return len(self.changed) + len(self.gone)


class TenantRegistry:
    """Quotas by name, in requests a second of all nodes together; 0 for a tenant without one.

    The table is the caller's own dict and is changed in place.
    """

    def __init__(self, shares: dict[str, float] | None = None, version: int = 0) -> None:
        self.shares, self.version = {} if shares is None else shares, version
        self.total = sum(self.shares.values())
        # Those with traffic, in two generations: who does not ask in the whole of one is dropped.
        self.young: dict[str, Tenant] = {}
        self.old: dict[str, Tenant] = {}
        self.turns_at: Ticks | None = None
        self.order: list[str] | None = None  # names by place, for callers that count

    def __len__(self) -> int:
        return len(self.shares)

    def __getitem__(self, place: int) -> Tenant:
        if self.order is None:
            self.order = list(self.shares)
        return self.of(self.order[place])

    def of(self, name: str, now: Ticks | None = None) -> Tenant | None:
        """Returns the tenant of that name, None if there is none.

        One that asks again after long is a new one.
        """
        if now is not None and (self.turns_at is None or now >= self.turns_at):
            self.turns_at = now + LATELY
            self.young, self.old = {}, self.young
        tenant = self.young.get(name)
        if tenant is None:
            tenant = self.old.pop(name, None)
            if tenant is None:
                quota = self.shares.get(name)
                if quota is None:
                    return None
                tenant = Tenant(name, quota)
            self.young[name] = tenant
        return tenant

    def apply(self, delta: QuotaDelta) -> None:
        """Applies a difference in place, in time that is proportional to it.

        Requests that were accepted before keep the Tenant that they came with, and its quota.

        Raises:
            VersionConflictError: It does not fit the version in force; nothing was changed.
        """
        if delta.base != self.version:
            raise VersionConflictError(
                f"a difference from version {delta.base} on top of {self.version}"
            )
        for name in delta.gone:
            self.shares.pop(name, None)
            self.young.pop(name, None)
            self.old.pop(name, None)
        self.shares.update(delta.changed)
        for name, quota in delta.changed.items():
            for known in (self.young, self.old):
                if name in known:
                    known[name] = replace(known[name], quota_per_second=quota)
        # Summed anew: added and taken away bit by bit, quotas that are all gone would leave a rest.
        self.total, self.version, self.order = sum(self.shares.values()), delta.version, None

    def follow(self, before: "TenantRegistry") -> None:
        """Takes over those with traffic in `before`, whose place this registry takes."""
        self.turns_at = before.turns_at
        for known, here in ((before.old, self.old), (before.young, self.young)):
            for name, tenant in known.items():
                if name in self.shares:
                    here[name] = replace(tenant, quota_per_second=self.shares[name])


class RunningMedian:
    """The median of the newest figures, one a name, of those seen within `span`.

    A figure costs the same whether a hundred or tens of thousands were seen.
    """

    def __init__(self, span: Ticks) -> None:
        self.span = span
        # Name to a figure and when it was seen, the longest unseen first.
        self.newest: dict[str, tuple[float, Ticks]] = {}
        self.figures: list[float] = []  # the same figures, sorted

    def see(self, now: Ticks, name: str, figure: float) -> None:
        """Takes in the newest figure of that name."""
        self._drop(self.newest.pop(name, None))
        self.newest[name] = figure, now
        insort(self.figures, figure)

    def figure(self, now: Ticks) -> float | None:
        """Returns the median, of two the lower; None where none was seen within the span."""
        while self.newest and now - self.newest[oldest := next(iter(self.newest))][1] >= self.span:
            self._drop(self.newest.pop(oldest))
        return self.figures[(len(self.figures) - 1) // 2] if self.figures else None

    def _drop(self, seen: tuple[float, Ticks] | None) -> None:
        if seen is not None:
            del self.figures[bisect_left(self.figures, seen[0])]
