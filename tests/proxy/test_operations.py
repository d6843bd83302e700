"""What operators do with a node that serves: calls, standby, a new version beside the old one."""

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
from pierglade.proxy import management
from pierglade.proxy import takeover as handover
from pierglade.proxy.state.events import (
    ConfigurationLoaded,
    ManagementCall,
    RequestReceived,
    SoleProcess,
    StopRequested,
)
from pierglade.proxy.state.machine import ProxyStateMachine
from tests.proxy import test_sockets as test_net
from tests.support.scene import Desk, TraceTest, balancer_settings, message


class Call:
    def __init__(self, line):
        self.method, self.path = line.encode().split()
        self.name = line
        self.io = self  # the desk prints whoever an effect concerns by its name


def call(desk, *lines):
    for line in lines:
        desk.tell(ManagementCall(Call(line)))


READY = b"GET /health/ready HTTP/1.1\r\n%s\r\n" % test_net.HOST


def ready(desk, name):
    desk.open(name)
    desk.tell(RequestReceived(desk.clients[name], message(READY)))


class Standby(TraceTest):
    def desk(self, **more):
        desk = Desk(["b0"], **more)
        desk.lines = []
        return desk

    def test_emptied_and_back_to_work(self):
        """Whoever rests is let go at once, whoever is owed with the answer; what comes is served."""
        desk = self.desk()
        desk.open("c0")
        desk.ask("c1")
        desk.up()
        call(desk, "PUT /standby", "PUT /standby", "GET /status")
        desk.reply()
        desk.taken("c1")
        ready(desk, "c2")
        desk.after(10)
        desk.ask("c3")
        desk.reply(link=0)
        desk.after(2500)
        desk.say("nobody is held")
        call(desk, "PUT /active", "PUT /active", "GET /status")
        ready(desk, "c4")
        desk.taken("c4")
        desk.ask("c5")
        desk.reply(link=0)
        desk.taken("c5")
        desk.say(f"c3 went with its answer: {desk.clients['c3'].state}")
        desk.say(f"c5 stays: {desk.clients['c5'].state}")
        self.check("day_standby", desk.lines)

    def test_there_and_back_within_a_second(self):
        desk = self.desk()
        desk.ask("c0")
        desk.up()
        call(desk, "PUT /standby", "PUT /active")
        desk.reply()
        desk.taken("c0")
        desk.say(f"c0 stays: {desk.clients['c0'].state}")
        self.check("day_back", desk.lines)

    def test_a_stop_while_on_standby_and_calls_after_it(self):
        desk = self.desk()
        call(desk, "PUT /standby")
        desk.tell(StopRequested())
        call(desk, "PUT /active", "GET /status", "PUT /standby")
        desk.after(800)
        self.check("day_standby_stop", desk.lines)

    def test_new_settings_and_a_client_that_writes_as_it_is_let_go(self):
        desk = self.desk()
        desk.open("c0")
        call(desk, "PUT /standby")
        desk.ask("c0")
        desk.up()
        desk.tell(ConfigurationLoaded("", {"settings": 1}, balancer_settings(max_attempts=1)))
        desk.reply()
        call(desk, "GET /status")
        self.check("day_standby_crossed", desk.lines)

    def test_before_the_first_list(self):
        desk = Desk([])
        call(desk, "GET /status", "PUT /standby")
        desk.hear(["b0"])
        ready(desk, "c0")
        call(desk, "PUT /active", "GET /status")
        ready(desk, "c1")
        self.check("day_standby_early", desk.lines)

    def test_what_is_no_call(self):
        desk = self.desk()
        call(desk, "PUT /status", "GET /standby", "POST /active", "GET /", "GET /look")
        self.check("day_no_call", desk.lines)


