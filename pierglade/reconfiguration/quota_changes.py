"""What later quotas say otherwise than those in force, compared in steps."""

from collections.abc import Collection, Generator, Iterator

from pierglade.tenants.registry import QuotaDelta, TenantRegistry

# Constants.
AT_ONCE = 1000  # names in one step, under half a ms


def steps(before: TenantRegistry, after: dict[str, float]) -> Generator[None, None, QuotaDelta]:
    """Yields after each step; returns the difference from `before` to the quotas `after`.

    It fits `before` only as it was at the first step: a change meanwhile makes it conflict.
    """
    base, changed, seen = before.version, {}, 0
    for names in _batches(after):
        for name in names:
            share = before.shares.get(name)
            seen += share is not None
            if share != after[name]:
                changed[name] = after[name]
        yield
    gone = []
    if seen < len(before.shares):
        for names in _batches(before.shares):
            gone += [name for name in names if name not in after]
            yield
    return QuotaDelta(base, base + 1, changed, gone)


def clear(shares: dict[str, float]) -> Iterator[None]:
    """Yields after each step; empties a table of no more use. At once it would delay requests."""
    while shares:
        for _ in range(min(AT_ONCE, len(shares))):
            shares.popitem()
        yield


def fits_in_place(before: TenantRegistry, after: dict[str, float]) -> bool:
    """Whether a node can go on with other quotas.

    With the first quota, or the last one gone, other figures say what demand comes to it, and the
    limit on attempts in flight begins anew.
    """
    return (before.total > 0) == (sum(after.values()) > 0)


def _batches(names: Collection[str]) -> Iterator[list[str]]:
    names = list(names)
    for at in range(0, len(names), AT_ONCE):
        yield names[at : at + AT_ONCE]
