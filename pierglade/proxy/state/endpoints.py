"""The backends' list as discovery tells it, and what is known of each place."""

from collections import OrderedDict
from dataclasses import replace
from sys import intern

from pierglade.model.endpoint import Endpoint, EndpointState
from pierglade.proxy.state.connections import (
    EndpointRecord,
)
from pierglade.proxy.state.effects import (
    ResyncEndpoints,
)

# Times are tenths of a millisecond.
FIRST_WORD = 3000  # 0.3 s; with the list of its start, a process waits so long for a newer one
NAMED = 40  # names in a line of the log, which is cut where it is too long, and tells of none
STATES = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}


class EndpointRegistry:
    """Endpoint records by name, kept up to date with the messages of discovery."""

    def __init__(self, step, timers, counters, balancers, lifecycle):
        self.step = step
        self.timers = timers
        self.counters = counters
        self.balancers = balancers
        self.lifecycle = lifecycle
        self.records = {}  # EndpointRecord by name
        self.removed = OrderedDict()  # names of the removed ones, the longest removed first
        self.version = None  # of the list that discovery sent last
        self.lost_reason = None  # why discovery is lost, logged once

    def connect(self, upstream):
        """The parts that are made after this one."""
        self.upstream = upstream

    def restore(self, document):
        """Takes the list of the start, which may be old."""
        if document and document.get("endpoints"):
            self._apply(document, whole=True)
            if type(document.get("index")) is int:
                self.version = document["index"]
            self.timers.at(self.step.now + FIRST_WORD, self._discovery_is_late, None)

    def _discovery_is_late(self, _):
        self.lifecycle.become_ready()

    def updated(self, document):
        """A message of discovery."""
        try:
            index, whole = document["index"], document["snapshot"]
            if type(index) is not int or type(whole) is not bool:
                raise TypeError("index or snapshot of another type")
            if not whole and (self.version is None or index < self.version):
                raise ValueError(f"changes of {index} on top of {self.version}")
            self._apply(document, whole)
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            # Never act on half a message: ask for the whole list.
            self.step.log("endpoints_rejected", error=f"{type(fault).__name__}: {fault}")
            self.step.emit(ResyncEndpoints())
            self.version = None
            return
        self.version, self.lost_reason = index, None
        self.lifecycle.become_ready()

    def discovery_lost(self, why, waited=0):
        """`waited`: ticks since its last message, or since the call for it began."""
        self.counters.count("discovery_losses")
        if why != self.lost_reason:
            self.lost_reason = why
            self.step.log("discovery_lost", error=why)
        if self.balancers.settings.polls_endpoints:
            self.balancers.current.discovery_lost(self.step.now, waited)

    def _apply(self, document, whole):
        listed, changed = [], []
        entries, named = self._changed_entries(document)
        for entry, address in entries:
            backend = self.records.get(entry.name)
            if backend is None:
                backend = self.records[entry.name] = EndpointRecord(
                    entry.name, address, entry.started_at
                )
                changed.append((entry.name, entry.state.value))
            elif address is not None and (
                address != backend.address or entry.started_at > backend.started
            ):
                # The process behind the name is another one: what is kept to the old one is of no
                # use.
                backend.address, backend.started = address, entry.started_at
                self._close_idle(backend, "restarted")
                changed.append((entry.name, "restarted"))
            backend.entry = entry
            self._set_state(entry.name, backend, entry.state, changed)
        if whole:
            left = [backend for name, backend in self.records.items() if name not in named]
            for backend in left:
                self._set_state(backend.name, backend, EndpointState.REMOVED, changed)
            listed = [replace(backend.entry, state=EndpointState.REMOVED) for backend in left]
        listed += [entry for entry, _ in entries]
        self._drop_removed()
        for node in (*self.balancers.earlier, self.balancers.current):
            node.endpoints_updated(self.step.now, listed, False)
        if changed:
            more = {"more": len(changed) - NAMED} if len(changed) > NAMED else {}
            self.step.log(
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
        for item in document["endpoints"]:
            name = item["name"]
            backend = self.records.get(name)
            if name in named or backend is None or not _is_unchanged(item, backend):
                entries.append(_entry(item))
            named.add(name)
        return entries, named

    def _drop_removed(self):
        """Fleets that start under new names must not fill the memory with old ones."""
        old = []
        for name in self.removed:  # the longest removed first
            if (
                self.step.now - self.records[name].draining_since
                <= self.balancers.removal_retention
            ):
                break
            old.append(name)
        for name in old:
            if not self.records[name].links:
                del self.records[name], self.removed[name]

    def _set_state(self, name, backend, state, changed):
        backend.state = state
        if state == EndpointState.REMOVED:
            self.removed.setdefault(name)
        else:
            self.removed.pop(name, None)
        backend.was_draining = state == EndpointState.DRAINING or (
            backend.was_draining and state != EndpointState.READY
        )
        if state == EndpointState.READY:
            if backend.draining_since is not None:
                changed.append((name, state.value))
            backend.draining_since = None
        elif backend.draining_since is None:
            backend.draining_since = self.step.now
            changed.append((name, state.value))
            if self.is_draining(backend):
                self._close_idle(backend, "drained")

    def is_draining(self, backend):
        """Whether nothing may be sent to it; only missing from the list, it may be up."""
        # By the strictest of the settings with open requests, whichever the attempt is under.
        return backend.draining_since is not None and (
            backend.was_draining
            or any(
                node.settings.removal_binds
                for node in (self.balancers.current, *self.balancers.earlier)
            )
        )

    def _close_idle(self, backend, reason):
        for link in list(backend.idle):
            self.upstream.close(link, reason)


def _entry(item):
    """What the list says of a backend, and where it is."""
    zone = item.get("zone")
    return Endpoint(
        item["name"],
        STATES[item["status"]],
        intern(zone) if type(zone) is str else zone,
        item.get("group"),
        int(item.get("since_ms") or 0) * 10,
        float(item.get("weight", 1.0)),
    ), (_address(item) if item["status"] != "DELETED" else None)


def _is_unchanged(item, backend):
    """Whether it is ready as it was, with all that was sent last."""
    entry = backend.entry
    return (
        backend.state == EndpointState.READY == STATES[item["status"]]
        and item["address"] == backend.address
        and item.get("zone") == entry.zone
        and item.get("group") == entry.cell
        and int(item.get("since_ms") or 0) * 10 == entry.started_at
        and float(item.get("weight", 1.0)) == entry.weight
    )


def _address(entry):
    host, _, port = entry["address"].rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise ValueError(f"no address: {entry['address']!r}")
    return entry["address"]
