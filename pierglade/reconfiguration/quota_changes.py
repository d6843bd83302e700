"""Compares new quotas with the current ones, in steps."""

from collections.abc import Collection, Generator, Iterator

from pierglade.tenants.registry import QuotaDelta, TenantRegistry

# Names compared in one step, which takes under half a millisecond.
BATCH_SIZE = 1000


def compare_quotas(
    current: TenantRegistry, new_quotas: dict[str, float]
) -> Generator[None, None, QuotaDelta]:
    """Yields after each step; returns the difference from `current` to `new_quotas`.

    The difference is based on the version at the first step; it conflicts with any later change.
    """
    base, changed, common = current.version, {}, 0
    for names in _batches(new_quotas):
        for name in names:
            quota = current.quotas.get(name)
            common += quota is not None
            if quota != new_quotas[name]:
                changed[name] = new_quotas[name]
        yield
    removed = []
    if common < len(current.quotas):
        for names in _batches(current.quotas):
            removed += [name for name in names if name not in new_quotas]
            yield
    return QuotaDelta(base, base + 1, changed, removed)


def clear_quotas(quotas: dict[str, float]) -> Iterator[None]:
    """Empties an unused table and yields after each step; one long step would delay requests."""
    while quotas:
        for _ in range(min(BATCH_SIZE, len(quotas))):
            quotas.popitem()
        yield


def can_apply_in_place(current: TenantRegistry, new_quotas: dict[str, float]) -> bool:
    """Returns whether a balancer can apply new quotas without being replaced.

    It cannot when the first quota is added or the last one removed: its demand is then derived from
    other statistics, and its limit on attempts in flight is reset.
    """
    return (current.total > 0) == (sum(new_quotas.values()) > 0)


def _batches(names: Collection[str]) -> Iterator[list[str]]:
    names = list(names)
    for start in range(0, len(names), BATCH_SIZE):
        yield names[start : start + BATCH_SIZE]
