"""Tests of operation: management calls, standby, configuration changes, and takeovers."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from unittest import mock

from pierglade import __main__ as start
from pierglade.model.request import Idempotency, RequestClass
from pierglade.processes import children
from pierglade.proxy import management, takeover
from pierglade.proxy.state.events import (
    ConfigurationLoaded,
    IdsShared,
    ManagementCall,
    RequestReceived,
    SoleProcess,
    StopRequested,
)
from pierglade.proxy.state.machine import ProxyStateMachine
from tests.proxy import test_sockets
from tests.support.scene import StateMachineHarness, TraceTest, balancer_settings, message


class ManagementCallStub:
    def __init__(self, line):
        self.method, self.path = line.encode().split()
        self.name = line
        self.io = self  # the desk prints the name of the object that an effect concerns


def send_calls(harness, *lines):
    for line in lines:
        harness.handle_event(ManagementCall(ManagementCallStub(line)))


READINESS_REQUEST = b"GET /health/ready HTTP/1.1\r\n%s\r\n" % test_sockets.HOST


def send_readiness_check(harness, name):
    harness.open(name)
    harness.handle_event(RequestReceived(harness.clients[name], message(READINESS_REQUEST)))


class Standby(TraceTest):
    def harness(self, **overrides):
        harness = StateMachineHarness(["b0"], **overrides)
        harness.lines = []
        return harness

    def test_standby_closes_connections_and_active_keeps_them(self):
        """Guards against standby that drops requests or leaves connections open.

        Standby closes idle connections at once, and others with their response. Requests that
        arrive nevertheless are served.
        """
        harness = self.harness()
        harness.open("c0")
        harness.send_request("c1")
        harness.connect_upstream()
        send_calls(harness, "PUT /standby", "PUT /standby", "GET /status")
        harness.reply()
        harness.response_sent("c1")
        send_readiness_check(harness, "c2")
        harness.after(10)
        harness.send_request("c3")
        harness.reply(link=0)
        harness.after(2500)
        harness.record("the idle connections are closed")
        send_calls(harness, "PUT /active", "PUT /active", "GET /status")
        send_readiness_check(harness, "c4")
        harness.response_sent("c4")
        harness.send_request("c5")
        harness.reply(link=0)
        harness.response_sent("c5")
        harness.record(f"c3 closes with its response: {harness.clients['c3'].state}")
        harness.record(f"c5 stays: {harness.clients['c5'].state}")
        self.check("day_standby", harness.lines)

    def test_standby_and_active_within_a_second(self):
        harness = self.harness()
        harness.send_request("c0")
        harness.connect_upstream()
        send_calls(harness, "PUT /standby", "PUT /active")
        harness.reply()
        harness.response_sent("c0")
        harness.record(f"c0 stays: {harness.clients['c0'].state}")
        self.check("day_back", harness.lines)

    def test_stop_during_standby_and_calls_after_it(self):
        harness = self.harness()
        send_calls(harness, "PUT /standby")
        harness.handle_event(StopRequested())
        send_calls(harness, "PUT /active", "GET /status", "PUT /standby")
        harness.after(800)
        self.check("day_standby_stop", harness.lines)

    def test_new_settings_and_request_during_standby(self):
        """A client sends a request just as standby closes its idle connection: it is served."""
        harness = self.harness()
        harness.open("c0")
        send_calls(harness, "PUT /standby")
        harness.send_request("c0")
        harness.connect_upstream()
        harness.handle_event(
            ConfigurationLoaded("", {"settings": 1}, balancer_settings(max_attempts=1))
        )
        harness.reply()
        send_calls(harness, "GET /status")
        self.check("day_standby_crossed", harness.lines)

    def test_calls_before_the_first_endpoint_list(self):
        harness = StateMachineHarness([])
        send_calls(harness, "GET /status", "PUT /standby")
        harness.update_endpoints(["b0"])
        send_readiness_check(harness, "c0")
        send_calls(harness, "PUT /active", "GET /status")
        send_readiness_check(harness, "c1")
        self.check("day_standby_early", harness.lines)

    def test_unknown_calls(self):
        harness = self.harness()
        send_calls(harness, "PUT /status", "GET /standby", "POST /active", "GET /", "GET /look")
        self.check("day_no_call", harness.lines)


class SettingsChange(TraceTest):
    def test_pending_requests_keep_their_settings(self):
        """Guards against applying new settings to pending requests.

        Request classes are removed, added and changed, and fewer attempts are allowed. A second
        change follows while requests under the first settings are pending.
        """
        harness = StateMachineHarness(["b0", "b1"])
        harness.send_request("c0")
        harness.connect_upstream()
        request_classes = [
            RequestClass(0, "pay", Idempotency.SAFE, "all", 0, 4000, 10000, 1.0),
            RequestClass(1, "top", Idempotency.UNSAFE, "all", 0, 4000, 10000, 1.0),
        ]
        harness.handle_event(
            ConfigurationLoaded(
                "",
                {"settings": 1},
                balancer_settings(request_classes=request_classes, max_attempts=1),
            ),
        )
        harness.send_request("c1", "/look")
        harness.send_request("c2", "/pay")
        harness.send_request("c3", "/pay", "GET")
        harness.connect_upstream()
        harness.handle_event(ConfigurationLoaded("", {"settings": 2}, balancer_settings()))
        harness.record("the first request may have three attempts, and its second one begins")
        harness.lose(link=0)
        harness.connect_upstream(-1)
        harness.record("the last request may have one attempt")
        harness.lose(link=1)
        harness.reply()
        harness.send_request("c4", "/look")
        harness.record(f"{len(harness.state_machine.balancers.earlier)} earlier")
        self.check("day_retuned", harness.lines)

    def test_alternating_settings(self):
        harness = StateMachineHarness(["b0"])
        for n in range(6):
            harness.handle_event(
                ConfigurationLoaded(
                    "", {"settings": n % 2}, balancer_settings(max_attempts=1 + n % 2)
                )
            )
            harness.after(1)
        harness.send_request("c0")
        harness.connect_upstream()
        harness.lose()
        harness.record(f"{len(harness.state_machine.balancers.earlier)} earlier")
        self.check("day_alternate", harness.lines)


class TakeoverDescriptors(TraceTest):
    def test_two_processes_share_the_descriptor_limit(self):
        """Guards against two processes of a node that together exceed the descriptor limit.

        The new process starts listening with its first endpoint list, and may use half of the
        descriptors until it is the sole process.
        """
        harness = StateMachineHarness([], sockets=100)
        new = StateMachineHarness([], sockets=100)
        new.state_machine = ProxyStateMachine(
            4, new.state_machine.balancers.settings, new.now, 100, sole_process=False
        )
        lines = []
        new.handle_event(IdsShared())
        for name, one in (("old", harness), ("new", new)):
            one.update_endpoints(["b0"])
            one.record(f"{name}: budget {one.state_machine.descriptors.limit}")
        new.handle_event(SoleProcess())
        new.record(f"new: budget {new.state_machine.descriptors.limit}")
        harness.handle_event(StopRequested(True))
        harness.record(f"old: budget {harness.state_machine.descriptors.limit}")
        self.check("day_followed", lines + new.lines + harness.lines)


class ManagementCalls(test_sockets.Sockets):
    """Tests with a management address; the tests of `Sockets` itself are left to that class."""

    test_serves_and_stops = test_reload_moves_discovery = None
    test_settings_reload_while_clients_send_requests = None
    test_unsafe_request_in_flight_keeps_its_settings = None

    def setUp(self):
        self.management_address, self.request_held, self.release = (
            free_port(),
            threading.Event(),
            threading.Event(),
        )
        os.environ["BALANCER_MANAGEMENT"] = self.management_address
        try:
            super().setUp()
        finally:
            del os.environ["BALANCER_MANAGEMENT"]

    def connect(self, address=None):
        host, _, port = (address or self.management_address).rpartition(":")
        return socket.create_connection((host, int(port)), 20)

    def send_call(self, line, address=None, sock=None):
        with sock or self.connect(address) as sock:
            sock.sendall(f"{line} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
            data = b""
            while piece := sock.recv(4096):
                data += piece
        return f"{line}: {data.split()[1].decode()} {data.splitlines()[-1].decode()}"

    def test_incomplete_calls_do_not_block_others(self):
        """Guards against incomplete calls that use up all management connections.

        The oldest incomplete connections are closed for new ones.
        """
        incomplete = [self.connect() for _ in range(management.MAX_CONNECTIONS * 3)]
        for sock in incomplete:
            sock.sendall(b"GET /sta")
        lines = [
            self.send_call(line)
            for line in (
                "GET /status",
                "PUT /standby",
                "GET /status",
                "PUT /active",
                "DELETE /status",
                "GET /nothing",
                "nonsense",
            )
        ]
        for sock in incomplete:
            sock.close()
        lines += self.ask(READINESS_REQUEST)
        self.check("day_calls", lines)

    def test_standby_closes_an_idle_connection(self):
        with socket.create_connection(self.place, 20) as idle_client:
            idle_client.sendall(READINESS_REQUEST)
            idle_client.recv(4096)
            lines = [self.send_call("PUT /standby"), f"connection ends: {idle_client.recv(4096)}"]
        lines += (
            self.ask(READINESS_REQUEST)
            + [self.send_call("PUT /active")]
            + self.ask(READINESS_REQUEST)
        )
        self.check("day_drained", lines)

    def start_second_process(self, **overrides):
        environ = {
            **os.environ,
            "BALANCER_CONFIG": self.path,
            "BALANCER_LISTEN": "%s:%d" % self.place,
            **overrides,
        }
        return subprocess.Popen(
            [sys.executable, "-m", "pierglade"], stdout=subprocess.PIPE, env=environ
        )

    def test_management_address_in_use(self):
        second_process = self.start_second_process(BALANCER_MANAGEMENT=self.management_address)
        second_process.stdout.close()
        self.assertEqual(second_process.wait(20), 2)

    def test_request_pending_during_a_takeover(self):
        """Guards against a takeover that drops a pending request.

        The old process answers the request before it ends. A new process that is stopped before it
        is ready changes nothing.
        """
        self.configure(json.dumps({**self.config, "known": {}}))
        address = free_port()
        unready = self.start_second_process(
            BALANCER_MANAGEMENT=address, BALANCER_DISCOVERY=free_port()
        )
        unready.stdout.readline()
        lines = [self.send_call("GET /status", address)]
        unready.send_signal(signal.SIGTERM)
        lines.append(f"stopped before it was ready: {unready.wait(20)}")
        unready.stdout.close()
        new = self.start_second_process(BALANCER_MANAGEMENT=address)
        new.stdout.readline()
        while " 200 " not in self.send_call("GET /status", address):
            pass
        held_request = threading.Thread(
            target=lambda: lines.extend(
                self.ask(b"GET /look/held HTTP/1.1\r\n%sX-Trace-Id: h\r\n\r\n" % test_sockets.HOST)
            )
        )
        held_request.start()
        self.request_held.wait(20)
        self.node.send_signal(signal.SIGTERM)
        while json.loads(self.node.stdout.readline())["event"] != "stopping":
            pass
        self.release.set()
        held_request.join(20)
        lines.append(f"old exits {self.node.wait(20)}")
        self.node.stdout.close()
        self.node = new
        self.check("day_open", lines)

    def serve(self, message):
        if b"held" in message.url:
            self.request_held.set()
            self.release.wait(20)
        return super().serve(message)

    def test_takeover_while_clients_connect(self):
        """Guards against connections that a takeover resets or leaves unanswered.

        Clients connect throughout. A new process that is killed before it is ready changes nothing.
        """
        answers, errors, is_running = [], [], True

        def client(number):
            count = 0
            while is_running or not count:
                count += 1
                name = b"%d-%d" % (number, count)
                try:
                    answers.extend(
                        self.ask(
                            b"POST /pay/%s HTTP/1.1\r\n%sX-Trace-Id: %s\r\n\r\n"
                            % (name, test_sockets.HOST, name)
                        )
                    )
                except OSError as error:
                    errors.append(repr(error))

        client_threads = [
            threading.Thread(target=client, args=(number,), daemon=True) for number in range(4)
        ]
        for client_thread in client_threads:
            client_thread.start()
        lines, old = [], self.node
        killed_process = self.start_second_process(BALANCER_MANAGEMENT=free_port())
        killed_process.kill()
        killed_process.wait()
        killed_process.stdout.close()
        lines.append("a new process was killed")
        for upgrade in (1, 2):
            address = free_port()
            new = self.start_second_process(BALANCER_MANAGEMENT=address)
            # The log is read continuously: with a full pipe the node would drop lines, among them
            # the one that is waited for.
            seen_events, started = set(), threading.Event()
            threading.Thread(
                target=read_events, args=(new.stdout, seen_events, started), daemon=True
            ).start()
            started.wait(20)
            while " 200 " not in (status := self.send_call("GET /status", address)):
                pass
            seen = len(answers)
            while len(answers) < seen + 20:
                time.sleep(0.001)
            old.send_signal(signal.SIGTERM)
            status += f", old exits {old.wait(20)}"
            old.stdout.close()
            while "sole_process" not in seen_events:
                time.sleep(0.001)
            lines.append(f"{upgrade}: {status}")
            old = self.node = new
        is_running = False
        for client_thread in client_threads:
            client_thread.join(20)
        served = all(" 200 " in line for line in answers)
        once = len(answers) == len(self.backend.seen) == len(set(self.backend.seen))
        lines.append(f"all served {served}, each sent once {once}, errors {errors}")
        self.check("day_upgrade", lines)


def read_events(pipe, events, first):
    for line in pipe:
        events.add(json.loads(line)["event"])
        first.set()


def free_port():
    return f"127.0.0.1:{children.free_port()}"


class ProcessLocks(unittest.TestCase):
    def test_locks_of_serving_process_and_successor(self):
        with tempfile.TemporaryDirectory() as folder:
            old, new = (takeover.ProcessLock("127.0.0.1:1", folder) for _ in range(2))
            self.assertEqual(
                [
                    old.is_sole_process(),
                    old.successor_is_running(),
                    new.is_sole_process(),
                    old.successor_is_running(),
                ],
                [True, False, False, True],
            )
            for file in old.files:
                os.close(file)  # as at the end of the process
            self.assertEqual([new.is_sole_process(), new.successor_is_running()], [True, False])
            other = takeover.ProcessLock("127.0.0.1:1", os.path.join(folder, "none"))
            self.assertEqual([other.is_sole_process(), other.successor_is_running()], [True, False])


class BrokenConfiguration(TraceTest):
    """Guards against applying parts of an unusable file at SIGHUP.

    The file is rejected as a whole, and the message names the setting.
    """

    REQUEST_CLASS = {
        "name": "look",
        "idempotency": "free",
        "expectedTimeUs": 400000,
        "hardLimitUs": 1000000,
        "credit": 1,
    }
    VALID = {
        "name": "n",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "8c",
        "limits": {"sockets": 99},
        "known": {},
        "settings": {
            "offerings": [
                REQUEST_CLASS,
                {**REQUEST_CLASS, "name": "pay", "idempotency": "single_shot"},
            ],
            "limits": {"mostTrips": 2, "mayCancel": True},
            "customers": [],
            "contract": {"drainGraceUs": 500000},
            "siblings": 2,
            "me": 0,
        },
    }

    def test_broken_files_are_rejected(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "config.json")

            def reload(text):
                with open(path, "w") as file:
                    file.write(text if isinstance(text, str) else json.dumps(text))
                try:
                    start.reloaded_config(first)
                except start.UnusableConfigError as error:
                    return str(error).replace(path, "config")
                return "accepted"

            text = json.dumps(self.VALID)
            with open(path, "w") as file:
                file.write(text)
            with mock.patch.dict(
                os.environ,
                {"BALANCER_CONFIG": path, "BALANCER_LISTEN": "127.0.0.1:0", "BALANCER_NAME": "n"},
            ):
                first = start.config_from_environ(os.environ)
                cut = {reload(text[:length]) == "accepted" for length in range(len(text))}
                lines = [f"truncated at each position, accepted {cut}"]
                for place in (
                    "",
                    "settings",
                    "settings.limits",
                    "settings.contract",
                    "settings.offerings.1",
                ):
                    for key in list(value_at(self.VALID, place)):
                        document = json.loads(text)
                        del value_at(document, place)[key]
                        lines.append(f"without {place}.{key}: {reload(document)}")
                for place, key in (
                    ("settings.offerings.0", "hardLimitUs"),
                    ("settings.limits", "mostTrips"),
                    ("settings.offerings.1", "expectedTimeUs"),
                ):
                    for value in (0, -1, True, "5", 1e300, None):
                        document = json.loads(text)
                        value_at(document, place)[key] = value
                        lines.append(f"{key} {value}: {reload(document)}")
                document = json.loads(text)
                document["settings"]["offerings"][1:] = 2 * [
                    {**self.REQUEST_CLASS, "name": "hold", "idempotency": "guarded"}
                ]
                lines.append(f"a name twice: {reload(document)}")
                document["settings"]["offerings"].pop()
                lines.append(f"one removed, another added: {reload(document)}")
        self.check("day_broken", lines)


def value_at(value, path):
    """Returns the value at a dotted path of keys and indices."""
    for key in filter(None, path.split(".")):
        value = value[int(key) if key.isdigit() else key]
    return value
