"""The periodic sweep: handles everything that is due by time."""

from pierglade.balancer.dispatch import Dispatch
from pierglade.balancer.ejections import Ejections
from pierglade.balancer.endpoint_stats import RequestStats
from pierglade.balancer.load_reports import LoadReports
from pierglade.balancer.outlier_detection import OutlierDetection
from pierglade.balancer.pending_decisions import PendingDecisions
from pierglade.balancer.polling import PollSchedule
from pierglade.balancer.request_cost import RequestCosts
from pierglade.balancer.request_queue import RequestQueue
from pierglade.balancer.retry import RequestDeadlines
from pierglade.balancer.rotation import Rotation
from pierglade.balancer.wakeup import SWEEP_INTERVAL, Wakeup
from pierglade.model.decision import PollEndpoints


class PeriodicSweep:
    """Checks unresponsive backends, trial requests, polls and requests queued for too long."""

    def __init__(
        self,
        learns_limit: bool,
        wakeup: Wakeup,
        rotation: Rotation,
        polling: PollSchedule,
        pending: PendingDecisions,
        queue: RequestQueue,
        dispatch: Dispatch,
        deadlines: RequestDeadlines,
        request_stats: RequestStats,
        request_costs: RequestCosts,
        load_reports: LoadReports,
        ejections: Ejections,
        outliers: OutlierDetection,
    ) -> None:
        self._learns, self._wakeup, self._rotation = learns_limit, wakeup, rotation
        self._polling, self._pending, self._queue = polling, pending, queue
        self._dispatch, self._deadlines = dispatch, deadlines
        self._request_stats, self._request_costs = request_stats, request_costs
        self._load_reports = load_reports
        self._ejections, self._outliers = ejections, outliers

    def run(self, now: int) -> None:
        """Handles everything that is due and requests the next wakeup."""
        self._wakeup.reset()
        self._rebuild_and_poll(now)
        for request in self._queue.update_overload(now):
            self._pending.append(self._dispatch.final_answer(request))
        self._deadlines.decay(now)
        self._request_stats.decay(now)
        self._request_costs.update_median(now)
        if self._learns and self._load_reports.take_due_evaluation(now):
            self._rotation.update_from_load_reports(now)
        for backend in list(self._ejections.in_flight):
            next_check_at = self._outliers.check_unresponsive(backend, now)
            self._wakeup.request(max(now + SWEEP_INTERVAL, next_check_at))
        self._outliers.check_ejected(now)

    def _rebuild_and_poll(self, now):
        if now >= self._rotation.rebuild_at:
            self._rotation.rebuild(now)
        if self._polling.take_due(now):
            self._pending.append(PollEndpoints())
        self._wakeup.request(self._polling.next_at)
        self._wakeup.request(self._rotation.rebuild_at)
        if self._queue.retries:
            self._wakeup.request(now + SWEEP_INTERVAL)
