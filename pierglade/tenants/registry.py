"""The tenants that share the fleet: their quotas, and the state of those with traffic.

The module does no I/O and reads no clock: `now` is passed in, in ticks (tenths of a millisecond).
To save memory with tens of thousands of tenants, only a name and a quota are stored for each. A
Tenant object, with its rate and slowness, exists only while the tenant sends requests. Start with
`TenantRegistry`.
"""

from bisect import bisect_left, insort
from collections.abc import Collection
from dataclasses import dataclass, replace

from pierglade.errors import PiergladeError
from pierglade.model.request import Tenant
from pierglade.model.ticks import Ticks

# Ticks (15 s). The rate and slowness of a tenant have decayed 5 s after its last answer.
GENERATION_SPAN: Ticks = 150000


class VersionConflictError(PiergladeError, ValueError):
    """A quota change that is based on a version other than the current one."""


@dataclass(slots=True, eq=False)
class QuotaDelta:
    """The difference between the quotas of version `base_version` and a later version."""

    base_version: int
    version: int
    """The version of the later table."""
    changed: dict[str, float]
    """New quotas by name, in requests a second."""
    removed: Collection[str] = ()
    """Names of tenants that no longer exist."""

    def __len__(self) -> int:
        return len(self.changed) + len(self.removed)


class TenantRegistry:
    """Quotas by name, in requests a second over all nodes; 0 for a tenant without one.

    The dictionary `quotas` belongs to the caller and is changed in place.
    """

    def __init__(self, quotas: dict[str, float] | None = None, version: int = 0) -> None:
        self.quotas, self.version = {} if quotas is None else quotas, version
        self.total = sum(self.quotas.values())
        # Tenants with traffic, in two generations. A tenant that sends no requests during a whole
        # generation is dropped.
        self.current_generation: dict[str, Tenant] = {}
        self.previous_generation: dict[str, Tenant] = {}
        self.next_generation_at: Ticks | None = None
        # Names by index, for callers that address tenants by number.
        self.names: list[str] | None = None

    def __len__(self) -> int:
        return len(self.quotas)

    def __getitem__(self, index: int) -> Tenant:
        if self.names is None:
            self.names = list(self.quotas)
        return self.tenant(self.names[index])

    def tenant(self, name: str, now: Ticks | None = None) -> Tenant | None:
        """Returns the tenant of that name, or None if there is none.

        Its state is new if it has sent no requests for a long time.
        """
        if now is not None and (self.next_generation_at is None or now >= self.next_generation_at):
            self.next_generation_at = now + GENERATION_SPAN
            self.current_generation, self.previous_generation = {}, self.current_generation
        tenant = self.current_generation.get(name)
        if tenant is None:
            tenant = self.previous_generation.pop(name, None)
            if tenant is None:
                quota = self.quotas.get(name)
                if quota is None:
                    return None
                tenant = Tenant(name, quota)
            self.current_generation[name] = tenant
        return tenant

    def apply(self, delta: QuotaDelta) -> None:
        """Applies a difference in place, in time proportional to its size.

        Requests accepted before keep their Tenant, with the quota of that time.

        Raises:
            VersionConflictError: It is not based on the current version; nothing was changed.
        """
        if delta.base_version != self.version:
            raise VersionConflictError(
                f"quota change is based on version {delta.base_version}; "
                f"expected version {self.version}"
            )
        for name in delta.removed:
            self.quotas.pop(name, None)
            self.current_generation.pop(name, None)
            self.previous_generation.pop(name, None)
        self.quotas.update(delta.changed)
        for name, quota in delta.changed.items():
            for generation in (self.current_generation, self.previous_generation):
                if name in generation:
                    generation[name] = replace(generation[name], quota_per_second=quota)
        # The total is summed again: additions and subtractions would leave a rounding error when
        # all quotas are removed.
        self.total, self.version, self.names = sum(self.quotas.values()), delta.version, None

    def take_over_state(self, previous: "TenantRegistry") -> None:
        """Takes over the state of tenants with traffic from `previous`, which this one replaces."""
        self.next_generation_at = previous.next_generation_at
        for source, target in (
            (previous.previous_generation, self.previous_generation),
            (previous.current_generation, self.current_generation),
        ):
            for name, tenant in source.items():
                if name in self.quotas:
                    target[name] = replace(tenant, quota_per_second=self.quotas[name])


class RunningMedian:
    """The median of the newest values of all names that were recorded within `span`.

    Recording a value takes the same time for a hundred names as for tens of thousands.
    """

    def __init__(self, span: Ticks) -> None:
        self.span = span
        # Name to a value and when it was recorded, the oldest first.
        self.newest_values: dict[str, tuple[float, Ticks]] = {}
        self.sorted_values: list[float] = []  # the same values, sorted

    def add(self, now: Ticks, name: str, value: float) -> None:
        """Records the newest value of that name."""
        self._drop(self.newest_values.pop(name, None))
        self.newest_values[name] = value, now
        insort(self.sorted_values, value)

    def median(self, now: Ticks) -> float | None:
        """Returns the median, or the lower of two; None without values within the span."""
        while (
            self.newest_values
            and now - self.newest_values[oldest := next(iter(self.newest_values))][1] >= self.span
        ):
            self._drop(self.newest_values.pop(oldest))
        return (
            self.sorted_values[(len(self.sorted_values) - 1) // 2] if self.sorted_values else None
        )

    def _drop(self, recorded: tuple[float, Ticks] | None) -> None:
        if recorded is not None:
            del self.sorted_values[bisect_left(self.sorted_values, recorded[0])]
