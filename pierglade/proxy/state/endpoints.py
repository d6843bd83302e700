"""The endpoint list as discovery reports it, and a record of each endpoint."""

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
from pierglade.proxy.state.start_times import StartTimes

# Times are tenths of a millisecond.

# 0.3 s; how long a process that starts with a restored list waits for a newer one.
INITIAL_LIST_TIMEOUT = 3000
MAX_LOGGED_NAMES = 40  # names per log line; a longer line would be truncated and lose all of them
STATE_BY_STATUS = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}


class EndpointRegistry:
    """Endpoint records by name, updated by the messages of discovery."""

    def __init__(self, step, timers, counters, balancers, lifecycle):
        self.step = step
        self.timers = timers
        self.counters = counters
        self.balancers = balancers
        self.lifecycle = lifecycle
        self.records = {}  # EndpointRecord by name
        self.by_address = {}  # name of the ready endpoint that has an address
        self.start_times = StartTimes()
        self.removed = OrderedDict()  # names of removed endpoints, the longest removed first
        self.version = None  # version of the last list from discovery
        self.lost_reason = None  # reason of the current loss of discovery, as logged

    def set_dependencies(self, upstream):
        """Sets the components that are created after this one."""
        self.upstream = upstream

    def restore(self, document):
        """Applies the endpoint list that the process starts with, which may be outdated."""
        if document and document.get("endpoints"):
            self._apply(document, whole=True)
            if type(document.get("index")) is int:
                self.version = document["index"]
            self.timers.schedule(
                self.step.now + INITIAL_LIST_TIMEOUT, self._initial_list_timed_out, None
            )

    def _initial_list_timed_out(self, _):
        self.lifecycle.become_ready()

    def updated(self, document):
        """Applies a message of discovery; requests the whole list if it is invalid."""
        try:
            index, whole = document["index"], document["snapshot"]
            if type(index) is not int or type(whole) is not bool:
                raise TypeError(
                    f"index is a {type(index).__name__} and snapshot a {type(whole).__name__}; "
                    "expected int and bool"
                )
            if not whole and (self.version is None or index < self.version):
                raise ValueError(f"changes with index {index} do not follow version {self.version}")
            self._apply(document, whole)
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            # No part of an invalid message is applied.
            self.step.log("endpoints_rejected", error=f"{type(fault).__name__}: {fault}")
            self.step.emit(ResyncEndpoints())
            self.version = None
            return
        self.version, self.lost_reason = index, None
        self.start_times.message_applied()
        self.lifecycle.become_ready()

    def discovery_lost(self, reason, waited=0):
        """Handles a loss of discovery; `waited`: ticks since its last message or the call."""
        self.counters.count("discovery_losses")
        self.start_times.discovery_lost(self.step.now - waited)
        if reason != self.lost_reason:
            self.lost_reason = reason
            self.step.log("discovery_lost", error=reason)
        if self.balancers.settings.polls_endpoints:
            self.balancers.current.discovery_lost(self.step.now, waited)

    def _apply(self, document, whole):
        listed, changed = [], []
        entries, names = self._changed_entries(document)
        self.start_times.list_received(self.step.now, [entry.started_at for entry, _ in entries])
        for entry, address in entries:
            is_new = self._update_record(entry, address, changed)
            self._set_state(entry.name, self.records[entry.name], entry.state, changed)
            if entry.state == EndpointState.READY:
                listed += self._claim_address(self.records[entry.name], is_new, changed)
        if whole:
            missing = [backend for name, backend in self.records.items() if name not in names]
            for backend in missing:
                self._set_state(backend.name, backend, EndpointState.REMOVED, changed)
            listed += [replace(backend.entry, state=EndpointState.REMOVED) for backend in missing]
        superseded = {entry.name for entry in listed}
        listed += [entry for entry, _ in entries if entry.name not in superseded]
        self._drop_removed()
        for balancer in (*self.balancers.earlier, self.balancers.current):
            balancer.endpoints_updated(self.step.now, listed, False)
        if changed:
            more = (
                {"more": len(changed) - MAX_LOGGED_NAMES} if len(changed) > MAX_LOGGED_NAMES else {}
            )
            self.step.log(
                "endpoints_updated",
                version=document["index"],
                whole=whole,
                changed=changed[:MAX_LOGGED_NAMES],
                **more,
            )

    def _update_record(self, entry, address, changed):
        """Updates the record of an endpoint; returns whether another process has the name now."""
        backend, reported = self.records.get(entry.name), entry.started_at
        if backend is None:
            entry.started_at = self.start_times.local(self.step.now, reported, None)
            self.records[entry.name] = EndpointRecord(entry.name, address, reported)
            self.records[entry.name].entry = entry
            changed.append((entry.name, entry.state.value))
            return True
        is_new = address is not None and (address != backend.address or reported != backend.started)
        previous = backend.entry.started_at
        entry.started_at = (
            self.start_times.local(self.step.now, reported, previous)
            if is_new and reported != backend.started
            else previous
        )
        if is_new:
            # Connections to the earlier process are useless.
            self._release_address(backend)
            backend.address, backend.started = address, reported
            backend.incarnation += 1
            backend.min_connect_time, backend.is_superseded = None, False
            self._close_idle(backend, "restarted")
            changed.append((entry.name, "restarted"))
        backend.entry = entry
        return is_new

    def _claim_address(self, backend, is_new, changed):
        """Makes a ready endpoint the one that has its address, if its process is the newest there.

        Returns removals for the balancer: attempts for the other name would reach this process.
        Endpoints that share an address and the time of their start stay as they are.
        """
        other = self.records.get(self.by_address.get(backend.address))
        if backend.is_superseded or other is None or other is backend:
            if not backend.is_superseded:
                self.by_address[backend.address] = backend.name
                return []
            return [replace(backend.entry, state=EndpointState.REMOVED)]
        if other.started == backend.started or other.address != backend.address:
            return []
        if is_new and self.start_times.is_current and backend.started:
            older = other
        else:
            older = min(backend, other, key=lambda each: each.started)
        older.is_superseded = True
        self.by_address[backend.address] = (backend if older is other else other).name
        self._close_idle(older, "address taken over")
        changed.append((older.name, "address taken over"))
        return [replace(older.entry, state=EndpointState.REMOVED)]

    def _release_address(self, backend):
        if self.by_address.get(backend.address) == backend.name:
            del self.by_address[backend.address]

    def _changed_entries(self, document):
        """Returns (Endpoint, address) of each changed endpoint, and the names of all.

        The whole message is parsed before any of it is applied; most of a list that is sent again
        is unchanged.
        """
        entries, names = [], set()
        for item in document["endpoints"]:
            name = item["name"]
            backend = self.records.get(name)
            if name in names or backend is None or not _is_unchanged(item, backend):
                entries.append(_entry(item))
            names.add(name)
        return entries, names

    def _drop_removed(self):
        """Deletes the records of endpoints removed long ago.

        Otherwise backends that restart under new names would make the table grow without limit.
        """
        old = []
        for name in self.removed:  # the longest removed first
            if (
                self.step.now - self.records[name].draining_since
                <= self.balancers.removal_retention
            ):
                break
            old.append(name)
        for name in old:
            if not self.records[name].open_connections:
                self._release_address(self.records[name])
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
        """Returns whether no request may be sent to a backend.

        None may be sent where another process has the backend's address.
        A backend that is missing from the list without having been draining may get requests if
        `removal_binds` is off, in the current settings and in all earlier ones with pending
        requests, whichever settings the attempt is under.
        """
        if backend.is_superseded:
            return True
        return backend.draining_since is not None and (
            backend.was_draining
            or any(
                balancer.settings.removal_binds
                for balancer in (self.balancers.current, *self.balancers.earlier)
            )
        )

    def _close_idle(self, backend, reason):
        for connection in list(backend.idle):
            self.upstream.close(connection, reason)


def _entry(item):
    """Returns an Endpoint and its address, which is None if the endpoint is removed."""
    zone = item.get("zone")
    return Endpoint(
        item["name"],
        STATE_BY_STATUS[item["status"]],
        intern(zone) if type(zone) is str else zone,
        item.get("group"),
        int(item.get("since_ms") or 0) * 10,
        float(item.get("weight", 1.0)),
    ), (_address(item) if item["status"] != "DELETED" else None)


def _is_unchanged(item, backend):
    """Returns whether an item lists a ready endpoint with the data of the last message."""
    entry = backend.entry
    return (
        backend.state == EndpointState.READY == STATE_BY_STATUS[item["status"]]
        and item["address"] == backend.address
        and item.get("zone") == entry.zone
        and item.get("group") == entry.cell
        and int(item.get("since_ms") or 0) * 10 == backend.started
        and float(item.get("weight", 1.0)) == entry.weight
    )


def _address(entry):
    host, _, port = entry["address"].rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise ValueError(
            f"address is {entry['address']!r}; expected HOST:PORT with a port from 1 to 65535"
        )
    return entry["address"]
