"""Event sequences through the whole proxy state machine: events in, effects out, no sockets."""

import re
import unittest
from unittest import mock

from pierglade.model.decision import CancelAttempt
from pierglade.model.endpoint import LoadReportSource
from pierglade.proxy.http import reader
from pierglade.proxy.http.body_stream import BodyStream
from pierglade.proxy.state.connections import CloseCause
from pierglade.proxy.state.constants import RESERVED_DESCRIPTORS
from pierglade.proxy.state.events import (
    ClientDisconnected,
    ConfigurationLoaded,
    DiscoveryLost,
    EndpointsUpdated,
    MalformedRequest,
    RequestReceived,
    RequestStarted,
    ResponsePartReceived,
    ResponseReceived,
    StopRequested,
    TimerFired,
    UpstreamConnected,
)
from pierglade.tenants.registry import TenantRegistry
from tests.support.scene import (
    MS,
    StateMachineHarness,
    TraceTest,
    balancer_settings,
    entry,
    message,
)


def desk_with_idle_connections():
    """Returns a desk with two backends and an idle connection to each that may be reused."""
    harness = StateMachineHarness(["b0", "b1"])
    for name in ("w0", "w1"):
        harness.send_request(name)
        harness.connect_upstream()
    for link in (0, 1):
        harness.reply(link=link)
        harness.response_sent(f"w{link}")
    harness.after(10)
    harness.lines.clear()
    return harness


class SendOrder(TraceTest):
    def test_retry_is_sent_after_the_abort_of_the_previous_attempt(self):
        """The abort at b0 must reach it before the retry is sent to b1.

        Two connections are not ordered: without a delay the backends see two attempts in flight.
        """
        harness = desk_with_idle_connections()
        harness.send_request("c0")
        link = next(link for link in harness.links if link.attempt)
        balancer, decisions = harness.state_machine.balancers.current, [CancelAttempt(link.attempt)]
        next_decision = balancer.next_decision
        balancer.next_decision = lambda now: decisions.pop() if decisions else next_decision(now)
        harness.after(20)
        harness.handle_event(TimerFired())
        harness.after(3)
        harness.record(f"closed while busy {link.closed_while_busy}")
        self.check("apart", harness.lines)