class Retuned(TraceTest):
    def test_open_requests_keep_their_rules(self):
        """Rows dropped, added, of another effect, fewer trips; a second change while the first still owes."""
        desk = Desk(["b0", "b1"])
        desk.ask("c0")
        desk.up()
        rows = [
            RequestClass(0, "pay", Idempotency.SAFE, "all", 0, 4000, 10000, 1.0),
            RequestClass(1, "top", Idempotency.UNSAFE, "all", 0, 4000, 10000, 1.0),
        ]
        desk.tell(
            ConfigurationLoaded(
                "", {"settings": 1}, balancer_settings(request_classes=rows, max_attempts=1)
            ),
        )
        desk.ask("c1", "/look")
        desk.ask("c2", "/pay")
        desk.ask("c3", "/pay", "GET")
        desk.up()
        desk.tell(ConfigurationLoaded("", {"settings": 2}, balancer_settings()))
        desk.say("the first had three trips, and goes on to its second")
        desk.lose(link=0)
        desk.up(-1)
        desk.say("the second had one")
        desk.lose(link=1)
        desk.reply()
        desk.ask("c4", "/look")
        desk.say(f"{len(desk.reducer.balancers.earlier)} earlier")
        self.check("day_retuned", desk.lines)

    def test_files_that_alternate(self):
        desk = Desk(["b0"])
        for n in range(6):
            desk.tell(
                ConfigurationLoaded(
                    "", {"settings": n % 2}, balancer_settings(max_attempts=1 + n % 2)
                )
            )
            desk.after(1)
        desk.ask("c0")
        desk.up()
        desk.lose()
        desk.say(f"{len(desk.reducer.balancers.earlier)} earlier")
        self.check("day_alternate", desk.lines)


class Followed(TraceTest):
    def test_two_processes_hold_no_more_than_one_may(self):
        """The new one opens its door with the first list, with half of the descriptors until it is alone."""
        desk = Desk([], sockets=100)
        new = Desk([], sockets=100)
        new.reducer = ProxyStateMachine(
            4, new.reducer.balancers.settings, new.now, 100, sole_process=False
        )
        lines = []
        for name, one in (("old", desk), ("new", new)):
            one.hear(["b0"])
            one.say(f"{name}: budget {one.reducer.descriptors.limit}")
        new.tell(SoleProcess())
        new.say(f"new: budget {new.reducer.descriptors.limit}")
        desk.tell(StopRequested(True))
        desk.say(f"old: budget {desk.reducer.descriptors.limit}")
        self.check("day_followed", lines + new.lines + desk.lines)


