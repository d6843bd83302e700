"""Injects the faults of a plan into the stand-in fleet at their planned times."""

from functools import partial

RATIO_FAULTS = ("errors", "reset", "spoil", "refuse")  # faults that affect a fraction of requests


class FaultInjector:
    """Schedules and applies the faults of a plan; `fleet` is a StandInFleet."""

    def __init__(self, fleet):
        self.fleet, self.clock = fleet, fleet.clock
        self.start_handlers = {
            "crash": self._crash,
            "hang": partial(self._set_model_attribute, "is_hanging", True),
            "slow": lambda backend, fault: backend.set_model_attribute("slowdown", fault.times),
            "pause": self._start_pauses,
            "drain": self._drain,
            "restart": self._restart,
            "replace": self._replace,
            **{kind: self._set_fault_ratio for kind in RATIO_FAULTS},
        }
        self.end_handlers = {
            "crash": self._start_process,
            "hang": partial(self._set_model_attribute, "is_hanging", False),
            "slow": lambda backend, fault: backend.set_model_attribute("slowdown", 1.0),
            "pause": self._end_pauses,
            "drain": self._remove,
            **{kind: self._clear_fault_ratio for kind in RATIO_FAULTS},
        }
        self.discovery_start_handlers = {
            "late": lambda fault: setattr(self.fleet.agent, "late_by", fault.delay_s),
            "silent": lambda fault: setattr(self.fleet.agent, "is_silent", True),
            "broken": lambda fault: setattr(self.fleet.agent, "truncates_messages", True),
        }
        self.discovery_end_handlers = {
            "late": lambda fault: setattr(self.fleet.agent, "late_by", 0.0),
            "silent": lambda fault: setattr(self.fleet.agent, "is_silent", False),
            "broken": lambda fault: setattr(self.fleet.agent, "truncates_messages", False),
        }

    def start(self):
        """Schedules the start and the end of each fault on the fleet's clock."""
        for fault in self.fleet.plan.befall:
            self.clock.at(fault.at_s * 10000, self._apply, fault, True)
            if fault.ends_at_s() != fault.at_s and fault.for_s != float("inf"):
                self.clock.at(fault.ends_at_s() * 10000, self._apply, fault, False)

    def _apply(self, fault, is_start):
        names = [] if fault.is_discovery_fault() else self.fleet.plan.affected_backends(fault)
        self.fleet.ledger.note("befalls", what=fault.what, begins=is_start, backends=names)
        if fault.is_discovery_fault():
            (self.discovery_start_handlers if is_start else self.discovery_end_handlers)[
                fault.what
            ](fault)
            self.fleet.agent.wake()
        for name in names:
            (self.start_handlers if is_start else self.end_handlers)[fault.what](
                self.fleet.backends[name], fault
            )
        self.fleet.report_fault(fault, is_start, names)

    def _set_model_attribute(self, name, value, backend, fault):
        backend.set_model_attribute(name, value)

    def _crash(self, backend, fault):
        backend.crash()
        self.fleet.publish(backend, "DELETED")

    def _start_process(self, backend, fault):
        backend.restart()
        self.fleet.publish(backend, "SERVING", started=True)

    def _restart(self, backend, fault):
        backend.crash()
        self._start_process(backend, fault)

    def _replace(self, backend, fault):
        """Replaces the backend by a cold one with a new name on the same address."""
        backend.crash()
        self.fleet.publish(backend, "DELETED")
        self.fleet.rename(backend)
        self._start_process(backend, fault)

    def _drain(self, backend, fault):
        backend.is_draining = True
        self.fleet.publish(backend, "DRAINING", at_once=True)

    def _remove(self, backend, fault):
        backend.crash()
        self.fleet.publish(backend, "DELETED")

    def _start_pauses(self, backend, fault):
        backend.pause_interval, backend.pause_duration = fault.after, fault.pause_ms * 10
        # A random initial count prevents the backends from pausing at the same time.
        backend.pause_counter = self.fleet.random.randrange(fault.after)

    def _end_pauses(self, backend, fault):
        backend.pause_interval = 0

    def _set_fault_ratio(self, backend, fault):
        backend.fault_ratios[fault.what] = fault.part

    def _clear_fault_ratio(self, backend, fault):
        backend.fault_ratios[fault.what] = 0.0