class Attempts(TraceTest):
    def test_second_request_reuses_the_connection(self):
        harness = StateMachineHarness(["b0"])
        harness.send_request("c0", "/look/user/7?a=b", "GET")
        harness.connect_upstream()
        harness.after(20)
        harness.reply(headers="Endpoint-Load-Metrics: TEXT util=0.5\r\nX-More: kept\r\n")
        harness.response_sent("c0")
        harness.after(10)
        harness.send_request("c0", "/pay", body="five")
        harness.reply()
        harness.after(6500)
        self.check("node_settled", harness.lines)

    def test_stale_connection_is_not_a_failure(self):
        """No byte was written: even an unsafe request is sent again at once, and the backend is not
        blamed.
        """
        harness = StateMachineHarness(["b0"])
        harness.send_request("c0")
        harness.connect_upstream()
        harness.reply()
        harness.response_sent("c0")
        harness.after(10)
        harness.send_request("c0", "/pay", body="five")
        harness.lose(CloseCause.STALE, whole=False)
        harness.connect_upstream()
        self.check("node_stale", harness.lines)

    def test_unsafe_request_that_may_have_been_executed_is_not_retried(self):
        """An unsafe request is not retried if its connection breaks after its last byte, nor after
        a 503 that does not report it as not executed.
        """
        lines = []
        for path, action, *arguments in (
            ("/pay", "lose", CloseCause.RESET, True),
            ("/pay", "lose", CloseCause.RESET, False),
            ("/pay", "reply", 400),
            ("/look", "reply", 429),
            ("/pay", "reply", 429),
            ("/pay", "reply", 503),
            ("/pay", "reply", 504, "X-Never-Ran: 1\r\n"),
            ("/pay", "lose", CloseCause.MALFORMED_RESPONSE, True),
            ("/look", "reply", 503),
            ("/hold", "lose", CloseCause.RESET, True),
        ):
            harness = StateMachineHarness(["b0", "b1"])
            harness.send_request("c0", path)
            harness.connect_upstream()
            harness.lines = [f"{path}: {action} {arguments}"]
            getattr(harness, action)(*arguments)
            lines += harness.lines
        self.check("node_may_have_run", lines)

    def test_keyed_retry_is_received_within_its_deduplication_window(self):
        """Guards against a second execution: the window was checked only when the retry was decided.

        Its connection was established later, or the backend read its body past the window.
        """
        lines = []
        for case in ("never connected", "not received in time", "received in time", "never run"):
            harness = StateMachineHarness(["b0", "b1"])
            harness.send_request("c0", "/hold")
            harness.connect_upstream()
            harness.after(200)
            harness.lines = [case]
            harness.lose(whole=case != "never run")
            harness.after(50)
            if case != "never connected":
                harness.connect_upstream()
            harness.after(60)
            if case == "not received in time":
                harness.lose(CloseCause.WRITE_OVERDUE, whole=False)
            elif case != "never connected":
                harness.reply()
            harness.after(10)
            lines += harness.lines
        self.check("node_window", lines)

    def test_attempt_times_out_before_the_deadline(self):
        harness = StateMachineHarness(["b0"])
        harness.send_request("c0", "/pay", left=700)
        harness.connect_upstream()
        harness.after(696)
        harness.reply()
        self.check("node_limit", harness.lines)

    def test_event_loop_lag_is_not_latency_of_the_backend(self):
        """The lag counts as waiting time of the request, for early rejections, and not as latency
        of the backend.
        """
        harness = StateMachineHarness(["b0"])
        harness.open("c0")
        for waited in (50, 130):
            harness.now += 2000
            head = f"GET /look HTTP/1.1\r\nHost: h\r\nX-Trace-Id: {waited}\r\n\r\n"
            harness.handle_event(
                RequestReceived(harness.clients["c0"], message(head.encode())),
                arrived_at=harness.now - waited * 10,
            )
            if waited == 50:
                harness.connect_upstream()
                harness.now += 1000
                answer = b"HTTP/1.1 200 .\r\nContent-Length: 0\r\n\r\n"
                harness.handle_event(
                    ResponseReceived(harness.links[0], message(answer, reader.ResponseReader)),
                    arrived_at=harness.now - 800,
                )
                harness.response_sent("c0")
        typical = harness.state_machine.balancers.current.request_stats.classes[0].typical
        harness.record(f"typical {typical / 10:.0f} of 100 at first")
        self.check("node_late", harness.lines)

    def test_load_is_shed_when_cpu_is_short(self):
        """Requests are shed after long waits, but not after one period in which the machine stood
        still; they are logged in one line.
        """
        harness = StateMachineHarness(["b0"])
        for n, (idle, waited) in enumerate(((50, 45), (150, 30), (150, 45), (150, 45))):
            harness.now += 2000
            harness.open(f"c{n}")
            head = f"GET /look HTTP/1.1\r\nHost: h\r\nX-Trace-Id: {n}\r\n\r\n"
            harness.record(f"idle {idle} ms ago, waited {waited} ms")
            harness.handle_event(
                RequestReceived(harness.clients[f"c{n}"], message(head.encode())),
                arrived_at=harness.now - waited * 10,
                last_idle_at=harness.now - idle * 10,
            )
        harness.after(1001)
        self.check(
            "node_pressed",
            [
                line
                for line in harness.lines
                if not re.search("link|upstream_closed|counters", line)
            ],
        )

    def test_overdue_request_is_answered_once(self):
        """An attempt fails in the step in which its request is overdue: it is answered once, not
        twice.
        """
        harness = StateMachineHarness(["b0"])
        harness.send_request("c0", "/pay", left=700)
        harness.connect_upstream()
        harness.now += 7000
        harness.lose(CloseCause.RESET)
        self.check("node_overdue", harness.lines)

    def test_client_disconnects(self):
        harness = StateMachineHarness(["b0"])
        harness.send_request("c0", "/pay")
        harness.connect_upstream()
        harness.handle_event(ClientDisconnected(harness.clients["c0"], "client closed"))
        harness.reply()
        self.check("node_client_gone", harness.lines)

    def test_no_connection(self):
        harness = StateMachineHarness(["b0", "b1"], connect_timeout=1500)
        harness.send_request("c0", "/pay")
        harness.after(160)
        harness.connect_upstream()
        self.check("node_no_connection", harness.lines)

    def test_client_is_answered_after_an_exception(self):
        harness = StateMachineHarness(["b0"])
        harness.send_request("c0", "/pay")
        harness.connect_upstream()
        harness.open("c1")
        next_decision, harness.state_machine.balancers.current.next_decision = (
            harness.state_machine.balancers.current.next_decision,
            lambda now: 1 / 0,
        )
        try:
            harness.send_request("c1")
        except ZeroDivisionError:
            effect = harness.state_machine.recover_from_fault(harness.clients["c1"])[-1]
            name, status = effect.connection.io.name, effect.head.split()[1].decode()
            harness.record(f"exception: {type(effect).__name__} {name} {status}")
        harness.state_machine.balancers.current.next_decision = next_decision
        harness.after(998)
        self.check("node_fault", harness.lines)

    def test_client_is_answered_after_an_exception_about_its_attempt(self):
        """It waited for its deadline: the attempt had left its connection, or that was closed."""
        lines = []
        for case in ("answer", "server error", "reset"):
            harness = StateMachineHarness(["b0"])
            harness.send_request("c0", "/pay")
            harness.connect_upstream()
            harness.lines, balancer = [case], harness.state_machine.balancers.current
            with mock.patch.object(balancer, "attempt_ended", side_effect=ZeroDivisionError):
                with self.assertRaises(ZeroDivisionError):
                    harness.lose() if case == "reset" else harness.reply(
                        200 if case == "answer" else 500
                    )
                for effect in harness.state_machine.recover_from_fault(harness.links[0]):
                    name = getattr(getattr(effect, "connection", None), "io", None)
                    harness.record(f"{type(effect).__name__} {name.name if name else ''}".rstrip())
            harness.after(998)
            lines += [line for line in harness.lines if "counters" not in line]
        self.check("node_fault_reported", lines)

    def test_attempt_moves_to_a_connection_that_is_idle_first(self):
        """An attempt bound to the connection it opened would wait for the handshake while another
        connection is idle.
        """
        harness = StateMachineHarness(["b0"])
        harness.send_request("c0")
        harness.connect_upstream()
        harness.send_request("c1", "/pay")
        harness.send_request("c2")
        harness.after(10)
        harness.reply(link=0)
        harness.after(10)
        harness.record("both connections are established, one of them without an attempt")
        harness.connect_upstream(1)
        harness.connect_upstream(2)
        harness.reply(link=0)
        harness.after(10)
        harness.record(
            f"{[link.state for link in harness.links]}, {harness.state_machine.endpoints.records['b0'].connecting_count} connecting"
        )
        self.check("node_free_first", harness.lines)

    def test_connection_is_not_reused_at_once(self):
        """A duplicate response right behind the first must not be taken for the next response."""
        harness = StateMachineHarness(["b0"])
        harness.send_request("c0")
        harness.connect_upstream()
        harness.reply()
        harness.send_request("c1")
        harness.reply(link=0)
        self.check("node_rest", harness.lines)