class Calls(test_net.Sockets):
    """Sockets' own tests run beside a management address too."""

    test_serves_and_stops = test_a_new_configuration_moves_discovery = None
    test_new_settings_are_loaded_and_taken_back_while_clients_ask = None
    test_a_one_shot_that_is_out_keeps_its_rules_and_both_limits_are_in_use = None

    def setUp(self):
        self.manage, self.held, self.let_go = free_port(), threading.Event(), threading.Event()
        os.environ["BALANCER_MANAGEMENT"] = self.manage
        try:
            super().setUp()
        finally:
            del os.environ["BALANCER_MANAGEMENT"]

    def connect(self, address=None):
        host, _, port = (address or self.manage).rpartition(":")
        return socket.create_connection((host, int(port)), 20)

    def call(self, line, address=None, sock=None):
        with sock or self.connect(address) as sock:
            sock.sendall(f"{line} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
            data = b""
            while piece := sock.recv(4096):
                data += piece
        return f"{line}: {data.split()[1].decode()} {data.splitlines()[-1].decode()}"

    def test_calls_beside_half_ones(self):
        """Who says half a call holds up nobody, however many there are; the oldest give way."""
        half = [self.connect() for _ in range(management.MAX_CONNECTIONS * 3)]
        for sock in half:
            sock.sendall(b"GET /sta")
        lines = [
            self.call(line)
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
        for sock in half:
            sock.close()
        lines += self.ask(READY)
        self.check("day_calls", lines)

    def test_a_standby_lets_a_resting_client_go(self):
        with socket.create_connection(self.place, 20) as rests:
            rests.sendall(READY)
            rests.recv(4096)
            lines = [self.call("PUT /standby"), f"it ends: {rests.recv(4096)}"]
        lines += self.ask(READY) + [self.call("PUT /active")] + self.ask(READY)
        self.check("day_drained", lines)

    def start_second(self, **more):
        environ = {
            **os.environ,
            "BALANCER_CONFIG": self.path,
            "BALANCER_LISTEN": "%s:%d" % self.place,
            **more,
        }
        return subprocess.Popen(
            [sys.executable, "-m", "pierglade"], stdout=subprocess.PIPE, env=environ
        )

    def test_an_address_that_is_taken(self):
        second = self.start_second(BALANCER_MANAGEMENT=self.manage)
        second.stdout.close()
        self.assertEqual(second.wait(20), 2)

    def test_a_request_that_is_open_all_through(self):
        """The old process owes it to its end; one that is stopped before its yes takes nothing with it."""
        self.configure(json.dumps({**self.told, "known": {}}))
        address = free_port()
        never = self.start_second(BALANCER_MANAGEMENT=address, BALANCER_DISCOVERY=free_port())
        never.stdout.readline()
        lines = [self.call("GET /status", address)]
        never.send_signal(signal.SIGTERM)
        lines.append(f"stopped before its yes: {never.wait(20)}")
        never.stdout.close()
        new = self.start_second(BALANCER_MANAGEMENT=address)
        new.stdout.readline()
        while " 200 " not in self.call("GET /status", address):
            pass
        held = threading.Thread(
            target=lambda: lines.extend(
                self.ask(b"GET /look/held HTTP/1.1\r\n%sX-Trace-Id: h\r\n\r\n" % test_net.HOST)
            )
        )
        held.start()
        self.held.wait(20)
        self.node.send_signal(signal.SIGTERM)
        while json.loads(self.node.stdout.readline())["event"] != "stopping":
            pass
        self.let_go.set()
        held.join(20)
        lines.append(f"old exits {self.node.wait(20)}")
        self.node.stdout.close()
        self.node = new
        self.check("day_open", lines)

    def serve(self, asked):
        if b"held" in asked.url:
            self.held.set()
            self.let_go.wait(20)
        return super().serve(asked)

    def test_a_new_version_takes_over_while_clients_connect(self):
        """Every connection of the whole time gets its answer; one that dies before its yes harms nobody."""
        answers, faults, asking = [], [], True

        def client(number):
            count = 0
            while asking or not count:
                count += 1
                name = b"%d-%d" % (number, count)
                try:
                    answers.extend(
                        self.ask(
                            b"POST /pay/%s HTTP/1.1\r\n%sX-Trace-Id: %s\r\n\r\n"
                            % (name, test_net.HOST, name)
                        )
                    )
                except OSError as fault:
                    faults.append(repr(fault))

        askers = [
            threading.Thread(target=client, args=(number,), daemon=True) for number in range(4)
        ]
        for asker in askers:
            asker.start()
        lines, old = [], self.node
        killed = self.start_second(BALANCER_MANAGEMENT=free_port())
        killed.kill()
        killed.wait()
        killed.stdout.close()
        lines.append("one was killed")
        for upgrade in (1, 2):
            address = free_port()
            new = self.start_second(BALANCER_MANAGEMENT=address)
            # Read all along: of a pipe that is full the node drops lines, and the one waited for with them.
            seen_events, started = set(), threading.Event()
            threading.Thread(
                target=read_events, args=(new.stdout, seen_events, started), daemon=True
            ).start()
            started.wait(20)
            while " 200 " not in (told := self.call("GET /status", address)):
                pass
            seen = len(answers)
            while len(answers) < seen + 20:
                time.sleep(0.001)
            old.send_signal(signal.SIGTERM)
            told += f", old exits {old.wait(20)}"
            old.stdout.close()
            while "sole_process" not in seen_events:
                time.sleep(0.001)
            lines.append(f"{upgrade}: {told}")
            old = self.node = new
        asking = False
        for asker in askers:
            asker.join(20)
        # A machine that stands still for long makes the node refuse some: an answer as well.
        settled = sum(" 200 " in line for line in answers)
        good = all(any(f" {status} " in line for status in (200, 503, 504)) for line in answers)
        once = len(self.backend.seen) == len(set(self.backend.seen)) >= settled
        lines.append(f"all answered {good}, each sent once {once}, faults {faults}")
        self.check("day_upgrade", lines)


def read_events(pipe, events, first):
    for line in pipe:
        events.add(json.loads(line)["event"])
        first.set()


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return "127.0.0.1:%d" % sock.getsockname()[1]


class Locks(unittest.TestCase):
    def test_who_serves_and_who_follows(self):
        with tempfile.TemporaryDirectory() as folder:
            old, new = (handover.ProcessLock("127.0.0.1:1", folder) for _ in range(2))
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
                os.close(file)  # it has ended, however
            self.assertEqual([new.is_sole_process(), new.successor_is_running()], [True, False])
            other = handover.ProcessLock("127.0.0.1:1", os.path.join(folder, "none"))
            self.assertEqual([other.is_sole_process(), other.successor_is_running()], [True, False])


class Broken(TraceTest):
    """A file that cannot be used is refused whole at SIGHUP, and the line names the place."""

    ROW = {
        "name": "look",
        "idempotency": "free",
        "expectedTimeUs": 400000,
        "hardLimitUs": 1000000,
        "credit": 1,
    }
    GOOD = {
        "name": "n",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "8c",
        "limits": {"sockets": 99},
        "known": {},
        "settings": {
            "offerings": [ROW, {**ROW, "name": "pay", "idempotency": "single_shot"}],
            "limits": {"mostTrips": 2, "mayCancel": True},
            "customers": [],
            "contract": {"drainGraceUs": 500000},
            "siblings": 2,
            "me": 0,
        },
    }

    def test_every_broken_file(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "config.json")

            def told(text):
                with open(path, "w") as file:
                    file.write(text if isinstance(text, str) else json.dumps(text))
                try:
                    start.reloaded_config(first)
                except start.UnusableConfigError as fault:
                    return str(fault).replace(path, "config")
                return "taken"

            whole = json.dumps(self.GOOD)
            with open(path, "w") as file:
                file.write(whole)
            with mock.patch.dict(
                os.environ,
                {"BALANCER_CONFIG": path, "BALANCER_LISTEN": "127.0.0.1:0", "BALANCER_NAME": "n"},
            ):
                first = start.config_from_environ(os.environ)
                cut = {told(whole[:at]) == "taken" for at in range(len(whole))}
                lines = [f"cut at each of its places, taken {cut}"]
                for place in (
                    "",
                    "settings",
                    "settings.limits",
                    "settings.contract",
                    "settings.offerings.1",
                ):
                    for key in list(at(self.GOOD, place)):
                        less = json.loads(whole)
                        del at(less, place)[key]
                        lines.append(f"without {place}.{key}: {told(less)}")
                for place, key in (
                    ("settings.offerings.0", "hardLimitUs"),
                    ("settings.limits", "mostTrips"),
                    ("settings.offerings.1", "expectedTimeUs"),
                ):
                    for value in (0, -1, True, "5", 1e300, None):
                        other = json.loads(whole)
                        at(other, place)[key] = value
                        lines.append(f"{key} {value}: {told(other)}")
                more = json.loads(whole)
                more["settings"]["offerings"][1:] = 2 * [
                    {**self.ROW, "name": "hold", "idempotency": "guarded"}
                ]
                lines.append(f"a name twice: {told(more)}")
                more["settings"]["offerings"].pop()
                lines.append(f"one dropped, another added: {told(more)}")
        self.check("day_broken", lines)


def at(told, place):
    for key in filter(None, place.split(".")):
        told = told[int(key) if key.isdigit() else key]
    return told
