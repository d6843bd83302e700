"""Carries out what a plan says befalls the fleet, moment by moment."""

from functools import partial

PARTS = ("errors", "reset", "spoil", "refuse")


class Script:
    """`fleet` is the StandIn; `start` puts all moments on its clock."""

    def __init__(self, fleet):
        self.fleet, self.clock = fleet, fleet.clock
        self.begins = {
            "crash": self._crash,
            "hang": partial(self._model, "is_hanging", True),
            "slow": lambda stand, befall: stand.set("slowdown", befall.times),
            "pause": self._pause,
            "drain": self._drain,
            "restart": self._restart,
            "replace": self._replace,
            **{part: self._part for part in PARTS},
        }
        self.ends = {
            "crash": self._start_again,
            "hang": partial(self._model, "is_hanging", False),
            "slow": lambda stand, befall: stand.set("slowdown", 1.0),
            "pause": self._no_pause,
            "drain": self._gone,
            **{part: self._no_part for part in PARTS},
        }
        self.list_begins = {
            "late": lambda befall: setattr(self.fleet.agent, "late_by", befall.delay_s),
            "silent": lambda befall: setattr(self.fleet.agent, "silent", True),
            "broken": lambda befall: setattr(self.fleet.agent, "broken", True),
        }
        self.list_ends = {
            "late": lambda befall: setattr(self.fleet.agent, "late_by", 0.0),
            "silent": lambda befall: setattr(self.fleet.agent, "silent", False),
            "broken": lambda befall: setattr(self.fleet.agent, "broken", False),
        }

    def start(self):
        for befall in self.fleet.plan.befall:
            self.clock.at(befall.at_s * 10000, self._strike, befall, True)
            if befall.until() != befall.at_s and befall.for_s != float("inf"):
                self.clock.at(befall.until() * 10000, self._strike, befall, False)

    def _strike(self, befall, begins):
        who = [] if befall.of_list() else self.fleet.plan.struck(befall)
        self.fleet.ledger.note("befalls", what=befall.what, begins=begins, backends=who)
        if befall.of_list():
            (self.list_begins if begins else self.list_ends)[befall.what](befall)
            self.fleet.agent.wake()
        for name in who:
            (self.begins if begins else self.ends)[befall.what](self.fleet.stands[name], befall)
        self.fleet.happened(befall, begins, who)

    def _model(self, what, value, stand, befall):
        stand.set(what, value)

    def _crash(self, stand, befall):
        stand.crash()
        self.fleet.list(stand, "DELETED")

    def _start_again(self, stand, befall):
        stand.start_again()
        self.fleet.list(stand, "SERVING", started=True)

    def _restart(self, stand, befall):
        stand.crash()
        self._start_again(stand, befall)

    def _replace(self, stand, befall):
        """Another machine behind the old address: a new name, cold."""
        stand.crash()
        self.fleet.list(stand, "DELETED")
        self.fleet.rename(stand)
        self._start_again(stand, befall)

    def _drain(self, stand, befall):
        stand.draining = True
        self.fleet.list(stand, "DRAINING", at_once=True)

    def _gone(self, stand, befall):
        stand.crash()
        self.fleet.list(stand, "DELETED")

    def _pause(self, stand, befall):
        stand.pause_after, stand.pause_for = befall.after, befall.pause_ms * 10
        stand.settled = self.fleet.chance.randrange(befall.after)  # not all of them in step

    def _no_pause(self, stand, befall):
        stand.pause_after = 0

    def _part(self, stand, befall):
        stand.part[befall.what] = befall.part

    def _no_part(self, stand, befall):
        stand.part[befall.what] = 0.0