class Backends(TraceTest):
    def test_connection_over_a_long_link_is_reused_later(self):
        """Guards against taking a duplicate response for the next one; a long link delays it by more.

        The link takes 10 ms each way: a duplicate 8 ms late came up to 15 ms after the response.
        """
        harness = StateMachineHarness(["b0"])
        harness.send_request("c0")
        harness.after(20)
        harness.connect_upstream()
        harness.after(30)
        harness.reply()
        harness.response_sent("c0")
        for name, pause in (("c1", 15), ("c2", 5)):
            harness.after(pause)
            harness.send_request(name)
        self.check("node_long_link", [line for line in harness.lines if "link" in line])

    def test_endpoint_list_messages(self):
        harness = StateMachineHarness(None)
        harness.send_request("c0", "/health/ready", "GET")
        harness.response_sent("c0")
        harness.update_endpoints(["b0", "b1"], 5)
        harness.send_request("c0", "/health/ready", "GET")
        harness.record("older changes, then invalid messages: the whole list is requested")
        harness.update_endpoints([entry("b1", "DELETED")], 4, whole=False)
        harness.handle_event(
            EndpointsUpdated({"index": 6, "snapshot": True, "endpoints": [{"name": "b0"}]})
        )
        harness.handle_event(EndpointsUpdated([]))
        harness.update_endpoints(["b0"], 7)
        harness.update_endpoints(
            [entry("b0", address="127.0.0.1:9999", since_ms=900)], 8, whole=False
        )
        self.check("node_list", harness.lines)

    def test_restored_list_when_discovery_is_down(self):
        harness = StateMachineHarness(
            None, known={"index": 3, "snapshot": True, "endpoints": [entry("b0")]}
        )
        harness.send_request("c0", "/health/ready", "GET")
        harness.response_sent("c0")
        harness.after(301)
        harness.send_request("c0", "/health/ready", "GET")
        self.check("node_known", harness.lines)

    def test_drained(self):
        """Idle connections are closed at once, and one established later carries nothing: the drain
        grace period is not used.
        """
        harness = StateMachineHarness(["b0"])
        harness.send_request("c0")
        harness.connect_upstream()
        harness.reply()
        harness.update_endpoints([entry("b0", "DRAINING")], 2, whole=False)
        harness.update_endpoints([entry("b0")], 3, whole=False)
        harness.response_sent("c0")
        harness.send_request("c0")
        harness.update_endpoints([entry("b0", "DRAINING")], 4, whole=False)
        harness.connect_upstream()
        self.check("node_drained", harness.lines)

    def test_answers_reach_their_clients_while_no_backend_is_ready(self):
        """They were thrown away with an internal error, and the clients waited for their deadline."""
        harness = StateMachineHarness(["b0"])
        harness.send_request("c0", "/pay")
        harness.connect_upstream()
        harness.update_endpoints([entry("b0", "DRAINING")], 2, whole=False)
        harness.after(80)
        harness.reply()
        self.check("node_none_ready", harness.lines)

    def test_health_check_before_a_trial_request(self):
        harness = StateMachineHarness(["b0", "b1"])
        for name in ("c0", "c1"):
            harness.send_request(name)
            harness.lose(CloseCause.CONNECT_FAILED, whole=False, link=0) if name == "c0" else None
        harness.after(200)
        harness.connect_upstream()
        harness.reply()
        self.check("node_probe", [line for line in harness.lines if " log " not in line])

    def test_health_check_without_a_response(self):
        harness = StateMachineHarness(["b0", "b1"])
        harness.send_request("c0")
        harness.lose(CloseCause.CONNECT_FAILED, whole=False)
        harness.after(200)
        harness.connect_upstream()
        harness.after(210)
        self.check("node_probe_silent", harness.lines)

    def test_unsolicited_response(self):
        harness = StateMachineHarness(["b0"])
        harness.send_request("c0")
        harness.connect_upstream()
        harness.reply()
        harness.response_sent("c0")
        harness.reply()
        harness.send_request("c0")
        self.check("node_unasked", harness.lines)

    def test_response_that_never_ends(self):
        """The attempt may have been executed; its connection is closed long before the request
        timeout.
        """
        harness = StateMachineHarness(["b0", "b1"])
        harness.send_request("c0")
        harness.connect_upstream()
        for _ in range(3):
            harness.handle_event(ResponsePartReceived(harness.links[0]))
            harness.after(90)
        harness.after(400)
        self.check("node_endless", harness.lines)

    def test_removed_endpoints_are_dropped(self):
        """An endpoint listed again at the address of another one is new and takes over no
        connection.
        """
        harness = StateMachineHarness(["b0", "b1"])
        harness.update_endpoints(["b0"], 2)
        harness.now += 20001
        harness.update_endpoints(["b0", entry("b2", address="127.0.0.1:9001")], 3)
        self.assertEqual(sorted(harness.state_machine.endpoints.records), ["b0", "b2"])
        self.assertEqual(harness.state_machine.endpoints.records["b2"].open_connections, 0)

    def test_timer_heap_stays_small(self):
        """With one entry per response the heap would hold the timers of a whole minute."""
        harness = StateMachineHarness(["b0"])
        for n in range(200):
            harness.send_request("c0")
            harness.connect_upstream() if n == 0 else None
            harness.reply()
            harness.response_sent("c0")
            harness.after(100)
        self.assertLess(len(harness.state_machine.timers.heap), 40)

    def test_a_new_configuration(self):
        """Discovery at a new address: the endpoint list is kept until the new whole list is there,
        whatever its version.
        """
        harness = StateMachineHarness(["b0", "b1"])
        configuration = {"discovery": "127.0.0.1:1", "limits": {"sockets": 9}, "seed": "other"}
        harness.handle_event(ConfigurationLoaded("127.0.0.1:1", configuration))
        harness.handle_event(ConfigurationLoaded("127.0.0.1:1", configuration))
        harness.send_request("c0", "/health/ready", "GET")
        harness.update_endpoints([entry("b1", "DELETED")], 0, whole=False)
        harness.update_endpoints(["b0"], 0)
        self.check("node_configured", harness.lines)

    @mock.patch("pierglade.balancer.health_checks.INITIAL_CHECKS_DUE", 0)  # as after the start
    def test_new_settings_with_attempts_in_flight(self):
        """A balancer replaced at once would lose its pending requests, or retry an unsafe request
        under the new rules.
        """
        harness = StateMachineHarness(["b0", "b1"])
        before, after = {"settings": 1}, {"settings": 2}
        harness.state_machine.reconfiguration.raw_settings = 1
        shared = dict(
            tenants=TenantRegistry(),
            node_count=70,
            load_report_source=LoadReportSource.HEALTH_CHECKS,
            load_report_fields=("throughput", "queue_length"),
        )
        harness.send_request("c0", "/pay")
        harness.connect_upstream()
        harness.handle_event(ConfigurationLoaded("", after, balancer_settings(**shared)))
        harness.record("the rotation continues at b1, then b0")
        harness.send_request("c4")
        harness.connect_upstream()
        harness.reply()
        harness.send_request("c1")
        harness.connect_upstream()
        harness.record(
            "a backend drains under both settings, and each request in flight is answered once"
        )
        harness.update_endpoints([entry("b0", "DRAINING")], 2, whole=False)
        harness.lose(link=0)
        harness.reply()
        harness.record("changing the settings back works alike")
        harness.send_request("c2")
        harness.handle_event(ConfigurationLoaded("", before, balancer_settings()))
        harness.connect_upstream()
        harness.reply()
        harness.after(200)
        harness.send_request("c3")
        harness.reply()
        harness.record(
            f"{len(harness.state_machine.balancers.earlier)} balancers of earlier settings"
        )
        self.check("node_settings", harness.lines)

    def test_load_reports_and_cost_hints_are_used(self):
        harness = StateMachineHarness(
            ["b0", "b1"],
            tenants=TenantRegistry(),
            node_count=70,
            load_report_source=LoadReportSource.RESPONSES,
            load_report_fields=("throughput", "utilization"),
        )
        harness.send_request("c0", headers="X-Props: item=a,hintUs=12000\r\n")
        harness.record(f"hint {harness.clients['c0'].request.cost_hint}")
        harness.connect_upstream()
        harness.reply(headers="Endpoint-Load-Metrics: TEXT qps=40, util=0.6, other=x\r\n")
        harness.record(
            f"throughput {harness.state_machine.balancers.current.load_reports.throughput}, utilization {harness.state_machine.balancers.current.load_reports.utilization}"
        )
        harness.after(10)
        harness.send_request("c1", headers="X-Props: hintUs=none\r\n")
        harness.record(f"hint {harness.clients['c1'].request.cost_hint}")
        harness.connect_upstream()
        harness.reply(headers="Endpoint-Load-Metrics: TEXT qps=50, util=0.7\r\n")
        harness.record(
            f"throughput {harness.state_machine.balancers.current.load_reports.throughput}, utilization {harness.state_machine.balancers.current.load_reports.utilization}"
        )
        self.check("node_reports", harness.lines)

    @mock.patch("pierglade.balancer.health_checks.INITIAL_CHECKS_DUE", 0)  # as after the start
    def test_one_health_check_per_twenty_attempts_brings_the_load_report(self):
        harness = StateMachineHarness(
            ["b0", "b1"],
            tenants=TenantRegistry(),
            node_count=70,
            load_report_source=LoadReportSource.HEALTH_CHECKS,
            load_report_fields=("throughput", "queue_length"),
        )
        for n in range(21):
            harness.lines = []
            harness.send_request("c0")
            attempt = next(iter(harness.state_machine.attempts.connections))
            link = harness.state_machine.attempts.connections[attempt]
            harness.handle_event(UpstreamConnected(link))
            harness.handle_event(
                ResponseReceived(
                    link,
                    message(b"HTTP/1.1 200 .\r\nContent-Length: 0\r\n\r\n", reader.ResponseReader),
                ),
            )
            harness.response_sent("c0")
            harness.after(10)
            if any(link.is_health_check for link in harness.links):
                break
        harness.connect_upstream()
        answer = b"HTTP/1.1 200 .\r\nContent-Length: 20\r\n\r\nTEXT qps=30, queue=2"
        harness.handle_event(
            ResponseReceived(harness.links[-1], message(answer, reader.ResponseReader))
        )
        harness.record(
            f"throughput {harness.state_machine.balancers.current.load_reports.throughput}, queue length {harness.state_machine.balancers.current.load_reports.queue_length}"
        )
        self.check("node_stats", harness.lines)

    def test_endpoint_poll_is_delayed_and_sent_within_its_limit(self):
        """With repeated polls at once, 70 nodes kept a discovery with a list of 200 lines a second
        from serving any of them: a poll waits, and is sent within the limit.
        """
        harness = StateMachineHarness(["b0", "b1"], polls_endpoints=True)
        harness.after(10)
        for _ in range(5):
            harness.handle_event(DiscoveryLost("down"))
            harness.after(8000)
        harness.update_endpoints(["b0", "b1"], 3)
        harness.handle_event(DiscoveryLost("down"))
        harness.after(8000)
        self.check("node_asks", harness.lines)

    def test_changes_apply_to_the_restored_version(self):
        """After a restart, 28 nodes requested the whole list at once, and none of them received it:
        changes apply to the restored version.
        """
        known = {"index": 41, "snapshot": True, "endpoints": [entry("b0"), entry("b1")]}
        harness = StateMachineHarness(backends=(), known=known)
        harness.record(f"list version {harness.state_machine.endpoints.version}")
        harness.update_endpoints([entry("b1", "DRAINING")], index=42, whole=False)
        harness.update_endpoints([entry("b0", "DRAINING")], index=40, whole=False)
        harness.record(f"list version {harness.state_machine.endpoints.version}")
        self.check("node_known_version", harness.lines)


