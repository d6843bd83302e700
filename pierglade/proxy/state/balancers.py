"""The balancers in use: that of the settings in force, and those of earlier ones."""

import random
from dataclasses import replace

from pierglade.admission.load_shedder import Press
from pierglade.balancer.balancer import Balancer
from pierglade.model.request import Idempotency

# Times are tenths of a millisecond.
FORGET = 2  # times the longest hard limit; then nothing out can concern a gone backend


class Balancers:
    """The balancer that takes requests, and the earlier ones that have unfinished requests."""

    def __init__(self, step, seed, settings):
        self.step = step
        self.current = None
        self.seed, self.earlier = seed, []  # balancers of earlier settings with unfinished requests
        self.apply_settings(settings, step.now)

    def apply_settings(self, terms, now):
        self.settings, self.current = terms, Balancer(self.seed, terms, now, self.current)
        self.request_classes = {o.name.encode(): o for o in terms.request_classes}
        # A stamped one whose request brings no id of its own: what it does must not be done twice.
        self.without_key = {
            o.name.encode(): replace(o, idempotency=Idempotency.UNSAFE)
            for o in terms.request_classes
            if o.idempotency == Idempotency.KEYED
        }
        self.load_shedder = Press(
            [o.priority_weight for o in terms.request_classes],
            random.Random(f"{self.seed} press").random,
        )
        self.refusals = {}  # prepared, by how long clients are told to stay away
        self.removal_retention = FORGET * max(o.request_timeout for o in terms.request_classes)
