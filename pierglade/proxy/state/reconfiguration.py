"""Applies a configuration that was loaded again."""

from pierglade.proxy.state.connections import (
    AWAITING_RESPONSE,
)
from pierglade.proxy.state.effects import (
    FollowDiscovery,
    PollDiscovery,
)
from pierglade.reconfiguration.quota_changes import can_apply_in_place
from pierglade.snapshot.handover import take_over

# Times are tenths of a millisecond.

# Configuration keys that are read only at the start of the process.
RESTART_KEYS = ("name", "listen", "management", "limits")


class Reconfiguration:
    """Applies new settings, new quotas and a new discovery address."""

    def __init__(self, step, balancers, endpoints, downstream, discovery, document):
        self.step = step
        self.balancers = balancers
        self.endpoints = endpoints
        self.downstream = downstream
        self.discovery, self.document = discovery, document or {}
        self.raw_settings = self.document.get("settings")

    def loaded(self, discovery, document, settings=None, quota_delta=None):
        """Applies a new configuration.

        If discovery has a new address, the endpoint list stays in use until the first message from
        there. New settings apply to new requests. Pending requests stay with the balancer that
        received them and follow its settings, so that none is lost or sent twice. `quota_delta`:
        changed quotas of tenants; if nothing else changed, the balancer keeps its statistics.
        """
        if settings is not None and document.get("settings") == self.raw_settings and quota_delta:
            if self._apply_quotas_in_place(quota_delta, settings):
                self.step.log(
                    "settings_applied",
                    pending=len(self.downstream.by_state[AWAITING_RESPONSE]),
                    quotas=len(quota_delta),
                )
            else:
                self.raw_settings = None  # makes the next condition true: all settings are replaced
        if settings is not None and document.get("settings") != self.raw_settings:
            self._replace_settings(settings, document)
        changed = {key for key in RESTART_KEYS if document.get(key) != self.document.get(key)}
        self.step.log(
            "config_reloaded",
            discovery=discovery,
            discovery_moved=discovery != self.discovery,
            needs_restart=sorted(changed),
        )
        if discovery != self.discovery:
            self.discovery = discovery
            # Versions of the old discovery have no meaning at the new one.
            self.endpoints.version = self.endpoints.lost_reason = None
            self.step.emit(FollowDiscovery(discovery))

    def _replace_settings(self, settings, document):
        """Creates a balancer for new requests; the earlier one keeps its pending requests."""
        self.raw_settings = document.get("settings")
        settings.tenants.take_over_state(self.balancers.settings.tenants)
        self.balancers.earlier.append(self.balancers.current)
        load_shedder = self.balancers.load_shedder
        self.balancers.apply_settings(settings, self.step.now)
        take_over(self.balancers.current, self.balancers.earlier[-1], self.step.now)
        if load_shedder.shedding_classes == self.balancers.load_shedder.shedding_classes:
            # With a new load shedder, all requests that the earlier one sheds would be admitted.
            self.balancers.load_shedder = load_shedder
        if self.balancers.earlier[-1].settings.polls_endpoints:
            # Requests of the earlier balancer may be waiting for the endpoint list.
            self.step.emit(PollDiscovery())
        self.step.log(
            "settings_applied",
            pending=len(self.downstream.by_state[AWAITING_RESPONSE]),
        )

    def _apply_quotas_in_place(self, quota_delta, settings):
        """Applies changed quotas to the current balancer if possible; returns whether it did so."""
        tenants = self.balancers.settings.tenants
        if quota_delta.base_version != tenants.version or not can_apply_in_place(
            tenants, settings.tenants.quotas
        ):
            return False
        tenants.apply(quota_delta)
        if tenants.total:
            self.balancers.current.quotas_updated(self.step.now)
        return True
