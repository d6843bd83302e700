"""`python -m pierglade.scale.hollow SPEC`: hollow nodes, one or many in a process.

A hollow node has a real watch on a socket of its own (`pierglade.proxy.discovery`) and parses each
message itself. A full one stores the list and the settings in a real state machine and balancer, like a
node that receives no requests. A watch-only one records only the version and the entries that differ
from the initial list.
SPEC is a JSON file: `plan`, `discovery`, `port_of_backends`, `first`, `count`, `full`, `config`.
"""

import gc
import os
import sys
from time import monotonic, thread_time

import gevent
import msgspec
from gevent.fileobject import FileObjectPosix

from pierglade.__main__ import GC_THRESHOLD, UnusableConfigError, config_from_environ, reload_steps
from pierglade.model.endpoint import EndpointState
from pierglade.proxy.discovery import DiscoveryClient
from pierglade.proxy.event_loop import Clock, Timer, run_in_steps
from pierglade.proxy.state.effects import LogEvent, PollDiscovery, ResyncEndpoints
from pierglade.proxy.state.events import (
    ConfigurationLoaded,
    DiscoveryLost,
    EndpointsUpdated,
    TimerFired,
)
from pierglade.proxy.state.machine import ProxyStateMachine
from pierglade.reconfiguration import quota_changes
from pierglade.scale import child
from pierglade.scale.plan import Plan, backend_names

INITIAL_VERSION = 1  # of the list that all nodes start with
STATES = {
    EndpointState.READY: "SERVING",
    EndpointState.DRAINING: "DRAINING",
    EndpointState.REMOVED: "DELETED",
}
SETTINGS_APPLIED = "settings_applied"  # log event of a node whose new settings are in force


class HollowNode:
    """The base of both kinds: a watch, and the times at which each version was in force."""

    def __init__(self, number, discovery):
        self.number, self.address = number, discovery
        self.version_times = []  # (version of the list, monotonic time at which it was in force)
        self.down_intervals = []  # [start, end] of each restart, monotonic
        self.duplicate_changes = self.watch_losses = self.errors = 0
        self.index = INITIAL_VERSION
        self.reset()
        self.create_watch(INITIAL_VERSION)

    def create_watch(self, index):
        """Creates a discovery client that continues from a version; `start` runs it."""
        self.discovery = DiscoveryClient(self.address, self, index)
        self.discovery.is_polled = lambda: False

    def start(self):
        """Runs the discovery client in a greenlet of its own."""
        gevent.spawn(self._run, self.discovery)

    def _run(self, discovery):
        while True:
            try:
                return discovery.run()
            except Exception as error:
                self.errors += 1
                print(
                    f"hollow node {self.number}: watch failed, retrying: {error!r}", file=sys.stderr
                )
                gevent.sleep(0.1)

    def stop(self):
        """Closes the watch, as a node does when it stops."""
        self.discovery.stop()
        self.down_intervals.append([monotonic(), float("inf")])

    def restart(self):
        """Restarts the node with the initial list, like a new process of the node."""
        self.down_intervals[-1][1] = monotonic()
        self.index = INITIAL_VERSION
        self.reset()
        self.create_watch(INITIAL_VERSION)
        self.start()

    def handle_event(self, event):
        """Handles an event of the discovery client."""
        if isinstance(event, DiscoveryLost):
            self.watch_losses += 1
        elif isinstance(event, EndpointsUpdated):
            document = event.document
            index, entries = document["index"], document["endpoints"]
            if (
                entries
                and not document["snapshot"]
                and self.index is not None
                and index <= self.index
            ):
                self.duplicate_changes += 1
        self.apply(event)
        if isinstance(event, EndpointsUpdated) and self.index is not None:
            self.version_times.append((self.index, monotonic()))

    def version_delay(self, index, changed_at):
        """Returns the seconds from a change until its version was in force.

        Returns None if it never was, and False if the node was down at the time of the change.
        """
        if any(begin <= changed_at < end for begin, end in self.down_intervals):
            return False
        # Each version received before the change is lower than that of the change.
        return next(
            (time - changed_at for version, time in self.version_times if version >= index), None
        )


