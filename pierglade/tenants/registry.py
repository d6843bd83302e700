"""The tenants that share the fleet: what each may ask, and what is known of those with traffic.

No I/O, no clock: `now` is told, in whole tenths of a millisecond. Tens of thousands of tenants cost a
name and a share each; a Tenant, with its rate and pace, exists only while requests of it come. Start with
`Tenants`.
"""

from bisect import bisect_left, insort
from dataclasses import replace

from pierglade.model.request import Tenant

# Constants. Times are tenths of a millisecond.
LATELY = 150000  # 15 s; a tenant's rate and pace have faded 5 s after its last answer


class VersionConflictError(ValueError):
    """A difference that was made from another version than the one in force."""


class QuotaDelta:
    """What a later table of shares says otherwise than the one of version `base`; `version` is the later's.

    `changed`: name to the new share, requests a second; `gone`: names that are no tenants any more.
    """

    __slots__ = ("base", "version", "changed", "gone")

    def __init__(self, base, version, changed, gone=()):
        self.base, self.version, self.changed, self.gone = base, version, changed, gone

    def __len__(self):
        return len(self.changed) + len(self.gone)


class TenantRegistry:
    """Shares by name, in requests a second of all nodes together; 0 for a tenant without one.

    The table is the caller's own dict and is changed in place.
    """

    def __init__(self, shares=None, version=0):
        self.shares, self.version = {} if shares is None else shares, version
        self.total = sum(self.shares.values())
        # Those with traffic, in two generations: who did not ask through the whole of one is dropped.
        self.young, self.old, self.turns_at = {}, {}, None
        self.order = None  # names by place, for callers that count

    def __len__(self):
        return len(self.shares)

    def __getitem__(self, place):
        if self.order is None:
            self.order = list(self.shares)
        return self.of(self.order[place])

    def of(self, name, now=None):
        """The Tenant of that name, None if there is none; one that asks again after long is a new one."""
        if now is not None and (self.turns_at is None or now >= self.turns_at):
            self.turns_at = now + LATELY
            self.young, self.old = {}, self.young
        tenant = self.young.get(name)
        if tenant is None:
            tenant = self.old.pop(name, None)
            if tenant is None:
                share = self.shares.get(name)
                if share is None:
                    return None
                tenant = Tenant(name, share)
            self.young[name] = tenant
        return tenant

    def apply(self, difference):
        """Takes it in place, in time that goes with the difference; raises Stale, and changes nothing, if it
        does not fit.

        What was taken before keeps the Tenant that it came with, and with that the share of then.
        """
        if difference.base != self.version:
            raise VersionConflictError(
                f"a difference from version {difference.base} on top of {self.version}"
            )
        for name in difference.gone:
            self.shares.pop(name, None)
            self.young.pop(name, None)
            self.old.pop(name, None)
        self.shares.update(difference.changed)
        for name, share in difference.changed.items():
            for known in (self.young, self.old):
                if name in known:
                    known[name] = replace(known[name], quota_per_second=share)
        # Summed anew: added and taken away bit by bit, shares that are all gone would leave a crumb.
        self.total, self.version, self.order = sum(self.shares.values()), difference.version, None

    def follow(self, before):
        """Those with traffic in `before`, whose place this table takes, are known here too."""
        self.turns_at = before.turns_at
        for known, here in ((before.old, self.old), (before.young, self.young)):
            for name, tenant in known.items():
                if name in self.shares:
                    here[name] = replace(tenant, quota_per_second=self.shares[name])


class RunningMedian:
    """The middle one of the newest figures, one a name, of those seen within `span`.

    A figure costs the same whether a hundred or tens of thousands were seen.
    """

    def __init__(self, span):
        self.span = span
        self.newest = {}  # name to (figure, when), the longest unseen first
        self.figures = []  # the same figures, sorted

    def see(self, now, name, figure):
        self._drop(self.newest.pop(name, None))
        self.newest[name] = figure, now
        insort(self.figures, figure)

    def figure(self, now):
        """The middle figure, of two the lower; None where none was seen lately."""
        while self.newest and now - self.newest[oldest := next(iter(self.newest))][1] >= self.span:
            self._drop(self.newest.pop(oldest))
        return self.figures[(len(self.figures) - 1) // 2] if self.figures else None

    def _drop(self, seen):
        if seen is not None:
            del self.figures[bisect_left(self.figures, seen[0])]