class ClientConnections(TraceTest):
    def test_invalid_requests(self):
        harness = StateMachineHarness(["b0"])
        lines = []
        host, request_id = "Host: h\r\n", "X-Trace-Id: t\r\n"
        for n, (request_line, headers) in enumerate(
            (
                ("GET /look", host),
                ("GET /look", request_id),
                ("GET /look", host + request_id + "X-Expires-In-Ms: soon\r\n"),
                ("GET /elsewhere", host + request_id),
                ("GET /", host + request_id),
                ("OPTIONS *", host + request_id),
                ("POST /look", host + request_id),
                ("GET /pay", host + request_id),
                ("POST /hold", host + request_id),
                ("POST /pay", host + request_id + "Idempotency-Key: k\r\n"),
                ("POST /health/live", host),
                ("POST /pay", host + request_id + request_id),
                ("POST /pay", host + host + request_id),
                ("GET /look", host + request_id + "X-Expires-In-Ms: -5\r\n"),
                ("GET /look", host + "X-Trace-Id: " + "t" * 300 + "\r\n"),
                ("HEAD /health/ready", host),
                ("GET /health/live", host),
                ("HEAD /pay", host + request_id),
            )
        ):
            harness.open(f"c{n}")
            harness.lines = []
            harness.handle_event(
                RequestReceived(
                    harness.clients[f"c{n}"],
                    message(f"{request_line} HTTP/1.1\r\n{headers}\r\n".encode()),
                ),
            )
            lines += [f"{request_line} with {headers.split()[::2]}", *harness.lines]
        self.check("node_bad_requests", lines)

    def test_head_response_has_no_body(self):
        harness = StateMachineHarness(["b0"])
        harness.send_request("ann", method="HEAD")
        harness.connect_upstream()
        harness.reply(headers="ETag: 7\r\n")
        harness.response_sent("ann")
        harness.after(10)
        harness.send_request("ann", method="HEAD")
        response = message(
            b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n", reader.ResponseReader
        )
        response.body_stream = BodyStream(70000, lambda: None)
        harness.handle_event(ResponseReceived(harness.links[-1], response))
        self.check("node_head", harness.lines)

    def test_duplicate_ids_are_rejected(self):
        """A request with the id of a pending one, or a late duplicate, would be executed twice if
        it were forwarded.
        """
        harness = StateMachineHarness(["b0"])
        harness.send_request("c0", trace="one")
        harness.connect_upstream()
        harness.send_request("c1", trace="one")
        harness.reply()
        harness.response_sent("c0")
        harness.send_request("c0", trace="one")
        harness.after(59999)
        harness.send_request("c2", trace="one")
        harness.after(2)
        harness.send_request("c3", trace="one")
        harness.record(
            f"{len(harness.state_machine.requests.ids)} in use, {len(harness.state_machine.requests.recent_ids)} recent"
        )
        self.check("node_ids", harness.lines)

    def test_slow_head_does_not_extend_its_timeout(self):
        harness = StateMachineHarness(["b0"])
        harness.open("c0")
        harness.after(1900)
        for _ in range(3):
            harness.handle_event(RequestStarted(harness.clients["c0"]))
            harness.after(300)
        self.check("node_trickle", harness.lines)

    def test_silent_clients_are_closed_first(self):
        """Silent clients are closed, the oldest first, before a backend connection or a client that
        has sent a request.
        """
        harness = StateMachineHarness(["b0"], sockets=RESERVED_DESCRIPTORS + 4)
        harness.send_request("usual")
        harness.connect_upstream()
        harness.reply()
        harness.response_sent("usual")
        for n in range(6):
            harness.after(30)
            harness.open(f"silent{n}")
            if n > 1:
                harness.handle_event(
                    ClientDisconnected(harness.clients[f"silent{n - 2}"], "yielded")
                )
        harness.send_request("usual")
        self.check("node_silent", harness.lines)

    def test_idle_clients_beyond_their_fraction_are_closed(self):
        """With free descriptors, clients may still use only a fraction of them."""
        harness = StateMachineHarness(["b0"], sockets=RESERVED_DESCRIPTORS + 16)
        for n in range(7):
            harness.open(f"c{n}")
            harness.handle_event(
                RequestReceived(
                    harness.clients[f"c{n}"], message(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                )
            )
            harness.response_sent(f"c{n}")
            harness.after(150)
        harness.record("c1 has unread bytes, noticed late: it is served and stays open")
        harness.send_request("c1")
        harness.connect_upstream()
        harness.reply()
        self.check("node_share", [line for line in harness.lines if "404" not in line])

    def test_slow_sender_and_slow_reader(self):
        harness = StateMachineHarness(["b0"])
        harness.open("c0")
        harness.handle_event(RequestStarted(harness.clients["c0"]))
        harness.after(5001)
        harness.after(5001)
        harness.open("c1")
        harness.after(60001)
        self.check("node_slow_clients", harness.lines)

    def test_descriptors_run_out(self):
        """Idle backend connections are closed first, then idle clients; if none is idle, a new
        client is asked to come back.
        """
        harness = StateMachineHarness(["b0"], sockets=RESERVED_DESCRIPTORS + 3)
        harness.send_request("c0")
        harness.connect_upstream()
        harness.reply()
        harness.response_sent("c0")
        for name in ("c1", "c2", "c3"):
            harness.open(name)
        harness.handle_event(ClientDisconnected(harness.clients["c0"], "yielded"))
        harness.open("c7")
        harness.record(
            "c7 is too new to be closed for c8; later two requests need backend connections"
        )
        harness.open("c8")
        harness.handle_event(ClientDisconnected(harness.clients["c7"], "client closed"))
        harness.handle_event(ClientDisconnected(harness.clients["c8"], "client closed"))
        harness.after(100)
        for name in ("c1", "c2"):
            harness.send_request(name)
        harness.send_request("c4")
        harness.record("all are busy, one of them sending a request")
        harness.open("c5")
        harness.handle_event(RequestStarted(harness.clients["c5"]))
        harness.send_request("c6")
        self.check("node_sockets", harness.lines)


class Stop(TraceTest):
    def test_stop(self):
        harness = StateMachineHarness(["b0"])
        harness.open("c0")
        harness.send_request("c1", left=1000)
        harness.connect_upstream()
        harness.handle_event(StopRequested())
        harness.handle_event(ClientDisconnected(harness.clients["c0"], "stopping"))
        harness.reply()
        harness.response_sent("c1")
        harness.after(300)
        harness.record("a client that connects late is still served")
        harness.send_request("c2")
        harness.reply()
        harness.response_sent("c2")
        harness.after(500)
        harness.record("a client that the kernel had accepted by then")
        harness.send_request("c3")
        harness.after(100)
        harness.reply()
        harness.response_sent("c3")
        harness.after(1000)
        self.check("node_stop", harness.lines)

    def test_exit_waits_for_the_last_accepted_clients(self):
        harness = StateMachineHarness(["b0"])
        harness.handle_event(StopRequested())
        harness.after(2000)
        self.check("node_stop_idle", harness.lines)

    def test_pending_requests_are_answered_before_the_process_is_killed(self):
        harness = StateMachineHarness(["b0"], max_attempts=1)
        harness.state_machine.balancers.request_classes[b"look"].request_timeout = 50000
        harness.send_request("c0", left=5000)
        harness.connect_upstream()
        harness.handle_event(StopRequested())
        harness.after(3100)
        harness.response_sent("c0")
        harness.after(1000)
        self.check("node_stop_owed", harness.lines)


class Rejections(unittest.TestCase):
    def answer_to(self, reject):
        harness = StateMachineHarness(["b0"], max_retry_after=2000 * MS)
        harness.open("c0")
        reject(harness)
        return next(line for line in harness.lines if "SendResponse" in line)

    def test_rejection_for_want_of_memory_says_when_to_come_back(self):
        answer = self.answer_to(
            lambda harness: harness.handle_event(MalformedRequest(harness.clients["c0"], 503))
        )
        self.assertIn("503 Service Unavailable|Retry-After: 0.1|", answer)

    def test_rejection_for_want_of_descriptors_says_when_to_come_back(self):
        def exhaust(harness):
            harness.handle_event(RequestStarted(harness.clients["c0"]))
            harness.state_machine.descriptors.limit = 0
            harness.open("c1")

        self.assertIn("503 Service Unavailable|Retry-After: 0.1|", self.answer_to(exhaust))
