"""What a node has learned, for the one that takes its place as settings change. No I/O, no clock, no choice.

Both go on side by side until the earlier one owes nothing, so nothing that changes later is shared, but for
the moments of further trips (`Balancer`). Trips out, what is held and what was decided stay with the earlier one.

| what | is kept | not where |
| --- | --- | --- |
| backends, their places, levels, troubles, trials to come, the forecast | always | of trips out on trial |
| what backends report and usually do | same way and fields of reports | else it may mean another thing |
| an offering's latency, its spread, its hints, what was asked and settled | its name is there | - |
| the time that clients' first tries bring | and its hard limit is the same | it follows from the limit |
| place on the ring, part of the mean, limit on trips out | same number and count of nodes | shares of all |
| the limit on trips out | and both have shares, or neither; an offering is left | it begins otherwise |
| pace, view and room | both learn their part | else the settings say it |
| what a cold backend may be sent | always, by the new span; the earlier one begins at nothing | - |
"""

from pierglade.balancer.balancer import Balancer
from pierglade.balancer.endpoint_stats import KIND_SEEN_WITHIN
from pierglade.model.endpoint import Endpoint, EndpointState


def take_over(node: Balancer, before: Balancer, now: int) -> None:
    """Gives `node`, which was just made, what `before` knows. Both get endpoint lists from then on."""
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
    _figures(node, before, same_reports)
    _rows(node, before, places)
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


def _figures(node, before, same_reports):
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


def _rows(node, before, places):
    for row, request_class, place in zip(
        node.request_stats.classes, node.settings.request_classes, places
    ):
        if place is None:
            continue
        told, was = before.request_stats.classes[place], before.settings.request_classes[place]
        row.asked, row.got, row.hinted = told.asked, told.got, told.hinted
        if told.answers > row.answers:
            row.typical, row.skew, row.answers = told.typical, told.skew, told.answers
        if request_class.request_timeout == was.request_timeout:
            row.usual_left, row.usual_votes = told.usual_left, told.usual_votes
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
