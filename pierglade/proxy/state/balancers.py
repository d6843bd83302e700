"""The balancers in use: that of the settings in force, and those of earlier ones."""

import random
from dataclasses import replace

from pierglade.admission.load_shedder import LoadShedder
from pierglade.balancer.balancer import Balancer
from pierglade.model.request import Idempotency

# Times are tenths of a millisecond.
RETENTION_FACTOR = (
    2  # times the longest request timeout; then nothing in flight concerns a removed backend
)


class Balancers:
    """The balancer that takes requests, and the earlier ones that have unfinished requests."""

    def __init__(self, step, seed, settings):
        self.step = step
        self.current = None
        self.seed, self.earlier = seed, []  # balancers of earlier settings with unfinished requests
        self.apply_settings(settings, step.now)

    def apply_settings(self, settings, now):
        """A new balancer takes requests from now on, under other settings."""
        self.settings, self.current = settings, Balancer(self.seed, settings, now, self.current)
        self.request_classes = {each.name.encode(): each for each in settings.request_classes}
        # A stamped one whose request brings no id of its own: what it does must not be done twice.
        self.without_key = {
            each.name.encode(): replace(each, idempotency=Idempotency.UNSAFE)
            for each in settings.request_classes
            if each.idempotency == Idempotency.KEYED
        }
        self.load_shedder = LoadShedder(
            [each.priority_weight for each in settings.request_classes],
            random.Random(f"{self.seed} press").random,
        )
        self.refusals = {}  # prepared, by their Retry-After
        self.removal_retention = RETENTION_FACTOR * max(
            each.request_timeout for each in settings.request_classes
        )
