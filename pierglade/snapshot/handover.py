"""What a balancer has learned, for the one that takes its place as settings change.

No I/O, no clock.

Both go on side by side until the earlier one has answered all its requests, so nothing that changes
later is shared, but for the moments of retries (`RetryBudget`). Attempts in flight, queued requests
and pending decisions stay with the earlier one.

| what | is kept | not where |
| --- | --- | --- |
| backends, turns, levels, ejections, trials due, the forecast | always | of trials in flight |
| what backends report | same source and fields of reports | else it may mean another thing |
| a class's latency, its spread, its hints, its counts | its name is there | - |
| the time that first attempts bring | and the request timeout is the same | it follows from that |
| place on the ring, traffic share, limit | same number and count of nodes | shares of all |
| the limit | and both have quotas, or neither; a class is left | it begins otherwise |
| request rate, subset size and growth by reports | both learn them | else the settings say it |
| the slow start allowance | always; the earlier one begins at nothing | - |
"""

from pierglade.balancer.balancer import Balancer
from pierglade.balancer.endpoint_stats import KIND_SEEN_WITHIN
from pierglade.model.endpoint import Endpoint, EndpointState


def take_over(node: Balancer, before: Balancer, now: int) -> None:
    """Gives `node`, which was just made, what `before` knows.

    Both get endpoint lists from then on.
    """
    settings, were = node.settings, before.settings
    # Of each class of the new settings the place it had, by name.
    places = {request_class.name: request_class.index for request_class in were.request_classes}
    places = [places.get(request_class.name) for request_class in settings.request_classes]
    same_reports = (settings.load_report_source, settings.load_report_fields) == (
        were.load_report_source,
        were.load_report_fields,
    )
    same_nodes = settings.node_count == were.node_count
    both_learn = node.learns and before.learns
    _copy_parts(node, before, same_reports)
    _copy_classes(node, before, places)
    node.request_stats.copy_from(before.request_stats)
    if both_learn and same_reports:
        node.load_reports.copy_growth(before.load_reports)
        node.health_checks.copy_due(before.health_checks)
    node.rotation.copy_from(
        before.rotation, same_nodes and settings.node_number == were.node_number, both_learn
    )
    if both_learn:
        if same_nodes:
            node.load_reports.traffic_share = before.load_reports.traffic_share
        node.limit.demand = before.limit.demand
    same_kind = (node.learns, node.rotation.has_quotas) == (
        before.learns,
        before.rotation.has_quotas,
    )
    if same_nodes and same_kind and any(place is not None for place in places):
        node.replace_limit(before.limit.successor(now, places, node.limit.demand))
    _remove_where_that_binds(node, now)
    node.wakeup.request(now)


def _remove_where_that_binds(node, now):
    """What was listed as removed and was tried all the same is removed where that binds."""
    endpoints = node.endpoints
    left = (
        [backend for backend in node.rotation.by_rank if endpoints.left_at[backend]]
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
            for backend in left
        ],
        False,
    )


def _copy_parts(node, before, same_reports):
    """What is known of backends, and of all requests together."""
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


def _copy_classes(node, before, places):
    """What is known of each class of requests, by its name."""
    for stats, request_class, place in zip(
        node.request_stats.classes, node.settings.request_classes, places, strict=True
    ):
        if place is None:
            continue
        known, was = before.request_stats.classes[place], before.settings.request_classes[place]
        stats.asked, stats.got, stats.hinted = known.asked, known.got, known.hinted
        if known.answers > stats.answers:
            stats.typical, stats.skew, stats.answers = known.typical, known.skew, known.answers
        if request_class.request_timeout == was.request_timeout:
            stats.usual_left, stats.usual_votes = known.usual_left, known.usual_votes
    came = {request_class.idempotency for request_class in before.settings.request_classes}
    for kind in {request_class.idempotency for request_class in node.settings.request_classes}:
        node.request_stats.last_received[kind] = (
            before.request_stats.last_received[kind]
            if kind in came
            else before.request_stats.received
        )
    for kind in node.request_stats.last_received.keys() - {
        request_class.idempotency for request_class in node.settings.request_classes
    }:
        node.request_stats.last_received[kind] = before.request_stats.received - KIND_SEEN_WITHIN
