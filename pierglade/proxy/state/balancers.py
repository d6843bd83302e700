"""The balancers in use: one for the current settings, and those of earlier settings."""

import random
from dataclasses import replace

from pierglade.admission.load_shedder import LoadShedder
from pierglade.balancer.balancer import Balancer
from pierglade.model.request import Idempotency

# Times are tenths of a millisecond.

# Multiple of the longest request timeout for which removed backends are stored; no attempt in
# flight refers to one after that.
RETENTION_FACTOR = 2


class Balancers:
    """The balancer that takes new requests, and earlier ones that have unfinished requests."""

    def __init__(self, step, seed, settings):
        self.step = step
        self.current = None
        self.seed, self.earlier = seed, []  # balancers of earlier settings with unfinished requests
        self.apply_settings(settings, step.now)

    def apply_settings(self, settings, now):
        """Creates a balancer for new settings; it takes all requests from now on."""
        self.settings, self.current = settings, Balancer(self.seed, settings, now, self.current)
        self.request_classes = {each.name.encode(): each for each in settings.request_classes}
        # For keyed requests to which the proxy assigned an id: they must not be executed twice.
        self.unkeyed_classes = {
            each.name.encode(): replace(each, idempotency=Idempotency.UNSAFE)
            for each in settings.request_classes
            if each.idempotency == Idempotency.KEYED
        }
        self.load_shedder = LoadShedder(
            [each.priority_weight for each in settings.request_classes],
            random.Random(f"{self.seed} press").random,
        )
        self.refusals = {}  # prepared 503 heads by Retry-After value
        self.removal_retention = RETENTION_FACTOR * max(
            each.request_timeout for each in settings.request_classes
        )
