"""The list's part of a node's state: discovery's word on backends, and new configurations."""

from dataclasses import replace
from sys import intern

from pierglade.model.endpoint import Endpoint, EndpointState
from pierglade.proxy.state.connections import ConnectionState, EndpointRecord
from pierglade.proxy.state.effects import (
    FollowDiscovery,
    OpenListener,
    PollDiscovery,
    ResyncEndpoints,
)
from pierglade.reconfiguration.quota_changes import fits_in_place
from pierglade.snapshot.handover import take_over

# Constants. Times are tenths of a millisecond.
FIRST_WORD = 3000  # 0.3 s; with the list it was started with, a node waits so long for a newer one
NAMED = 40  # names in a line of the log, which is cut where it is too long, and tells of none
STATES = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}
# What of a configuration is read at the start only.
FIXED = ("name", "listen", "management", "limits")


class Listing:
    """Mixed into the ProxyStateMachine, which holds what is used here."""

    def known(self, document):
        """The list that the node was started with, which may be old."""
        if document and document.get("endpoints"):
            self._apply_list(document, whole=True)
            if type(document.get("index")) is int:
                self.index = document["index"]
            self._at(self.now + FIRST_WORD, self._word_is_late, None)

    def _word_is_late(self, _):
        self._is_ready()

    def _is_ready(self):
        self.ready = True
        if not self.door_open and self.stopped is None:
            self.door_open = True
            self._do(OpenListener())

    def _heard(self, document):
        """A message of discovery."""
        try:
            index, whole = document["index"], document["snapshot"]
            if type(index) is not int or type(whole) is not bool:
                raise TypeError("index or snapshot of another type")
            if not whole and (self.index is None or index < self.index):
                raise ValueError(f"changes of {index} on top of {self.index}")
            self._apply_list(document, whole)
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            # Never act on half a message: ask for the whole list.
            self._note("endpoints_rejected", error=f"{type(fault).__name__}: {fault}")
            self._do(ResyncEndpoints())
            self.index = None
            return
        self.index, self.no_word = index, None
        self._is_ready()

    def _no_word(self, why, waited=0):
        """`waited`: since its last word, or since the call for it began."""
        self._count("discovery_losses")
        if why != self.no_word:
            self.no_word = why
            self._note("discovery_lost", error=why)
        if self.settings.polls_endpoints:
            self.node.discovery_lost(self.now, waited)

    def _configured(self, discovery, told, terms=None, difference=None):
        """A new configuration: discovery is followed where it is now; the list is kept until it is heard.

        New settings hold for what is taken from now on. What was taken before stays with the node that took
        it, so that its rules hold to its end and nothing of it is lost or sent twice. `difference`: what else
        tenants may ask; where that is all that changed, the node goes on with it and keeps what it knows.
        """
        if terms is not None and told.get("settings") == self.raw_settings and difference:
            if self._takes_in_place(difference, terms):
                self._note(
                    "settings_applied",
                    pending=len(self.clients[ConnectionState.AWAITING_RESPONSE]),
                    quotas=len(difference),
                )
            else:
                self.raw_settings = None  # All is taken anew below.
        if terms is not None and told.get("settings") != self.raw_settings:
            self._replace_settings(terms, told)
        changed = {key for key in FIXED if told.get(key) != self.told.get(key)}
        self._note(
            "config_reloaded",
            discovery=discovery,
            discovery_moved=discovery != self.discovery,
            needs_restart=sorted(changed),
        )
        if discovery != self.discovery:
            self.discovery = discovery
            self.index = self.no_word = None  # Versions are the old place's own.
            self._do(FollowDiscovery(discovery))

    def _replace_settings(self, terms, told):
        """A new balancer takes what comes from now on; the earlier one keeps what it has taken."""
        self.raw_settings = told.get("settings")
        terms.tenants.follow(self.settings.tenants)
        self.older.append(self.node)
        press = self.press
        self._serve_under(terms, self.now)
        take_over(self.node, self.older[-1], self.now)
        if press.classes == self.press.classes:
            self.press = press  # Or all that the earlier one sheds would be let in at once.
        if self.older[-1].settings.polls_endpoints:
            # Who waits for the list under the earlier settings may wait for long.
            self._do(PollDiscovery())
        self._note(
            "settings_applied",
            pending=len(self.clients[ConnectionState.AWAITING_RESPONSE]),
        )

    def _takes_in_place(self, difference, terms):
        """Whether other shares were taken as a difference from those in force."""
        tenants = self.settings.tenants
        if difference.base != tenants.version or not fits_in_place(tenants, terms.tenants.shares):
            return False
        tenants.apply(difference)
        if tenants.total:
            self.node.quotas_updated(self.now)
        return True

    def _apply_list(self, document, whole):
        listed, changed = [], []
        entries, named = self._changed_entries(document)
        for entry, address in entries:
            backend = self.backends.get(entry.name)
            if backend is None:
                backend = self.backends[entry.name] = EndpointRecord(
                    entry.name, address, entry.started_at
                )
                changed.append((entry.name, entry.state.value))
            elif address is not None and (
                address != backend.address or entry.started_at > backend.started
            ):
                # The process behind the name is another one: what is kept to the old one is of no use.
                backend.address, backend.started = address, entry.started_at
                self._end_idle(backend, "restarted")
                changed.append((entry.name, "restarted"))
            backend.entry = entry
            self._told(entry.name, backend, entry.state, changed)
        if whole:
            left = [backend for name, backend in self.backends.items() if name not in named]
            for backend in left:
                self._told(backend.name, backend, EndpointState.REMOVED, changed)
            listed = [replace(backend.entry, state=EndpointState.REMOVED) for backend in left]
        listed += [entry for entry, _ in entries]
        self._forget_gone()
        for node in (*self.older, self.node):
            node.endpoints_updated(self.now, listed, False)
        if changed:
            more = {"more": len(changed) - NAMED} if len(changed) > NAMED else {}
            self._note(
                "endpoints_updated",
                version=document["index"],
                whole=whole,
                changed=changed[:NAMED],
                **more,
            )

    def _changed_entries(self, document):
        """(Endpoint, address) of each that is not as it was, and the names of all.

        All of it is read before any is applied; of a whole list sent again most is as it was.
        """
        entries, named = [], set()
        for told in document["endpoints"]:
            name = told["name"]
            backend = self.backends.get(name)
            if name in named or backend is None or not _as_heard(told, backend):
                entries.append(_entry(told))
            named.add(name)
        return entries, named

    def _forget_gone(self):
        """Fleets that start under new names must not fill the memory with old ones."""
        old = []
        for name in self.gone:  # the longest gone first
            if self.now - self.backends[name].told <= self.forget:
                break
            old.append(name)
        for name in old:
            if not self.backends[name].links:
                del self.backends[name], self.gone[name]

    def _told(self, name, backend, state, changed):
        backend.state = state
        if state == EndpointState.REMOVED:
            self.gone.setdefault(name)
        else:
            self.gone.pop(name, None)
        backend.drains = (
            state == EndpointState.DRAINING or backend.drains and state != EndpointState.READY
        )
        if state == EndpointState.READY:
            if backend.told is not None:
                changed.append((name, state.value))
            backend.told = None
        elif backend.told is None:
            backend.told = self.now
            changed.append((name, state.value))
            if self._binds(backend):
                self._end_idle(backend, "drained")

    def _binds(self, backend):
        """Whether the rule on draining holds for it. Listed as gone alone, it may be up all the same."""
        # By the strictest of the settings that still owe something; under which a trip is, is not asked.
        return backend.told is not None and (
            backend.drains or any(node.settings.removal_binds for node in (self.node, *self.older))
        )

    def _end_idle(self, backend, reason):
        for link in list(backend.idle):
            self._end_link(link, reason)


def _entry(told):
    """What the list says of a backend, and where it is."""
    zone = told.get("zone")
    return Endpoint(
        told["name"],
        STATES[told["status"]],
        intern(zone) if type(zone) is str else zone,
        told.get("group"),
        int(told.get("since_ms") or 0) * 10,
        float(told.get("weight", 1.0)),
    ), (_address(told) if told["status"] != "DELETED" else None)


def _as_heard(told, backend):
    """Whether it is ready as it was, with all that was heard last."""
    entry = backend.entry
    return (
        backend.state == EndpointState.READY == STATES[told["status"]]
        and told["address"] == backend.address
        and told.get("zone") == entry.zone
        and told.get("group") == entry.cell
        and int(told.get("since_ms") or 0) * 10 == entry.started_at
        and float(told.get("weight", 1.0)) == entry.weight
    )


def _address(entry):
    host, _, port = entry["address"].rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise ValueError(f"no address: {entry['address']!r}")
    return entry["address"]
