"""What is counted in a play, in bins of 100 ms, and its summary."""

import numpy as np

from pierglade.model.decision import RejectRequest

BIN = 1000.0  # 100 ms, in tenths of a millisecond
RECENT = (
    5  # bins; a rate is reckoned over half a second, or a fixed answer time would show as steps
)
FOUND = 0.9  # share of what is possible from which room counts as found
LASTS = 5  # s; at the end of a play, by which what it settles after a change is known
SPAN = 20  # bins; two seconds are what overdriven backends bear
FOLLOWED = 0.8  # share of that; less is a limit that has not followed
CALM = (
    1.5  # times what the backends work on at once; more is a queue that lasts, and overdrives them
)
EXACT = 1e-9  # share; sums of some hundred figures are good to far less
KINDS = ("asked", "settled", "in_time", "bounced", "given_up", "left")


class Tally:
    def __init__(self, plan, clock):
        self.plan, self.clock = plan, clock
        self.bins = {kind: np.zeros(int(plan.seconds * 10) + 1, int) for kind in KINDS}
        self.latency = [
            [] for _ in plan.request_class
        ]  # (moment asked, tenths of ms until settled)
        self.out, self.limit, self.tipped, self.beyond = [], [], [], []
        self.inside = 0  # asked and not yet asked again: kept clients in the system
        self.attempts = self.extra = 0

    def _count(self, kind):
        place = int(self.clock.now / BIN)
        if place < len(self.bins[kind]):
            self.bins[kind][place] += 1

    def asked(self, ask):
        self.inside += 1
        self._count("asked")

    def settled(self, ask):
        self._count("settled")
        if self.clock.now <= ask.expected:
            self._count("in_time")
        self.latency[ask.request_class].append((ask.asked, self.clock.now - ask.asked))

    def refused(self, ask, kind):
        self._count("bounced" if kind is RejectRequest else "given_up")

    def left(self, ask):
        self._count("left")

    def sample(self, out, limit, tipped, beyond):
        self.out.append(out)
        self.limit.append(limit)
        self.tipped.append(tipped)
        self.beyond.append(beyond)

    def rate(self, kind, since_s=None, until_s=None):
        """A second, over a span in seconds; without one, over what is not left out."""
        first = self.plan.left_out_s if since_s is None else since_s
        last = self.plan.seconds if until_s is None else until_s
        return float(self.bins[kind][int(first * 10) : int(last * 10)].sum() / (last - first))

    def found_after(self, possible, since_s=0.0):
        """Seconds from `since_s` until FOUND of `possible` is settled in time, over half a second."""
        counts = self.bins["in_time"][int(since_s * 10) :]
        recent = np.convolve(counts, np.ones(RECENT), "valid") / (RECENT / 10)
        reached = np.flatnonzero(recent >= FOUND * possible)
        return None if not len(reached) else float(reached[0] + RECENT) / 10

    def after_change(self):
        """Seconds from the plan's last change until the mean over SPAN was never again under FOLLOWED of
        what is settled at the end, and until what was at the backends never again was over CALM in that mean.
        (None, None) without a change; None each for what was not reached LASTS before the end."""
        changes = [c.at_s for c in self.plan.change if 0 < c.at_s < self.plan.seconds - 2 * LASTS]
        if not changes:
            return None, None
        since, mean = int(max(changes) * 10), np.ones(SPAN) / SPAN
        rates = (
            np.convolve(self.bins["in_time"][since : int(self.plan.seconds * 10)], mean, "valid")
            * 10
        )
        # A mean that is the bound itself must not pass it by the order in which a processor adds.
        low = rates < FOLLOWED * self.rate("in_time", self.plan.seconds - LASTS) * (1 - EXACT)
        high = np.convolve(self.beyond[since:], mean, "valid") > CALM * (1 + EXACT)
        return tuple(self._until(bad) for bad in (low, high))

    @staticmethod
    def _until(bad):
        places = np.flatnonzero(bad)
        if not len(places):
            return 0.0
        return (
            None if places[-1] > len(bad) - LASTS * 10 else round(float(places[-1] + SPAN) / 10, 1)
        )

    def summary(self, possible, backends, broken):
        """Plain data. Rates a second, times in ms, both without the first `left_out_s`."""
        whole = {kind: round(self.rate(kind), 1) for kind in KINDS}
        since = self.plan.left_out_s * 10000.0
        by_offering = {}
        for request_class, pairs in zip(self.plan.request_class, self.latency):
            took = [span for asked, span in pairs if asked >= since]
            by_offering[request_class.name] = {
                "settled_per_s": round(len(took) / (self.plan.seconds - self.plan.left_out_s), 1),
                **(
                    {f"p{p:g}_ms": round(float(np.percentile(took, p)) / 10, 2) for p in (50, 99)}
                    if took
                    else {}
                ),
            }
        all_took = [span for pairs in self.latency for asked, span in pairs if asked >= since]
        late = int(self.plan.left_out_s * 10)
        followed, calm = self.after_change()
        return {
            "title": self.plan.title,
            "possible_per_s": round(possible, 1),
            "per_s": whole,
            "share": round(whole["in_time"] / possible, 3) if possible else None,
            "found_after_s": self.found_after(possible),
            "followed_s": followed,
            "calm_s": calm,
            "p50_ms": round(float(np.percentile(all_took, 50)) / 10, 2) if all_took else None,
            "p99_ms": round(float(np.percentile(all_took, 99)) / 10, 2) if all_took else None,
            "offerings": by_offering,
            "most_out": max(self.out, default=0),
            "mean_out": round(float(np.mean(self.out[late:])), 1) if self.out[late:] else None,
            "mean_limit": round(float(np.mean(self.limit[late:])), 1)
            if self.limit[late:]
            else None,
            "most_beyond": round(max(self.beyond, default=0.0), 2),
            "trips": self.attempts,
            "tips": sum(b.tips for b in backends),
            "falls": sum(b.falls for b in backends),
            "tipped_s": round(sum(self.tipped) / 10, 1),
            "broken": broken,
        }
