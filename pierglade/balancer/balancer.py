"""All decisions of a pierglade node: rotation around forecast pauses.

How it is called: a host makes one Balancer for each balancer, with a seed and the Terms of its deployment.
Whatever comes in is told at once by `listed`, `taken`, `returned`, `streaming`, `abandoned` and `probed`;
these only update what is known. The host then pulls `decide(now)` until it answers None, carries each
decision out, and calls again no later than `wake(now)`. A decision is a pair of a kind and its subject.
The types of this interface, and the kinds, are in `pierglade/model/request.py`; docs/design.md has the reasons.
"""

import random
from bisect import bisect_left, insort
from collections import deque
from heapq import heappop, heappush
from math import exp, log, sqrt
from typing import NamedTuple

from pierglade.balancer.endpoint_stats import EndpointStats, RequestStats
from pierglade.balancer.health_checks import HealthChecks
from pierglade.balancer.load_reports import LOOK_INTERVAL, LoadReports
from pierglade.balancer.pause_forecast import PauseForecast
from pierglade.balancer.polling import PollSchedule
from pierglade.balancer.retry import RetryBudget
from pierglade.balancer.slow_start import SlowStart
from pierglade.balancer.stored_figures import STORED_FIGURES
from pierglade.concurrency.limiter import ConcurrencyLimiter
from pierglade.model.decision import (
    CancelAttempt,
    CheckHealth,
    FailRequest,
    PollEndpoints,
    RejectRequest,
    SendAttempt,
)
from pierglade.model.endpoint import EjectionReason, EndpointState, LoadReportSource
from pierglade.model.outcome import Outcome
from pierglade.model.request import Attempt, Idempotency
from pierglade.tenants.registry import RunningMedian

# Constants. Times are tenths of a millisecond.
REST_MOST = 50000  # 5 s; longest that a slow backend is left alone before it is tried in earnest
FAR = 2.5  # times; quick latency this far above its smoothed level is a pause, above a wide tail
GOOD = 2.0  # times; an answer within this of the level ends a pause, under FAR so it cannot flap
RATIO_CAP = 6.0  # times; one answer counts as no slower, so that one heavy invocation is no pause
QUICK, LEVEL = 1 / 4, 1 / 32  # shares of a new answer in the quick and in the smoothed level
LEVEL_SPAN = 30000  # 3 s; the level follows within this where answers are rare
GRAIN = 50  # 5 ms; a host is held up for as long now and then, so what is quicker tells nothing
TYPICAL = 1 / 24  # share of a new answer in an offering's typical latency: about a second's worth
ERRORS = 0.3  # share of a new outcome in the error level
ERRORS_GOOD = 0.2  # level; after two errors in a row three good answers end an outage
UNREACHED = 0.51  # the same share where no connection came up; as much as two errors
IN_A_ROW = (
    1.43  # errors; so many and over half of one more start an outage where few trips are lost
)
BY_CHANCE = (
    0.0005  # share; where losses are common, as many in a row as are rarer than this by chance
)
LOST_LEAST, LOST_MOST = (
    0.001,
    0.5,
)  # shares lost; rarer is not seen within minutes, half is no chance
COMMON = 1 / 64  # share of a new outcome in what backends that are well lose; half a second's worth
SILENT = 6.0  # times typical, summed over the trips out; chance silence is rarer if work is alike
RARE = 3.3  # standard deviations of the work, over the trips out; the same where it is not
SILENT_LEAST = (
    2.5  # times typical; one slow service must not look silent however many wait behind it
)
TRIAL_GAP, TRIAL_GAP_MOST = 1500, 40000  # 150 ms, 4 s; between trials, doubled after each bad one
DEAR = 0.05  # of an invocation's worth for each crossing; less is no reason to crowd the own zone
DRAGS = 2.5  # times what others take; a tenant's work that takes so long is slow wherever it goes
DRAG_HEED = 1 / 8  # share of a new answer in that
DRAG_MOST, DRAG_TRIES = 20.0, 16  # times; one in so many goes out though it would come late
DRAG_SPAN = (
    50000  # 5 s; a tenant that was slow is as others again within this, unless it is seen slow
)
CROWD = 1.0  # times the mean in flight; far more than chance piles up on one backend
CROWD_FLOOR = 0.5  # trips; below this much over the mean nothing is crowded
HOPELESS = 1.5  # times typical; with less time than this left, too many would come too late
CHANCE = 0.4  # the same while there is room: work is uneven, and half of it takes less than this
HOPELESS_MOST = 0.9  # share of the expected time; what has just come in is worth a trip
HOPELESS_LEAST = 100  # 10 ms; a host acts every few ms, and the answer must be out before the limit
USUAL = 0.02  # share; a try with this much less time than first ones was cut by the hard limit
VOTES_MOST = 50  # tries; how many it takes to change what is usual, about a second's worth
PATIENCE = (
    0.3  # share of the expected time; held longer, it is bounced, as is what is over its share
)
IN_VIEW = 2500  # 0.25 s; of a backend seen less often it is not known how full it is
COST_LEAST, COST_MOST = 0.25, 4.0  # times the mean; hints are not to be trusted beyond
SOME = 1e-5  # 0.1 a second; a node that nothing has come to yet is asked for that much
MOVE = 50000  # 5 s; between moves by one backend towards an even place on the ring
FEWEST = 2  # backends; with fewer a node could lose all to one outage
STEEP = 4  # power of the level in turns; nothing else evens out what few links bring by chance
OVER_SHARE = (
    1.3  # times its share; nodes see tenants unevenly, and two seconds of a small one are few
)
RATE_SPAN = 20000  # 2 s; span over which a tenant's rate is seen
GHOST = 1.5  # times typical; how long a trip that nobody waits for still counts as in flight
LIGHT = 0.1  # share of the work asked for; so little of it need not wait for room
WAITED = 0.1  # share of the expected time; an oldest held wait beyond it ranks what is held by gain
BEHIND = 1000  # 100 ms; a host that had no rest for so long is short of its core, not held up once
PASSED_OVER = (
    100  # 10 ms; about an attempt, by which a backend is skipped before its forecast pause
)
SWEEP = 500  # 50 ms; looking for silence costs little at this pace and finds it within one answer
NEVER = 1 << 62  # a moment that does not come
COMES_BACK = 20000  # 2 s; a client that was not settled asks again within this or not at all
COME_SOON = 1000  # 0.1 s; the same where there is none, and what it found full may be free
COME_BACK = 5000  # 0.5 s; advice to a bounced client under overload, the time a burst takes to pass

