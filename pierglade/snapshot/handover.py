"""Transfers learned state from one balancer to its successor when settings change.

It performs no I/O and reads no clock.

Both balancers run side by side until the earlier one has completed all its requests. Therefore no
mutable state is shared, except the times of retries (`RetryBudget`). Attempts in flight, queued
requests and pending decisions stay with the earlier balancer.

| state | copied if | otherwise |
| --- | --- | --- |
| backends, rotation, levels, ejections, due trials, forecast | always | (trials in flight: never) |
| load reports | source and fields of reports are the same | the values may mean something else |
| latency of a class, its spread, hints and counts | a class of that name existed | - |
| usual time budget of first attempts | and its request timeout is the same | it depends on that |
| ring position, traffic share, limit | node number and count are the same | depend on these |
| concurrency limit | and both have quotas, or neither; a class remains | it starts differently |
| request rate, subset size, growth by reports | both learn them | the settings determine them |
| slow-start allowance | always; the earlier balancer starts over at 0 | - |
"""

from pierglade.balancer.balancer import Balancer
from pierglade.balancer.endpoint_stats import IDEMPOTENCY_WINDOW
from pierglade.model.endpoint import Endpoint, EndpointState


def take_over(node: Balancer, before: Balancer, now: int) -> None:
    """Copies the learned state of `before` to `node`, which was just created.

    Both receive endpoint lists from then on.
    """
    settings, old_settings = node.settings, before.settings
    # Index in the old settings of each request class; None if no class had its name.
    old_indices = {
        request_class.name: request_class.index for request_class in old_settings.request_classes
    }
    old_indices = [
        old_indices.get(request_class.name) for request_class in settings.request_classes
    ]
    same_reports = (settings.load_report_source, settings.load_report_fields) == (
        old_settings.load_report_source,
        old_settings.load_report_fields,
    )
    same_nodes = settings.node_count == old_settings.node_count
    both_learn = node.learns_limit and before.learns_limit
    _copy_parts(node, before, same_reports)
    _copy_classes(node, before, old_indices)
    node.request_stats.copy_from(before.request_stats)
    if both_learn and same_reports:
        node.load_reports.copy_growth(before.load_reports)
        node.health_checks.copy_checks_due(before.health_checks)
    node.rotation.copy_from(
        before.rotation, same_nodes and settings.node_number == old_settings.node_number, both_learn
    )
    if both_learn:
        if same_nodes:
            node.load_reports.traffic_share = before.load_reports.traffic_share
        node.limit.demand = before.limit.demand
    same_limit_kind = (node.learns_limit, node.rotation.has_quotas) == (
        before.learns_limit,
        before.rotation.has_quotas,
    )
    if same_nodes and same_limit_kind and any(old_index is not None for old_index in old_indices):
        node.replace_limit(before.limit.successor(now, old_indices, node.limit.demand))
    _apply_removals(node, now)
    node.wakeup.request(now)


def _apply_removals(node, now):
    """Removes backends that were removed but still in use, if `removal_binds` is set now."""
    endpoints = node.endpoints
    removed = (
        [backend for backend in node.rotation.by_rank if endpoints.unready_since[backend]]
        if node.settings.removal_binds
        else ()
    )
    node.endpoints_updated(
        now,
        [
            Endpoint(
                endpoints.names[backend],
                EndpointState.REMOVED,
                endpoints.zone[backend],
                endpoints.cell[backend],
                node.slow_start.started_at[backend],
            )
            for backend in removed
        ],
        False,
    )


def _copy_parts(node, before, same_reports):
    """Copies the state of backends, and state that is shared by all request classes."""
    node.endpoints.copy_from(before.endpoints)
    node.ejections.copy_from(before.ejections)
    node.outliers.copy_from(before.outliers)
    node.selection.copy_from(before.selection)
    node.pause_forecast.copy_from(before.pause_forecast)
    node.slow_start.copy_from(before.slow_start)
    node.load_reports.copy_reports(before.load_reports, same_reports)
    node.retry_budget.copy_from(before.retry_budget)
    node.request_costs.copy_from(before.request_costs)
    node.deadlines.copy_from(before.deadlines)


def _copy_classes(node, before, old_indices):
    """Copies the state of each request class, by its name."""
    for stats, request_class, old_index in zip(
        node.request_stats.classes, node.settings.request_classes, old_indices, strict=True
    ):
        if old_index is None:
            continue
        old_stats, old_class = (
            before.request_stats.classes[old_index],
            before.settings.request_classes[old_index],
        )
        stats.asked, stats.got, stats.hinted = old_stats.asked, old_stats.got, old_stats.hinted
        if old_stats.answers > stats.answers:
            stats.typical, stats.skew, stats.answers = (
                old_stats.typical,
                old_stats.skew,
                old_stats.answers,
            )
        if request_class.request_timeout == old_class.request_timeout:
            stats.usual_left, stats.usual_votes = old_stats.usual_left, old_stats.usual_votes
    old_kinds = {request_class.idempotency for request_class in before.settings.request_classes}
    for kind in {request_class.idempotency for request_class in node.settings.request_classes}:
        node.request_stats.last_received[kind] = (
            before.request_stats.last_received[kind]
            if kind in old_kinds
            else before.request_stats.received
        )
    for kind in node.request_stats.last_received.keys() - {
        request_class.idempotency for request_class in node.settings.request_classes
    }:
        node.request_stats.last_received[kind] = before.request_stats.received - IDEMPOTENCY_WINDOW