class WatchOnlyNode(HollowNode):
    """Stores no list, only the entries that differ from the initial list (`differences`)."""

    def __init__(self, number, discovery, initial_names):
        self.initial_names = initial_names
        super().__init__(number, discovery)

    def reset(self):
        """Returns to the initial list."""
        self.differences = {}

    def apply(self, event):
        """Records the version and the differences in a message of the watch."""
        if not isinstance(event, EndpointsUpdated):
            return
        document = event.document
        if document["snapshot"]:
            self.differences = {}
            if len(document["endpoints"]) < len(self.initial_names):
                names = {entry["name"] for entry in document["endpoints"]}
                self.differences = {
                    name: ["DELETED", 0] for name in self.initial_names if name not in names
                }
        elif self.index is None:
            return self.discovery.resync()
        for entry in document["endpoints"]:
            if entry["status"] != "SERVING" or entry["since_ms"]:
                self.differences[entry["name"]] = [entry["status"], entry["since_ms"]]
            else:
                self.differences.pop(entry["name"], None)
        self.index = document["index"]

    def count_wrong(self, changed):
        """Returns how many backends have another status than in discovery's `changed` entries."""
        return sum(
            self.differences.get(name, ["SERVING", 0])[0] != changed.get(name, ["SERVING", 0])[0]
            for name in {*self.differences, *changed}
        )


class FullNode(HollowNode):
    """Runs the real state machine, which receives only list and settings changes."""

    def __init__(self, number, discovery, clock, initial_names):
        self.clock, self.initial_names = clock, initial_names
        # CPU time of each list and settings change, and (version, monotonic time) of each applied one.
        self.list_s, self.settings_s, self.settings_times = [], [], []
        super().__init__(number, discovery)

    def reset(self):
        """Replaces the state machine by a new one from the configuration file."""
        self.config, self.version = config_from_environ(os.environ), 0
        config = self.config
        self.timer = Timer(self.clock, lambda late: self.handle_event(TimerFired()))
        self.state_machine = ProxyStateMachine(
            config.seed,
            config.settings,
            self.clock.now(),
            config.sockets,
            config.discovery,
            config.document,
        )
        self.state_machine.endpoints.restore(config.known)
        config.known = {}  # frees the memory, as a node does: the state machine has its own copy

    def apply(self, event):
        """Applies an event to the state machine and carries out the effects that concern discovery."""
        started_at = thread_time()
        effects = self.state_machine.apply(self.clock.now(), event)
        cpu_time_s = thread_time() - started_at
        self.index = self.state_machine.endpoints.version
        if isinstance(event, EndpointsUpdated):
            self.list_s.append(cpu_time_s)
        for effect in effects:
            if isinstance(effect, ResyncEndpoints):
                self.discovery.resync()
            elif isinstance(effect, PollDiscovery):
                self.discovery.poll_now()
            elif isinstance(effect, LogEvent) and effect.event == SETTINGS_APPLIED:
                self.settings_times.append((self.version, monotonic()))
        self.timer.set(self.state_machine.next_wakeup(self.clock.now()))

    def reload_settings(self):
        """Reloads the configuration file, as a node does on SIGHUP (`ProxyServer._reload`)."""
        started_at = thread_time()
        config = run_in_steps(reload_steps(self.config))
        difference = run_in_steps(
            quota_changes.compare_quotas(
                self.state_machine.balancers.settings.tenants, config.settings.tenants.quotas
            )
        )
        self.version = config.document["version"]
        self.handle_event(
            ConfigurationLoaded(config.discovery, config.document, config.settings, difference)
        )
        self.settings_s.append(thread_time() - started_at)

    def count_wrong(self, changed):
        """Returns how many backends have another status than in discovery's `changed` entries."""
        backends = self.state_machine.endpoints.records
        count = 0
        for name in self.initial_names:
            backend, status = backends.get(name), changed.get(name, ["SERVING", 0])[0]
            count += (STATES[backend.state] if backend is not None else "DELETED") != status
        return count