# Why a backend takes trials only.
SLOW, SILENCE, FAILING = EjectionReason.SLOW, EjectionReason.UNRESPONSIVE, EjectionReason.FAILING
FALLBACKS = ("forecast", SLOW, "crowded", "light")  # skips that give way when all are skipped
COUNTED = (None, SLOW)  # trips on the others come to nothing and must not use up the limit


# Of each backend an array, and what a new one begins with. Its process's past: losses, latency.
HISTORY = dict(
    errors=0.0,
    relapses=0,
    quick=1.0,
)
# Its turns, its level, trouble, trials.
FIRST = HISTORY | dict(
    owed=0.0,
    last_answer=0,
    level=1.0,
    trouble=None,
    since=0,
    until=0,
    trial_at=0,
    trial_gap=TRIAL_GAP,
    trial_due=False,
    trials_out=0,
)


class EndpointStatus(NamedTuple):
    """What a balancer knows of a backend, for operators."""

    zone: str | None
    is_in_subset: bool
    in_flight: int
    ejection_reason: EjectionReason | None
    is_pausing: bool
    next_pause_at: int | None
    latency_level: float
    """Times the usual latency."""
    is_in_slow_start: bool
    answered: int
    """Successful answers counted for the forecast."""


class Balancer:
    """One balancer: what it knows of its backends, and what it holds."""

    def __init__(self, seed, terms, now, before=None):
        """`before`: the node whose place this one takes as settings change; both spend one budget."""
        self.settings = terms
        chance = random.Random(seed)
        self.pick = chance.randrange
        self.endpoints = EndpointStats(max(o.request_timeout for o in terms.request_classes))
        self.request_stats = RequestStats(terms.request_classes, now)
        # What else is known of each backend, under its index: the arrays of FIRST.
        for name in FIRST:
            setattr(self, name, [])
        self.pause_forecast = PauseForecast()
        self.slow_start = SlowStart(
            terms.slow_start_duration,
            terms.slow_start_capacity,
            terms.slow_start_overload,
            terms.node_count,
        )
        # The rotation: from the ring of ready backends, as many as this node can keep in view.
        self.drags, self.drag = (
            RunningMedian(DRAG_SPAN),
            1.0,
        )  # times typical that tenants' work takes
        self.home = terms.zone if terms.cross_zone_penalty >= DEAR else None
        self.shares, self.asked = (
            terms.tenants.total > 0,
            terms.tenants.total / terms.node_count / 10000,
        )
        # Without a word of what others are asked for, rounds of trips find the room (docs/notes/limit.md).
        self.learns = bool(not self.shares and terms.node_count > 1 and terms.load_report_source)
        self.in_view = (
            max(FEWEST, int(self.asked * IN_VIEW)) if self.shares or self.learns else None
        )
        self.most = 0  # ready at once
        self.ranked, self.total, self.redraw_at = [], 0.0, NEVER  # the ring, its size
        self.turn, self.at, self.anchor, self.move_at = [], 0, b"", now
        self.largest, self.slow_ones, self.steep = 1.0, 0, STEEP if self.learns else 1
        # Heaps of (moment of the expected time, count, invocation), one an offering.
        self.held = [[] for _ in terms.request_classes]
        self.line = deque()  # the same in order of arrival, some already gone
        self.again = []  # invocations that wait for a further trip
        self.finals = deque()  # decisions already made
        self.limit = ConcurrencyLimiter(
            terms.node_count,
            len(terms.request_classes),
            now,
            SOME if self.learns else self.asked or None,
        )
        self.request_stats.received = 0
        self.retry_budget = RetryBudget(
            terms.retry_budget_window,
            terms.retry_budget_minimum,
            terms.retry_budget_ratio,
            before.retry_budget if before else None,
        )
        self.lost = LOST_LEAST  # share of trips that come to nothing at backends that are well
        self.unsettled = 0.0  # invocations that their clients may come back with
        self.overloaded, self.ahead = False, None  # the queue that need not wait for room
        self.flying, self.ailing = {}, {}  # of backends the trips out; those in trouble
        self.polling = PollSchedule(terms.polls_endpoints, now, self.pick)
        self.sweep_at = self.polling.next_at
        by_health_checks = (
            self.learns and terms.load_report_source == LoadReportSource.HEALTH_CHECKS
        )
        are_rare = by_health_checks and "throughput" not in terms.load_report_fields
        self.load_reports = LoadReports(
            terms, self.endpoints, self.request_stats, self.slow_start, are_rare, now
        )
        self.health_checks = HealthChecks(by_health_checks and terms.may_check_health, are_rare)

    # What hosts and operators may ask.

    def endpoint_name(self, backend):
        """The name of the backend with that index."""
        return self.endpoints.names[backend]

    def endpoint_status(self, name, now):
        """What is known of the backend of that name (`EndpointStatus`); None if nothing is."""
        b = self.endpoints.index.get(name)
        if b is None:
            return None
        forecast = self.pause_forecast.next_pause_at[b]
        is_pausing = forecast is not None and (
            forecast - PASSED_OVER * self.level[b]
            <= now
            <= forecast + self.pause_forecast.mean_pause[b]
        )
        return EndpointStatus(
            zone=self.endpoints.zone[b],
            is_in_subset=b in self.turn,
            in_flight=len(self.flying.get(b, ())),
            ejection_reason=self.trouble[b],
            is_pausing=is_pausing,
            next_pause_at=forecast,
            latency_level=self.level[b],
            is_in_slow_start=now < self.slow_start.until[b],
            answered=self.pause_forecast.answered[b],
        )

    def queue_length(self):
        """How many requests wait for a backend."""
        return sum(map(len, self.held))

    # Inputs: they update what is known.

    def quotas_updated(self, now):
        """What tenants may ask has changed; they have shares, and had some before."""
        self.asked = self.limit.demand = (
            self.settings.tenants.total / self.settings.node_count / 10000
        )
        self.in_view = max(FEWEST, int(self.asked * IN_VIEW))
        self._draw_turn(now)

    def export_statistics(self, keys):
        """What a restart would forget: the table's rows, `keys` of FIRST by name of each ready backend."""
        return [vars(row) for row in self.request_stats.classes], {
            name: {key: self._figures(key)[b] for key in keys}
            for name, b in self.endpoints.index.items()
            if self.endpoints.state[b] == EndpointState.READY
        }

    def restore_statistics(self, rows, backends):
        """The part of it that is still taken for true (`pierglade/snapshot/`); the backends are listed."""
        for row, told in zip(self.request_stats.classes, rows):
            vars(row).update(told)
        for name, told in backends.items():
            for key, value in told.items():
                self._figures(key)[self.endpoints.index[name]] = value

    def _figures(self, stored_name):
        """The array of the figure that snapshots store under that name."""
        part, array, _ = STORED_FIGURES[stored_name]
        return getattr(getattr(self, part) if part else self, array)

    def endpoints_updated(self, now, entries, whole):
        """The list's word on all backends, or on the changed ones."""
        self.polling.endpoints_updated()
        if whole:
            named = {e.name for e in entries}
            for name, b in self.endpoints.index.items():
                if name not in named:
                    self._leave(b, EndpointState.REMOVED, now)
        for e in entries:
            b = self.endpoints.index.get(e.name)
            if b is None:
                if e.state != EndpointState.READY:
                    continue
                b = self._new_index(e.name, now)
            self.endpoints.zone[b], self.endpoints.cell[b] = e.zone, e.cell
            # Live weights are late and would swing all nodes together; the largest seen is the size.
            self.endpoints.size[b] = max(self.endpoints.size[b], e.weight)
            if e.state != EndpointState.READY:
                self._leave(b, e.state, now)
                continue
            if e.started_at > self.slow_start.started_at[b]:
                self.slow_start.process_started(b, now, e.started_at, self.pick(1000) / 1000)
                self._forget_history(b, now)
            self.endpoints.left_at[b] = 0
            if self.endpoints.state[b] != EndpointState.READY:
                self.endpoints.became_ready(b)
                insort(self.ranked, b, key=self.endpoints.rank.__getitem__)
        self.total = sum(map(self.endpoints.size.__getitem__, self.ranked))
        self._draw_turn(now)

    def discovery_lost(self, now, waited=-NEVER):
        """The list could not be had, or is followed no more; `waited`: since its last word."""
        self.polling.discovery_lost(now, waited)
        self._due(self.polling.next_at)

    def _draw_turn(self, now):
        """The rotation runs over as many of the ring as are enough sound ones; it starts at random."""
        before, after, sound, size = self.turn, [], 0, 0.0
        enough = self.in_view and self.in_view * self.total
        self.redraw_at = NEVER
        # Evenly round one ring: by chance some were in two thirds more views; each move opens connections.
        count = len(self.ranked)
        begin = bisect_left(self.ranked, self.anchor, key=self.endpoints.rank.__getitem__) % max(
            1, count
        )
        even = count * self.settings.node_number // self.settings.node_count % max(1, count)
        if begin != even and now >= self.move_at:
            nearer = 1 if (even - begin) % count <= count // 2 else -1
            begin = (begin + nearer) % count if self.anchor else even
            self.anchor, self.move_at = self.endpoints.rank[self.ranked[begin]], now + MOVE
        for b in self.ranked[begin:] + self.ranked[:begin]:
            if enough is not None and size * len(self.ranked) >= enough:
                break
            after.append(b)
            if now < self.slow_start.until[b]:
                size += self.endpoints.size[b] * self.settings.slow_start_capacity
                self.redraw_at = min(
                    self.redraw_at,
                    self.slow_start.until[b],
                    NEVER if self.shares else now + LOOK_INTERVAL,
                )
                self._due(self.redraw_at)
            elif self.trouble[b] in COUNTED:
                size += self.endpoints.size[b]
            sound += self.trouble[b] in COUNTED
        # One at least: a node that was cut off sees all fail, and must still send trials to find them well.
        sound = max(1, sound)
        part = self.load_reports.capacity_factor(now)
        self.limit.update_backends(now, sound, part * sound * len(self.ranked) / max(1, len(after)))
        self.most = max(self.most, len(self.ranked))
        if after:
            # Where tenants have no shares, what was settled lately: what is asked may be an overload. A trip
            # at a time of all nodes is none; with all cold and nothing settled, nothing at all would be sent.
            least = (
                len(self.ranked)
                / self.settings.node_count
                / max(o.latency_objective for o in self.settings.request_classes)
            )
            asked = self.asked if self.shares else max(least, self.request_stats.rate(now, "got"))
            self.slow_start.warm_rate = (
                asked * len(self.ranked) ** 2 / (self.most * len(after) * self.total)
            )
        self.largest = max((self.endpoints.size[b] for b in after), default=1.0)
        if after == before:
            return
        self.turn, kept = after, set(after)
        following = next((b for b in before[self.at :] + before[: self.at] if b in kept), None)
        self.at = self.pick(max(1, len(after))) if following is None else after.index(following)

    def _see(self, now):
        """Where tenants have no shares, a node's part of all that is asked follows from what comes to it."""
        self.asked = self.limit.demand = max(SOME, self.request_stats.rate(now, "asked"))
        self.load_reports.look(now, self.turn, self.ranked, self.asked, self.limit)
        in_view = max(FEWEST, int(self.asked * IN_VIEW))
        if not self.in_view / 1.5 <= in_view <= self.in_view * 1.5:
            self.in_view = in_view
        self._draw_turn(now)

    def load_reported(self, now, name, load):
        """What a backend tells of its load, with an answer or a probe's result."""
        b = self.endpoints.index.get(name)
        if b is not None:
            self.load_reports.load_reported(b, now, load)

    def request_received(self, now, request):
        """An invocation has come in; from here on it is owed one final answer."""
        self.retry_budget.request_received(now)
        tenant = request.tenant
        if tenant is not None:
            tenant.rate = tenant.rate * max(0.0, 1 - (now - tenant.last_seen) / RATE_SPAN) + 1
            tenant.last_seen = now
        request.queued_since = request.arrived_at
        request.objective_at = request.arrived_at + self._time_left(request)
        o = request.request_class.index
        row = self.request_stats.request_received(request)
        if request.cost_hint:
            # Few invocations cost what their offering does in the mean: unweighed, heavy ones look queued.
            row.hinted += (request.cost_hint - row.hinted) * (TYPICAL if row.hinted else 1)
            request.relative_cost = max(COST_LEAST, min(COST_MOST, request.cost_hint / row.hinted))
        elif tenant is not None and (drag := self._drag(tenant, now) / self.drag) > DRAGS:
            # Some go out all the same, or nobody would see that the others are as quick as ever again.
            tenant.slow_requests += 1
            request.relative_cost = (
                drag if tenant.slow_requests % DRAG_TRIES else min(drag, COST_MOST)
            )
        heappush(self.held[o], (request.objective_at, self.request_stats.received, request))
        self.line.append(request)
        self._due(now + SWEEP)

    def _drag(self, tenant, now):
        """Fades by itself, so that what is bounced for it is tried again, one more and one more."""
        return 1 + (tenant.slowness - 1) * max(0.0, 1 - (now - tenant.slowness_seen_at) / DRAG_SPAN)

    def _see_drag(self, now, request, took, whole):
        """A tenant's work may be slow at every backend: no backend is slow or silent for that."""
        tenant = request.tenant
        if tenant is None or request.cost_hint:
            return
        ratio = min(
            DRAG_MOST,
            max(took, GRAIN)
            / max(self.request_stats.classes[request.request_class.index].typical, GRAIN),
        )
        drag = self._drag(tenant, now)
        if not whole and ratio < drag:
            return  # So long at least; it tells nothing where that is as usual.
        tenant.slowness, tenant.slowness_seen_at = drag + (ratio - drag) * DRAG_HEED, now
        self.drags.see(now, tenant.name, tenant.slowness)

    def _time_left(self, request):
        """How much of the expected time is left, which runs from the client's first try."""
        request_class, left = request.request_class, request.deadline - request.arrived_at
        row = self.request_stats.classes[request_class.index]
        usual = row.usual_left
        # A vote, not the longest seen: by repeats with more time all first tries look late.
        row.usual_votes += 1 if abs(left - usual) <= USUAL * usual else -1
        row.usual_left, row.usual_votes = (
            (left, 1) if row.usual_votes < 0 else (usual, min(row.usual_votes, VOTES_MOST))
        )
        # Less time than first tries bring shows a late repeat; beyond those not settled, less patience.
        spent = 0
        # One of hundreds of nodes gets the repeats of others, and cannot count them.
        if self._short(request_class, left) and (
            self.unsettled >= 1 or len(self.turn) < len(self.ranked)
        ):
            self.unsettled -= 1
            spent = request_class.request_timeout - left
        return min(left, request_class.latency_objective - spent)

    def _short(self, request_class, left):
        """Whether it came with less time than first tries usually do."""
        return left < (1 - USUAL) * self.request_stats.classes[request_class.index].usual_left

    def should_shed(self, now, idle, request_class, came, left, refused=False):
        """Whether what has come is bounced unseen, as the host is short of its core: idle last at `idle`, or
        `refused` at the door already.

        Taken all the same, all would come late to their turn, and what is left of the core go into bounces.
        """
        bounced = (
            refused or now - idle > BEHIND and now - came > WAITED * request_class.latency_objective
        )
        self.unsettled += bounced and not self._short(request_class, left)
        return bounced

    def attempt_ended(self, now, attempt, outcome, took, done):
        """A trip has ended."""
        request, b = attempt.request, attempt.backend
        attempt.outcome = outcome
        request.in_flight -= 1
        # A trip that is no longer waited for may still be worked on; filled at once, its place overdrives.
        if outcome == Outcome.TIMEOUT or outcome == Outcome.CANCELLED:
            attempt.timeout_at = now + int(
                GHOST * self.request_stats.classes[request.request_class.index].typical
            )
            self._due(attempt.timeout_at)
        else:
            self._leave_flight(b, attempt, now)
        if attempt.is_trial:
            self.trials_out[b] -= 1
        if outcome.is_unexecuted and request.first_possibly_executed is attempt:
            request.first_possibly_executed = next(
                (t for t in request.attempts if not (t.outcome and t.outcome.is_unexecuted)), None
            )
        self._learn(now, attempt, outcome, took)
        if request.completed:
            return
        if done:
            request.completed = True
            self.request_stats.classes[request.request_class.index].got += (
                outcome == Outcome.SUCCESS and now <= request.objective_at
            )
            self._call_off_rest(request)
        elif not request.in_flight:
            self._after_loss(now, request, outcome)

    def _leave_flight(self, b, attempt, now):
        del self.flying[b][attempt]
        if not self.flying[b]:
            del self.flying[b]
        if self.trouble[b] in COUNTED:
            self.limit.change_in_flight(now, -1)

    def response_started(self, attempt):
        """The answer has started; the trip belongs to the client."""
        attempt.cancelled = attempt.request.completed = True

    def client_disconnected(self, now, request):
        """The client has gone; no answer is owed."""
        if not request.completed:
            request.completed = True
            self.unsettled += not self._short(
                request.request_class, request.deadline - request.arrived_at
            )
            self._call_off_rest(request)

    def health_checked(self, now, name, good, took):
        """A probe's result. It proves no more than a running process, so it only admits a trial trip."""
        b = self.endpoints.index.get(name)
        if b is None or self.trouble[b] is None:
            return
        if good:
            self.trial_due[b] = True
        else:
            self._next_trial(b, now, worse=True)

    # Decisions: the host pulls them one by one.

    def next_decision(self, now):
        """The next decision (`pierglade.model.decision`), or None."""
        decision = self._decide(now)
        if type(decision) is RejectRequest:
            decision.retry_after = self.retry_after(now)
        return decision

    def _decide(self, now):
        if now >= self.sweep_at:
            self._sweep(now)
        if self.finals:
            return self.finals.popleft()
        for request in self.again:
            if request.completed or self._hopeless(request, now):
                self.again.remove(request)
                return self._decide(now) if request.completed else self._final(request)
            b = self._choose(request, now) if self.retry_budget.allows_granted(now) else None
            if b is not None:
                self.again.remove(request)
                return self._send(request, b, now)
        while (queue := self._next_queue()) is not None:
            request = queue[0][2]
            if (
                self._hopeless(request, now)
                or now - request.queued_since > PATIENCE * request.request_class.latency_objective
            ):
                # Held so long, it would come out of the backend late: an early no leaves room for the others.
                heappop(queue)
                return self._final(request)
            full = self.limit.is_full(now, queue is self.ahead)
            if full and (opens := self.limit.opens_at(now)) is not None:
                self._due(opens)
            b = None if full else self._choose(request, now)
            if b is None:
                break
            heappop(queue)
            return self._send(request, b, now)
        # A node with others to draw into view keeps to the limit: hundreds beyond it overdrive the fleet.
        if self.limit.healthy_backends * 2 <= len(self.turn) == len(self.ranked):
            for b in self.ailing:
                if (queue := self._held_back(b, now)) is not None:
                    return self._send(heappop(queue)[2], b, now)
        for queue in self.held:
            if queue and self._hopeless(queue[0][2], now):
                return self._final(heappop(queue)[2])
        b = self.health_checks.take()
        return None if b is None else CheckHealth(b)

    def next_wakeup(self, now):
        """When to call decide again, if nothing comes in before."""
        # A client's repeat may have so little time left that the next sweep would come after its limit.
        waiting = self.again + [queue[0][2] for queue in self.held if queue]
        first = min([self.sweep_at, *map(self._last_chance, waiting)])
        return max(now + 1, first) if first < NEVER else None

    def _due(self, moment):
        self.sweep_at = min(self.sweep_at, moment)

    def retry_after(self, now):
        """Advice to a bounced client; 0 where clients are told none."""
        return min(COME_BACK if self.overloaded else COME_SOON, self.settings.max_retry_after)

    # What an invocation may still do.

    def _may_send(self, request, b, now):
        """Rule 2 in one place: may this invocation go to this backend, after what its trips have proved?"""
        if (
            now >= request.deadline
            or len(request.attempts) >= self.settings.max_attempts
            or request.in_flight
        ):
            return False
        first_possibly_executed = request.first_possibly_executed
        if first_possibly_executed is None or request.request_class.idempotency == Idempotency.SAFE:
            return True
        if (
            request.request_class.idempotency == Idempotency.UNSAFE
            or now >= first_possibly_executed.sent_at + request.request_class.deduplication_window
        ):
            return False
        group = request.request_class.deduplication_scope
        return (
            group == "all"
            or group == "zone"
            and self.endpoints.zone[b] == self.endpoints.zone[first_possibly_executed.backend]
            or group == "cell"
            and self.endpoints.cell[b] == self.endpoints.cell[first_possibly_executed.backend]
        )

    def _may_bounce(self, request):
        """A bounce promises that trying again is harmless."""
        return (
            request.first_possibly_executed is None
            or request.request_class.idempotency == Idempotency.SAFE
            or request.request_class.idempotency == Idempotency.KEYED
            and request.request_class.deduplication_scope == "all"
        )

    def _final(self, request):
        request.completed = True
        # Only first tries count: if what was taken for a repeat did, each would make another one look so.
        self.unsettled += not self._short(
            request.request_class, request.deadline - request.arrived_at
        )
        if self._may_bounce(request):
            return RejectRequest(request, 0)
        return FailRequest(request)

    def _hopeless(self, request, now):
        return now >= self._last_chance(request)

    def _last_chance(self, request, sure=False):
        """The moment from which a trip would no longer come back by the expected time."""
        request_class = request.request_class
        # Not all of the expected time, or what was once slow would never be tried again.
        room = not self.overloaded and len(self.turn) == len(self.ranked)
        times = CHANCE if room and not sure else HOPELESS
        need = request.relative_cost * self.request_stats.classes[request_class.index].typical
        if request.relative_cost <= COST_MOST:
            need = min(times * need, HOPELESS_MOST * request_class.latency_objective)
        return request.objective_at - max(HOPELESS_LEAST, int(need))

    def _after_loss(self, now, request, outcome):
        """A trip came to nothing: a further one, or the final answer at once."""
        # Where it was lost at every ready backend there is no way back: held, it would only wait in vain.
        may = (
            self.retry_budget.left(now) >= 1
            and not self._hopeless(request, now)
            and outcome != Outcome.NOT_SENT
            and any(self._may_send(request, b, now) for b in self.turn)
            and not {t.backend for t in request.attempts}.issuperset(self.ranked)
        )
        if may:
            self.retry_budget.retry_granted()
            request.queued_since = now
            self.again.append(request)
            self._due(now + SWEEP)
        else:
            self.finals.append(self._final(request))

    def _call_off_rest(self, request):
        for attempt in request.attempts:
            self._call_off(attempt)

    def _call_off(self, attempt):
        if attempt.outcome is None and not attempt.cancelled and self.settings.may_cancel:
            attempt.cancelled = True
            self.finals.append(CancelAttempt(attempt))

    # Holding.

    def _next_queue(self):
        """In overload the offering that gains most; else whose expected time comes first."""
        best = least = None
        for place, queue in enumerate(self.held):
            while queue and queue[0][2].completed:
                heappop(queue)
            if queue:
                rank = (
                    -self._gain(self.request_stats.classes[place])
                    if self.overloaded
                    else queue[0][0]
                )
                if best is None or rank < least:
                    best, least = queue, rank
        return best

    def _held_back(self, b, now):
        """Where from to take the trial that is due at b, though the sound backends are full.

        Or a node that took most for silent by mistake would hold all for the one left and learn no better.
        """
        if self.trial_due[b] and not self.trials_out[b] and b in self.turn:
            for queue in self.held:
                if (
                    queue
                    and self._is_trial(queue[0][2], b)
                    and not self._hopeless(queue[0][2], now)
                    and self._skip(queue[0][2], b, now) is None
                ):
                    return queue
        return None

    def _gain(self, row):
        """What one more settled invocation of an offering adds to the service, for each unit of time."""
        gain = (
            (1 - self.settings.worst_class_weight)
            * row.priority_weight
            / sum(
                each.priority_weight * max(each.asked, 1.0) for each in self.request_stats.classes
            )
        )
        if row is min(self.request_stats.classes, key=lambda each: each.got / max(each.asked, 1.0)):
            gain += self.settings.worst_class_weight / max(row.asked, 1.0)
        return gain / row.typical

    def _relieve(self, now):
        """Overload is told by the oldest held wait; what tenants ask beyond their share goes first."""
        line = self.line
        while line and (line[0].completed or line[0].attempts):
            line.popleft()
        waited = (
            (now - line[0].queued_since) / line[0].request_class.latency_objective if line else 0.0
        )
        self.overloaded = waited > WAITED
        # A node with room for two trips waits long for one to end: what gains most and is little goes ahead.
        work = [max(row.asked, 1.0) * row.typical for row in self.request_stats.classes]
        most = max(range(len(work)), key=lambda o: self._gain(self.request_stats.classes[o]))
        self.ahead = self.held[most] if work[most] <= LIGHT * sum(work) else None
        if line:
            self._due(now + SWEEP)
        if waited > PATIENCE:
            for request in line:
                if not (request.completed or request.attempts) and self._over_share(
                    request.tenant, now
                ):
                    self.finals.append(self._final(request))

    def _over_share(self, tenant, now):
        if tenant is None or not tenant.quota_per_second:
            return False
        rate = (
            tenant.rate * max(0.0, 1 - (now - tenant.last_seen) / RATE_SPAN) / (RATE_SPAN / 10000)
        )
        return rate * self.settings.node_count > OVER_SHARE * tenant.quota_per_second

    # The rotation.

    def _choose(self, request, now):
        """The next in turn that nothing speaks against; the first that may take it if all are skipped."""
        turn, at, fallback = self.turn, self.at, None
        count = len(turn)
        # Where a way to another zone is dear, one lap over the own zone's first.
        for step in range(0 if self.home is None else -count, count):
            place = (at + step) % count
            b = turn[place]
            if step < 0 and self.endpoints.zone[b] != self.home:
                continue
            skip = self._skip(request, b, now)
            if skip is None:
                # Even turns would overdrive the small machines at a load that the fleet can bear.
                self.owed[b] += min(
                    1.0, self.endpoints.size[b] / (self.largest * self.level[b] ** self.steep)
                )
                if self.owed[b] >= 1:
                    self.owed[b] -= 1
                    self.at = place + 1 if place + 1 < count else 0
                    return b
                skip = "light"
            if fallback is None and skip in FALLBACKS:
                fallback = place
        if fallback is None:
            return None
        self.at = fallback + 1 if fallback + 1 < count else 0
        return turn[fallback]

    def _skip(self, request, b, now):
        """Why the next in turn is passed over, or None."""
        if request.attempts:
            if not self._may_send(request, b, now):
                return "may not"
            if any(t.backend == b for t in request.attempts):
                return "tried"
        if now < self.slow_start.until[b] and not self.slow_start.allows(
            b, now, self.endpoints.size[b], len(self.ranked), len(self.turn)
        ):
            return "cold"
        trouble = self.trouble[b]
        if trouble is not None and not self._is_trial(request, b):
            if trouble is not SLOW:
                return trouble
            # Shared trouble: when most backends are slow at once, skipping them all helps nobody.
            if self.slow_ones * 2 <= len(self.turn):
                return SLOW
        most = 1 + CROWD_FLOOR + CROWD * self.limit.in_flight / self.limit.healthy_backends
        if (out := self.flying.get(b)) and (len(out) + 1) * self.level[b] > most:
            return "crowded"
        forecast = self.pause_forecast.next_pause_at[b]
        if forecast is not None:
            threshold = (
                self.request_stats.classes[request.request_class.index].typical * self.level[b]
            )
            if forecast - threshold <= now:
                if now <= forecast + self.pause_forecast.mean_pause[b]:
                    return "forecast"
                # No pause came: set aside until one does, the forecast cannot starve the backend.
                self.pause_forecast.set_aside(b)
        return None

    def _is_trial(self, request, b):
        """Of the kinds that come, the least harmful; a row that nobody asks for would bring no trial ever."""
        return (
            self.trial_due[b]
            and not self.trials_out[b]
            and request.request_class.idempotency == self.request_stats.least_harmful_kind()
        )

    def _send(self, request, b, now):
        trial = self._is_trial(request, b)
        attempt = Attempt(request, len(request.attempts), b, now, request.deadline, trial)
        if self.trouble[b] in COUNTED:
            self.limit.change_in_flight(now, 1)
            attempt.probing_round = self.limit.attempt_sent(now, request.request_class.index)
        if trial:
            self.trials_out[b] += 1
            self._next_trial(b, now)
        self.slow_start.attempt_sent(b, now)
        self.health_checks.attempt_sent(self.turn, self.load_reports.reported_at)
        self.flying.setdefault(b, {})[attempt] = None
        self._due(
            now
            + max(
                SWEEP,
                int(SILENT_LEAST * self.request_stats.classes[request.request_class.index].typical),
            )
        )
        if request.attempts:
            self.retry_budget.retry_sent(now)
        request.attempts.append(attempt)
        request.in_flight += 1
        if request.first_possibly_executed is None:
            request.first_possibly_executed = attempt
        return SendAttempt(attempt)

    # Server health.

    def _learn(self, now, attempt, outcome, took):
        b, row = attempt.backend, self.request_stats.classes[attempt.request.request_class.index]
        if outcome != Outcome.SUCCESS or self.trouble[b] is not None:
            self.limit.attempt_lost(attempt.request.request_class.index, attempt.probing_round)
        if (
            outcome == Outcome.SUCCESS
            and self.trouble[b] is None
            or outcome in (Outcome.TIMEOUT, Outcome.CANCELLED)
        ):
            self._see_drag(now, attempt.request, took, outcome == Outcome.SUCCESS)
        if outcome == Outcome.SUCCESS:
            self.request_stats.succeeded += 1
            heed = min(QUICK, max(LEVEL, (now - self.last_answer[b]) / LEVEL_SPAN))
            self.last_answer[b] = now
            self.errors[b] *= 1 - ERRORS
            alike = took / attempt.request.relative_cost
            ratio = min(RATIO_CAP, max(alike, GRAIN) / max(row.typical, GRAIN))
            self.quick[b] += (ratio - self.quick[b]) * QUICK
            level = max(self.level[b], 1.0)
            if self.trouble[b] is None:
                self.lost = max(LOST_LEAST, self.lost * (1 - COMMON))
                row.answers += 1
                row.typical += (alike - row.typical) * max(TYPICAL, 1 / row.answers)
                row.skew = max(
                    0.0, row.skew - (log(ratio) + row.skew) * max(TYPICAL, 1 / row.answers)
                )
                self.level[b] += (ratio - self.level[b]) * heed
                self.pause_forecast.answer_received(b, now)
                request_class = attempt.request.request_class
                self.limit.attempt_answered(
                    now,
                    request_class.index,
                    attempt.probing_round,
                    attempt.sent_at,
                    int(alike),
                    request_class.latency_objective,
                )
                if self.quick[b] > FAR * level:
                    self._begin(b, SLOW, now)
            elif attempt.sent_at < self.since[b] and self.trouble[b] is not SILENCE:
                pass  # An answer from before the trouble says nothing about its end.
            elif ratio <= GOOD * level and self.errors[b] <= ERRORS_GOOD:
                self._end(b, now)
            else:
                self.trial_due[b] = self.trouble[b] is FAILING
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            if outcome in (Outcome.REJECTED_UNPROCESSED, Outcome.CLIENT_ERROR):
                self.last_answer[b] = now
            if outcome == Outcome.CLIENT_ERROR:
                return  # What a client got wrong says nothing against the backend.
            # Turned away counts too: whoever says no at once has nothing in flight and would attract work.
            self.errors[b] += (1 - self.errors[b]) * (
                UNREACHED if outcome == Outcome.CONNECT_FAILED else ERRORS
            )
            if self.trouble[b] is None:
                self.lost += (1 - self.lost) * COMMON
                if (
                    outcome == Outcome.REJECTED_UNPROCESSED
                    and self.endpoints.state[b] == EndpointState.READY
                ):
                    self.limit.attempt_rejected(now, attempt.sent_at)
            # What all backends lose alike is no one's outage: left out for it, they would leave no room.
            many = IN_A_ROW
            if len(self.turn) == len(self.ranked):
                many = max(many, log(BY_CHANCE) / log(min(LOST_MOST, self.lost)) - 0.5)
            if self.errors[b] >= 1 - (1 - ERRORS) ** many:
                self._begin(b, FAILING, now)
                if attempt.is_trial:
                    self._next_trial(b, now, worse=True)

    def _begin(self, b, why, now):
        if self.trouble[b] is None:
            self.since[b] = now
            # Slow again before it was well: it has not had the rest that it needs, and gets twice as long.
            self.until[b] = now + min(
                REST_MOST, self.pause_forecast.mean_pause[b] << self.relapses[b]
            )
            self.trial_gap[b] = TRIAL_GAP
            self.trial_at[b] = now + TRIAL_GAP
            self.trial_due[b] = False
        self._mark(b, why, now)

    def _mark(self, b, trouble, now):
        """Keeps the counts that depend on which trouble a backend has."""
        before = self.trouble[b]
        self.limit.change_in_flight(
            now, len(self.flying.get(b, ())) * ((trouble in COUNTED) - (before in COUNTED))
        )
        self.slow_ones += (trouble is SLOW) - (before is SLOW)
        self.trouble[b] = trouble
        if trouble is None:
            self.ailing.pop(b, None)
        else:
            self.ailing[b] = None
            self._due(now + SWEEP)
        self._draw_turn(now)

    def _end(self, b, now, well=True):
        self._mark(b, None, now)
        self.errors[b] = 0.0
        if not well:
            self.relapses[b] = min(self.relapses[b] + 1, 8)
            self.quick[b] = GOOD * max(self.level[b], 1.0)
            return
        self.relapses[b] = 0
        self.quick[b] = min(self.quick[b], max(self.level[b], 1.0))
        self.pause_forecast.pause_ended(b, now - self.since[b])

    def _next_trial(self, b, now, worse=False):
        if worse:
            self.trial_gap[b] = min(TRIAL_GAP_MOST, self.trial_gap[b] * 2)
            if (
                self.trial_gap[b] == TRIAL_GAP_MOST
                and self.endpoints.left_at[b]
                and self.endpoints.state[b] == EndpointState.READY
            ):
                self._leave(b, EndpointState.REMOVED, now)
                self._draw_turn(now)
        self.trial_due[b] = False
        self.trial_at[b] = now + self.trial_gap[b]
        self._due(self.trial_at[b])

    def _sweep(self, now):
        """Looks after what is due: silence, trials, ends of rests, what is held too long."""
        self.sweep_at = NEVER
        if now >= self.redraw_at:
            self._draw_turn(now)
        if self.polling.take_due(now):
            self.finals.append(PollEndpoints())
        self._due(self.polling.next_at)
        self._due(min(self.redraw_at, now + SWEEP) if self.again else self.redraw_at)
        self._relieve(now)
        away = now - self.request_stats.faded_at
        self.unsettled = max(0.0, self.unsettled) * max(0.0, 1 - away / COMES_BACK)
        self.request_stats.fade(now)
        # In the mean of all a large slow tenant hid itself; where all are slow, none is.
        self.drag = max(1.0, self.drags.figure(now) or 1.0)
        if self.learns and self.load_reports.take_due_look(now):
            self._see(now)
        for b in list(self.flying):
            self._due(max(now + SWEEP, self._listen(b, now)))
        for b in list(self.ailing):
            if self.endpoints.state[b] != EndpointState.READY:
                continue
            if self.trouble[b] is SLOW and now >= self.until[b]:
                self._end(b, now, well=False)
                continue
            if not self.trial_due[b] and now >= self.trial_at[b] and not self.trials_out[b]:
                self._next_trial(b, now)
                if self.settings.may_check_health and self.trouble[b] is not SLOW:
                    self.health_checks.request(b)
                else:
                    self.trial_due[b] = True
            if self.trouble[b] is SLOW or not self.trial_due[b]:
                self._due(max(now + SWEEP, min(self.until[b], self.trial_at[b])))

    def _listen(self, b, now):
        """With trips out and no answer for long, a backend is silent; what may be is sent elsewhere.

        Returns when to listen again.
        """
        attempts = self.flying[b]
        for attempt in [t for t in attempts if t.outcome and now >= t.timeout_at]:
            self._leave_flight(b, attempt, now)
        if not attempts:
            return NEVER
        oldest = next(iter(attempts))
        quiet = now - max(self.last_answer[b], oldest.sent_at)
        # A light one may wait behind heavy ones, and has no less patience for it.
        cost = max(1.0, *(t.request.relative_cost for t in attempts))
        row = self.request_stats.classes[oldest.request.request_class.index]
        typical = max(GRAIN, cost * row.typical * max(self.level[b], 1.0))
        # A node with few trips has one out at a time: by the mean alone each heavy one is taken for silence.
        heavy = exp(RARE / len(attempts) * sqrt(2 * row.skew) - row.skew)
        patience = typical * max(SILENT_LEAST, SILENT / len(attempts), heavy)
        if quiet < patience:
            return min(
                int(now - quiet + patience) + 1,
                *(t.timeout_at for t in attempts if t.outcome),
                NEVER,
            )
        if self.trouble[b] is not SILENCE:
            self._begin(b, SILENCE, now)
        left = self.retry_budget.left(now)
        for attempt in list(attempts):
            request = attempt.request
            if attempt.is_trial and now - attempt.sent_at > SILENT * typical:
                self._next_trial(b, now, worse=True)
            if (
                request.request_class.idempotency != Idempotency.UNSAFE
                and not attempt.cancelled
                and not request.completed
                and now - attempt.sent_at > SILENT_LEAST * typical
                and left >= 1
                and now < self._last_chance(request, sure=True)
                and len(request.attempts) < self.settings.max_attempts
            ):
                self._call_off(attempt)
                left -= self.settings.retry_budget_window > 0
        return now

    # The list.

    def _new_index(self, name, now):
        b = self.endpoints.add(name, now, self.flying)
        self.ailing.pop(b, None)  # What ailed the one before must not cost the new one probes.
        for array, first in FIRST.items():
            getattr(self, array)[b : b + 1] = [first]  # appends where b is new
        self.pause_forecast.add(b)
        self.slow_start.add(b, now)
        self.load_reports.add(b)
        self.owed[b] = self.pick(1000) / 1000
        return b

    def _forget_history(self, b, now):
        """A process that has started anew pauses anew, and what ailed the one before is not its own."""
        if self.trouble[b] is not None:
            self._mark(b, None, now)
        for name, first in HISTORY.items():
            getattr(self, name)[b] = first
        self.pause_forecast.add(b)

    def _leave(self, b, state, now):
        """Rule 3: from the moment the list says that it drains or is gone, it is out of the rotation."""
        if self.endpoints.state[b] == EndpointState.READY:
            if (
                state == EndpointState.REMOVED
                and not self.settings.removal_binds
                and self.trial_gap[b] < TRIAL_GAP_MOST
            ):
                # It may be up all the same: trials tell, and one that fails them for long is gone.
                self.endpoints.left_at[b] = now
                if self.trouble[b] in COUNTED:
                    self._begin(b, FAILING, now)
                return
            self.total -= self.endpoints.size[b]
            del self.ranked[
                bisect_left(
                    self.ranked, self.endpoints.rank[b], key=self.endpoints.rank.__getitem__
                )
            ]
            self.endpoints.left_at[b] = now
            if self.trouble[b] is SLOW:
                # Gone, it must not count to the slow ones for ever, or shared trouble would seem to last.
                self._mark(b, None, now)
        self.endpoints.became_unready(b, state)
