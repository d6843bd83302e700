"""What later shares say otherwise than those in force."""

from pierglade.tenants.registry import QuotaDelta

# Constants.
AT_ONCE = 1000  # names in one step, under half a ms


def steps(before, after):
    """Yields after each step; returns the Difference from `before`, a Tenants, to the shares `after`.

    It fits `before` only as it was at the first step: what is changed meanwhile makes it stale.
    """
    base, changed, seen = before.version, {}, 0
    for names in _some(after):
        for name in names:
            share = before.shares.get(name)
            seen += share is not None
            if share != after[name]:
                changed[name] = after[name]
        yield
    gone = []
    if seen < len(before.shares):
        for names in _some(before.shares):
            gone += [name for name in names if name not in after]
            yield
    return QuotaDelta(base, base + 1, changed, gone)


def let_go(shares):
    """Yields after each step; empties a table that is of no more use. At once it would hold others up."""
    while shares:
        for _ in range(min(AT_ONCE, len(shares))):
            shares.popitem()
        yield


def fits_in_place(before, after):
    """Whether a node can go on with other shares.

    With the first share, or the last one gone, other figures say what comes to it, and how many attempts may
    be out begins anew.
    """
    return (before.total > 0) == (sum(after.values()) > 0)


def _some(names):
    names = list(names)
    for at in range(0, len(names), AT_ONCE):
        yield names[at : at + AT_ONCE]
