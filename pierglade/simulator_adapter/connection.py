"""Connection to the simulator: decodes messages, calls the balancers and encodes decisions."""

from typing import BinaryIO

import orjson

from pierglade.model.endpoint import Endpoint
from pierglade.settings.platform import floor_ticks
from pierglade.simulator_adapter.instance import BalancerInstance
from pierglade.simulator_adapter.messages import (
    OUTCOMES,
    US_PER_TICK,
    WireFormatError,
    decode_endpoint,
    encode_internal_error,
)

FLUSH_MESSAGE = "OverToYou"


class SimulatorConnection:
    """Handles one line at a time; writes the decisions of all instances at each flush message."""

    def __init__(self, output: BinaryIO) -> None:
        self.output = output
        self.instances: dict[str, BalancerInstance] = {}
        self._endpoint_lists: dict[object, list[Endpoint]] = {}
        self._instances_to_flush: dict[str, BalancerInstance] = {}
        self._now_us = self._now = 0
        self._handlers = {
            "Sync": self._on_clock,
            FLUSH_MESSAGE: self._on_flush,
            "Census": self._on_endpoint_list,
            "Boot": self._on_start,
            "Discovery": self._on_discovery,
            "Incoming": self._on_request,
            "NeighbourSays": self._on_peer_message,
            "Kill": self._on_kill,
            "ClientGone": self._on_client_disconnected,
            "Ring": self._on_timer,
            "FirstByte": self._on_response_started,
            "PingResult": self._on_health_check,
            "Completed": self._on_attempt_ended,
        }

    def receive(self, line: bytes) -> None:
        """Handles one message; raises WireFormatError if it is malformed."""
        try:
            ((name, fields),) = orjson.loads(line).items()
            handler = self._handlers[name]
        except (ValueError, AttributeError, KeyError):
            raise WireFormatError(
                "malformed message; expected an object with one known message name as its key", line
            ) from None
        if not isinstance(fields, dict):
            raise WireFormatError(
                f"fields of {name} are of type {type(fields).__name__}; expected an object", line
            )
        try:
            handler(fields)
        except (KeyError, TypeError, ValueError) as error:
            if name == FLUSH_MESSAGE:
                raise
            raise WireFormatError(f"cannot process {name} ({error!r})", line) from error

    def _instance(self, fields: dict) -> BalancerInstance | None:
        """Returns the addressed instance and marks it for the next flush; None if unknown."""
        name = fields["who"]
        instance = self.instances.get(name)
        if instance is not None:
            self._instances_to_flush[name] = instance
        return instance

    def _on_clock(self, fields: dict) -> None:
        self._now_us = fields["wallUs"]
        self._now = self._now_us // US_PER_TICK

    def _on_endpoint_list(self, fields: dict) -> None:
        self._endpoint_lists[fields["ref"]] = [
            decode_endpoint(entry) for entry in fields["entries"]
        ]

    def _on_start(self, fields: dict) -> None:
        name = fields["who"]
        self.instances[name] = BalancerInstance(name, fields["seed"], fields["conf"], self._now)
        self._instance(fields)

    def _on_kill(self, fields: dict) -> None:
        self.instances.pop(fields["who"], None)
        self._instances_to_flush.pop(fields["who"], None)

    def _on_discovery(self, fields: dict) -> None:
        instance = self._instance(fields)
        if instance is None:
            return
        if fields["scope"] == "unavailable":
            instance.balancer.discovery_lost(self._now)
            return
        endpoints = self._endpoint_lists[fields["ref"]]
        is_full_list = fields["scope"] != "update"
        instance.balancer.endpoints_updated(self._now, endpoints, is_full_list)

    def _on_request(self, fields: dict) -> None:
        instance = self._instance(fields)
        if instance is not None:
            instance.receive_request(fields, self._now, self._now_us)

    def _on_client_disconnected(self, fields: dict) -> None:
        instance = self._instance(fields)
        request = instance and instance.request(fields["call"])
        if request:
            instance.balancer.client_disconnected(self._now, request)
            instance.discard_if_finished(request)

    def _on_attempt_ended(self, fields: dict) -> None:
        instance = self._instance(fields)
        attempt = instance and instance.attempt(fields["call"], fields["sendNo"])
        if not attempt or attempt.outcome is not None:
            return
        instance.receive_load_report(fields, self._now)
        outcome = OUTCOMES[fields["reason"]]
        latency = floor_ticks(fields["durationUs"])
        is_final = bool(fields["doneFlag"])
        instance.balancer.attempt_ended(self._now, attempt, outcome, latency, is_final)
        instance.discard_if_finished(attempt.request)

    def _on_response_started(self, fields: dict) -> None:
        instance = self._instance(fields)
        attempt = instance and instance.attempt(fields["call"], fields["sendNo"])
        if attempt:
            instance.balancer.response_started(attempt)

    def _on_health_check(self, fields: dict) -> None:
        instance = self._instance(fields)
        if not instance:
            return
        instance.receive_load_report(fields, self._now)
        is_healthy = fields["reason"] == "success"
        latency = floor_ticks(fields["durationUs"])
        instance.balancer.health_checked(self._now, fields["backend"], is_healthy, latency)

    def _on_timer(self, fields: dict) -> None:
        instance = self._instance(fields)
        if instance:
            instance.timer_fired(fields["mark"])

    def _on_peer_message(self, fields: dict) -> None:
        """Ignores a message of another instance; no decision uses it."""

    def _on_flush(self, fields: dict) -> None:
        """Writes the decisions of the instances addressed since the last flush."""
        messages = []
        for name, instance in self._instances_to_flush.items():
            try:
                messages.extend(instance.pull_messages(self._now, self._now_us))
            except Exception as error:
                messages.append(encode_internal_error(name, error))
        self._instances_to_flush = {}
        messages.append({"Done": {}})
        self.output.write(b"\n".join(map(orjson.dumps, messages)) + b"\n")
        self.output.flush()
