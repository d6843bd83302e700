"""`python -m pierglade.scale.hollow SPEC`: hollow nodes, many or one to a process.

A hollow node has its own real watch on a socket (`pierglade.proxy.discovery`) and reads each message itself. A
full one holds the list and the settings in a real reducer over the real decisions, as a node does that nobody
asks. One that only watches accounts what it was told: the version, and where the list is not as at the start.
SPEC is a JSON file: `plan`, `discovery`, `port_of_backends`, `first`, `count`, `full`, `config`.
"""

import gc
import os
import sys
from time import monotonic, thread_time

import gevent
import msgspec
from gevent.fileobject import FileObjectPosix

from pierglade.__main__ import GARBAGE, UnusableConfigError, config_from_environ, reload_steps
from pierglade.model.endpoint import EndpointState
from pierglade.proxy.discovery import DiscoveryClient
from pierglade.proxy.event_loop import Clock, Timer, in_steps
from pierglade.proxy.state.effects import LogEvent, PollDiscovery, ResyncEndpoints
from pierglade.proxy.state.events import (
    ConfigurationLoaded,
    DiscoveryLost,
    EndpointsUpdated,
    TimerFired,
)
from pierglade.proxy.state.machine import ProxyStateMachine
from pierglade.reconfiguration import quota_changes as shares
from pierglade.scale import child
from pierglade.scale.plan import Plan, names

FIRST = 1  # the version of the list that all are started with
STATES = {
    EndpointState.READY: "SERVING",
    EndpointState.DRAINING: "DRAINING",
    EndpointState.REMOVED: "DELETED",
}
LOADED = "settings_applied"  # the note of a node that serves under new settings


class Hollow:
    """What both kinds have: a watch, and when which version was in force."""

    def __init__(self, number, discovery):
        self.number, self.address = number, discovery
        self.stamps = []  # (version, monotonic moment) of the list, as it came to be in force
        self.downs = []  # [from, to], as it was restarted
        self.twice = self.lost = self.faults = 0
        self.index = FIRST
        self.begin()
        self.follow(FIRST)

    def follow(self, index):
        self.discovery = DiscoveryClient(self.address, self, index)
        self.discovery.is_polled = lambda: False

    def start(self):
        gevent.spawn(self._run, self.discovery)

    def _run(self, discovery):
        while True:
            try:
                return discovery.run()
            except Exception as fault:
                self.faults += 1
                print(f"node {self.number}: {fault!r}", file=sys.stderr)
                gevent.sleep(0.1)

    def down(self):
        self.discovery.stop()
        self.downs.append([monotonic(), float("inf")])

    def up(self):
        """As a new process of that name: it knows the list of the start, and follows from there."""
        self.downs[-1][1] = monotonic()
        self.index = FIRST
        self.begin()
        self.follow(FIRST)
        self.start()

    def tell(self, event):
        if isinstance(event, DiscoveryLost):
            self.lost += 1
        elif isinstance(event, EndpointsUpdated):
            document = event.document
            index, told = document["index"], document["endpoints"]
            if told and not document["snapshot"] and self.index is not None and index <= self.index:
                self.twice += 1
        self.take(event)
        if isinstance(event, EndpointsUpdated) and self.index is not None:
            self.stamps.append((self.index, monotonic()))

    def delay(self, index, at):
        """s until that version was in force; None where it was not, False where it was down meanwhile."""
        if any(begin <= at < end for begin, end in self.downs):
            return False
        # What came before the change was told in a version before it.
        return next((moment - at for version, moment in self.stamps if version >= index), None)


class Watching(Hollow):
    """Holds no list: `other` is where what it was told differs from the start."""

    def __init__(self, number, discovery, at_first):
        self.at_first = at_first
        super().__init__(number, discovery)

    def begin(self):
        self.other = {}

    def take(self, event):
        if not isinstance(event, EndpointsUpdated):
            return
        document = event.document
        if document["snapshot"]:
            self.other = {}
            if len(document["endpoints"]) < len(self.at_first):
                told = {entry["name"] for entry in document["endpoints"]}
                self.other = {name: ["DELETED", 0] for name in self.at_first if name not in told}
        elif self.index is None:
            return self.discovery.resync()
        for entry in document["endpoints"]:
            if entry["status"] != "SERVING" or entry["since_ms"]:
                self.other[entry["name"]] = [entry["status"], entry["since_ms"]]
            else:
                self.other.pop(entry["name"], None)
        self.index = document["index"]

    def wrong(self, changed):
        return sum(
            self.other.get(name, ["SERVING", 0])[0] != changed.get(name, ["SERVING", 0])[0]
            for name in {*self.other, *changed}
        )


