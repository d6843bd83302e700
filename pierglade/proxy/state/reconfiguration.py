"""A configuration that was read again takes effect."""

from pierglade.proxy.state.connections import (
    AWAITING_RESPONSE,
)
from pierglade.proxy.state.effects import (
    FollowDiscovery,
    PollDiscovery,
)
from pierglade.reconfiguration.quota_changes import fits_in_place
from pierglade.snapshot.handover import take_over

# Times are tenths of a millisecond.
# What of a configuration is read at the start only.
FIXED = ("name", "listen", "management", "limits")


class Reconfiguration:
    """Applies other settings, other quotas and another place of discovery."""

    def __init__(self, step, balancers, endpoints, downstream, discovery, document):
        self.step = step
        self.balancers = balancers
        self.endpoints = endpoints
        self.downstream = downstream
        self.discovery, self.document = discovery, document or {}
        self.raw_settings = self.document.get("settings")

    def loaded(self, discovery, document, settings=None, quota_delta=None):
        """A new configuration: discovery is followed where it is now; the list is kept until then.

        New settings hold for what is taken from now on. What was taken before stays with the node
        that took it, so that its rules hold to its end and nothing of it is lost or sent twice.
        `quota_delta`: what else tenants may ask; where that is all that changed, the node goes on
        with it and keeps what it knows.
        """
        if settings is not None and document.get("settings") == self.raw_settings and quota_delta:
            if self._apply_quotas_in_place(quota_delta, settings):
                self.step.log(
                    "settings_applied",
                    pending=len(self.downstream.by_state[AWAITING_RESPONSE]),
                    quotas=len(quota_delta),
                )
            else:
                self.raw_settings = None  # All is taken anew below.
        if settings is not None and document.get("settings") != self.raw_settings:
            self._replace_settings(settings, document)
        changed = {key for key in FIXED if document.get(key) != self.document.get(key)}
        self.step.log(
            "config_reloaded",
            discovery=discovery,
            discovery_moved=discovery != self.discovery,
            needs_restart=sorted(changed),
        )
        if discovery != self.discovery:
            self.discovery = discovery
            self.endpoints.version = self.endpoints.lost_reason = (
                None  # Versions are the old place's own.
            )
            self.step.emit(FollowDiscovery(discovery))

    def _replace_settings(self, settings, document):
        """A new balancer takes what comes from now on; the earlier one keeps what it has taken."""
        self.raw_settings = document.get("settings")
        settings.tenants.follow(self.balancers.settings.tenants)
        self.balancers.earlier.append(self.balancers.current)
        load_shedder = self.balancers.load_shedder
        self.balancers.apply_settings(settings, self.step.now)
        take_over(self.balancers.current, self.balancers.earlier[-1], self.step.now)
        if load_shedder.classes == self.balancers.load_shedder.classes:
            self.balancers.load_shedder = (
                load_shedder  # Or all that the earlier one sheds would be let in at once.
            )
        if self.balancers.earlier[-1].settings.polls_endpoints:
            # Who waits for the list under the earlier settings may wait for long.
            self.step.emit(PollDiscovery())
        self.step.log(
            "settings_applied",
            pending=len(self.downstream.by_state[AWAITING_RESPONSE]),
        )

    def _apply_quotas_in_place(self, quota_delta, settings):
        """Whether other shares were taken as a difference from those in force."""
        tenants = self.balancers.settings.tenants
        if quota_delta.base != tenants.version or not fits_in_place(
            tenants, settings.tenants.shares
        ):
            return False
        tenants.apply(quota_delta)
        if tenants.total:
            self.balancers.current.quotas_updated(self.step.now)
        return True