class HollowProcess:
    """The hollow nodes of one process, and the commands that it carries out."""

    def __init__(self, spec, initial_names):
        self.nodes, numbers = [], range(spec["first"], spec["first"] + spec["count"])
        if spec["full"]:
            os.environ["BALANCER_CONFIG"] = spec["config"]
            clock = Clock()
            for number in numbers:
                self.nodes.append(FullNode(number, spec["discovery"], clock, initial_names))
        else:
            self.nodes = [
                WatchOnlyNode(number, spec["discovery"], initial_names) for number in numbers
            ]
        for node in self.nodes:
            node.start()

    # Commands.

    def settings(self):
        """Schedules a settings reload at all nodes, to run after the command is answered."""
        for node in self.nodes:
            # A reload may take seconds, while the sender of the command has other processes to notify.
            gevent.spawn(node.reload_settings)

    def down(self, numbers):
        """Stops nodes."""
        for node in self._nodes_with(numbers):
            node.stop()

    def up(self, numbers):
        """Restarts nodes."""
        for node in self._nodes_with(numbers):
            node.restart()

    def _nodes_with(self, numbers):
        requested = set(numbers)
        return [node for node in self.nodes if node.number in requested]

    def versions(self):
        """Returns the list version of each node; 0 for a node that waits for the whole list."""
        return {"versions": [node.index or 0 for node in self.nodes]}

    def delays(self, told, settings):
        """Returns the ms until each change was in force, by node, and the CPU ms that the changes took.

        `told` and `settings` are the (version, monotonic time) pairs of the list and settings changes.
        A delay of -1 means never; nodes that were down at the time are left out. Clears all records.
        """
        list_delays, settings_delays = [], []
        for index, changed_at in told:
            delays = [node.version_delay(index, changed_at) for node in self.nodes]
            list_delays.append(
                [
                    -1 if delay is None else round(delay * 1000, 1)
                    for delay in delays
                    if delay is not False
                ]
            )
        full_nodes = [node for node in self.nodes if isinstance(node, FullNode)]
        for version, changed_at in settings:
            applied_times = [
                next((time for applied, time in node.settings_times if applied >= version), None)
                for node in full_nodes
            ]
            settings_delays.append(
                [
                    -1 if time is None else round((time - changed_at) * 1000, 1)
                    for time in applied_times
                ]
            )
        cpu_times = {
            "list_ms": [cpu_s * 1000 for node in full_nodes for cpu_s in node.list_s],
            "settings_ms": [cpu_s * 1000 for node in full_nodes for cpu_s in node.settings_s],
        }
        for node in full_nodes:
            node.list_s, node.settings_s, node.settings_times = [], [], []
        for node in self.nodes:
            node.version_times, node.down_intervals = [], []
        return {"list": list_delays, "settings": settings_delays, **cpu_times}

    def check(self, index, changed):
        """Counts the nodes with the version `index` and with the right list, and the anomalies."""
        return {
            "nodes": len(self.nodes),
            "current": sum(node.index == index for node in self.nodes),
            "right": sum(not node.count_wrong(changed) for node in self.nodes),
            "twice": sum(node.duplicate_changes for node in self.nodes),
            "lost": sum(node.watch_losses for node in self.nodes),
            "faults": sum(node.errors for node in self.nodes),
        }


def main():
    """Runs the hollow nodes of a SPEC file."""
    with open(sys.argv[1], "rb") as file:
        spec = msgspec.json.decode(file.read())
    initial_names = backend_names(msgspec.convert(spec["plan"], Plan))
    command_input = FileObjectPosix(0, "rb", closefd=False)
    child.write_message({"imported": True})
    # The parent measures the memory of the process without nodes, then sends a first line.
    command_input.readline()
    try:
        process = HollowProcess(spec, initial_names)
    except UnusableConfigError as error:
        child.exit_with_error(str(error))
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 20)
    child.write_message({"nodes": len(process.nodes)})
    commands = {
        name: getattr(process, name)
        for name in ("settings", "down", "up", "versions", "delays", "check")
    }
    while line := command_input.readline():
        child.write_message(child.run_command(commands, line))


if __name__ == "__main__":
    main()