class Full(Hollow):
    """The real reducer, told of the list and of settings alone."""

    def __init__(self, number, discovery, clock, at_first):
        self.clock, self.at_first = clock, at_first
        self.list_s, self.settings_s, self.settings_at = [], [], []
        super().__init__(number, discovery)

    def begin(self):
        self.place, self.version = config_from_environ(os.environ), 0
        place = self.place
        self.timer = Timer(self.clock, lambda late: self.tell(TimerFired()))
        self.reducer = ProxyStateMachine(
            place.seed,
            place.settings,
            self.clock.now(),
            place.sockets,
            place.discovery,
            place.document,
        )
        self.reducer.endpoints.restore(place.known)
        place.known = {}  # as a node does: the reducer has what it needs of it

    def take(self, event):
        began = thread_time()
        effects = self.reducer.apply(self.clock.now(), event)
        took = thread_time() - began
        self.index = self.reducer.endpoints.version
        if isinstance(event, EndpointsUpdated):
            self.list_s.append(took)
        for effect in effects:
            if isinstance(effect, ResyncEndpoints):
                self.discovery.resync()
            elif isinstance(effect, PollDiscovery):
                self.discovery.ask()
            elif isinstance(effect, LogEvent) and effect.event == LOADED:
                self.settings_at.append((self.version, monotonic()))
        self.timer.set(self.reducer.next_wakeup(self.clock.now()))

    def read_again(self):
        """What a host does at SIGHUP (`Host._reread`); the one place here that knows how."""
        began = thread_time()
        place = in_steps(reload_steps(self.place))
        difference = in_steps(
            shares.steps(self.reducer.balancers.settings.tenants, place.settings.tenants.shares)
        )
        self.version = place.document["version"]
        self.tell(ConfigurationLoaded(place.discovery, place.document, place.settings, difference))
        self.settings_s.append(thread_time() - began)

    def wrong(self, changed):
        backends = self.reducer.endpoints.records
        count = 0
        for name in self.at_first:
            backend, status = backends.get(name), changed.get(name, ["SERVING", 0])[0]
            count += (STATES[backend.state] if backend is not None else "DELETED") != status
        return count


class Process:
    def __init__(self, spec, at_first):
        self.all, numbers = [], range(spec["first"], spec["first"] + spec["count"])
        if spec["full"]:
            os.environ["BALANCER_CONFIG"] = spec["config"]
            clock = Clock()
            for number in numbers:
                self.all.append(Full(number, spec["discovery"], clock, at_first))
        else:
            self.all = [Watching(number, spec["discovery"], at_first) for number in numbers]
        for node in self.all:
            node.start()

    # Commands.

    def settings(self):
        for node in self.all:
            # Not within this command: it may take seconds, and whoever told it tells others too.
            gevent.spawn(node.read_again)

    def down(self, numbers):
        for node in self._of(numbers):
            node.down()

    def up(self, numbers):
        for node in self._of(numbers):
            node.up()

    def _of(self, numbers):
        wanted = set(numbers)
        return [node for node in self.all if node.number in wanted]

    def versions(self):
        return {"versions": [node.index or 0 for node in self.all]}

    def delays(self, told, settings):
        """ms until each of these (version, moment) was in force, node by node; -1 where it was not. Then they
        are forgotten."""
        of_list, of_settings = [], []
        for index, at in told:
            delays = [node.delay(index, at) for node in self.all]
            of_list.append(
                [
                    -1 if each is None else round(each * 1000, 1)
                    for each in delays
                    if each is not False
                ]
            )
        full = [node for node in self.all if isinstance(node, Full)]
        for version, at in settings:
            moments = [
                next((m for v, m in node.settings_at if v >= version), None) for node in full
            ]
            of_settings.append([-1 if m is None else round((m - at) * 1000, 1) for m in moments])
        work = {
            "list_ms": [each * 1000 for node in full for each in node.list_s],
            "settings_ms": [each * 1000 for node in full for each in node.settings_s],
        }
        for node in full:
            node.list_s, node.settings_s, node.settings_at = [], [], []
        for node in self.all:
            node.stamps, node.downs = [], []
        return {"list": of_list, "settings": of_settings, **work}

    def check(self, index, changed):
        """How many hold that version and that list, and what they were told twice or lost."""
        return {
            "nodes": len(self.all),
            "current": sum(node.index == index for node in self.all),
            "right": sum(not node.wrong(changed) for node in self.all),
            "twice": sum(node.twice for node in self.all),
            "lost": sum(node.lost for node in self.all),
            "faults": sum(node.faults for node in self.all),
        }


def main():
    with open(sys.argv[1], "rb") as file:
        spec = msgspec.json.decode(file.read())
    at_first = names(msgspec.convert(spec["plan"], Plan))
    commands = FileObjectPosix(0, "rb", closefd=False)
    child.say({"imported": True})
    commands.readline()  # told to go on, once it was seen how much a process takes with no node in it
    try:
        process = Process(spec, at_first)
    except UnusableConfigError as fault:
        child.fail(str(fault))
    gc.freeze()
    gc.set_threshold(GARBAGE, 20, 20)
    child.say({"nodes": len(process.all)})
    known = {
        name: getattr(process, name)
        for name in ("settings", "down", "up", "versions", "delays", "check")
    }
    while line := commands.readline():
        child.say(child.answer(known, line))


if __name__ == "__main__":
    main()
