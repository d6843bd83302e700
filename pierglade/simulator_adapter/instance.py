"""One balancer in the simulator, with the ids of its requests on the wire."""

from collections.abc import Iterator

from pierglade.balancer.balancer import Balancer
from pierglade.model.decision import FailRequest, RejectRequest
from pierglade.model.request import Attempt, Request
from pierglade.model.ticks import Ticks
from pierglade.settings.platform import load_report_from_values, settings_from
from pierglade.simulator_adapter.messages import (
    US_PER_TICK,
    decode_cost_hint,
    encode_decision,
    encode_timer,
)


class BalancerInstance:
    """A balancer configured by the simulator, with its pending requests and its timer."""

    def __init__(self, name: str, seed, document: dict, now: Ticks) -> None:
        self.name = name
        self.settings = settings_from(document)
        self.balancer = Balancer(seed, self.settings, now)
        self._request_classes = {each.name: each for each in self.settings.request_classes}
        self._requests: dict[object, Request] = {}
        self._timer: Ticks | None = None

    def receive_request(self, fields: dict, now: Ticks, now_us: int) -> None:
        """Decodes a request and passes it to the balancer."""
        request = Request(
            caller_context=fields["call"],
            request_class=self._request_classes[fields["grade"]],
            tenant=self.settings.tenants.tenant(fields.get("party"), now),
            arrived_at=now,
            deadline=(now_us + fields["leftUs"]) // US_PER_TICK,
            cost_hint=decode_cost_hint(fields),
        )
        self._requests[request.caller_context] = request
        self.balancer.request_received(now, request)

    def receive_load_report(self, fields: dict, now: Ticks) -> None:
        """Handles the load report attached to another message, if there is one."""
        figures = fields.get("gauge")
        if figures is not None and self.settings.load_report_source:
            report = load_report_from_values(self.settings.load_report_fields, figures)
            self.balancer.load_reported(now, fields["backend"], report)

    def request(self, request_id) -> Request | None:
        """Returns the pending request with that id, or None."""
        return self._requests.get(request_id)

    def attempt(self, request_id, number: int) -> Attempt | None:
        """Returns the attempt with that number of a pending request, or None."""
        request = self._requests.get(request_id)
        if request and 0 <= number < len(request.attempts):
            return request.attempts[number]
        return None

    def discard_if_finished(self, request: Request) -> None:
        """Discards a request that is answered and has no attempt in flight."""
        if request.completed and not request.in_flight:
            self._requests.pop(request.caller_context, None)

    def timer_fired(self, mark: str) -> None:
        """Handles a fired timer; ignores one that has been replaced since."""
        if mark == str(self._timer):
            self._timer = None

    def pull_messages(self, now: Ticks, now_us: int) -> Iterator[dict]:
        """Yields the messages of all pending decisions, then that of a new timer."""
        balancer = self.balancer
        while (decision := balancer.next_decision(now)) is not None:
            yield encode_decision(decision, self.name, balancer.endpoint_name, now_us)
            if isinstance(decision, RejectRequest | FailRequest):
                self.discard_if_finished(decision.request)
        wakeup = balancer.next_wakeup(now)
        if wakeup is not None and (self._timer is None or wakeup < self._timer):
            self._timer = wakeup
            yield encode_timer(self.name, wakeup)
