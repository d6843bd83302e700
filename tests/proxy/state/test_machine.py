"""Event sequences through the whole proxy state machine: events in, effects out, no sockets."""

import re
from unittest import mock

from pierglade.model.decision import CancelAttempt
from pierglade.model.endpoint import LoadReportSource
from pierglade.proxy.http import reader
from pierglade.proxy.http.body_stream import BodyStream
from pierglade.proxy.state.connections import CloseCause
from pierglade.proxy.state.constants import SPARE
from pierglade.proxy.state.events import (
    ClientDisconnected,
    ConfigurationLoaded,
    DiscoveryLost,
    EndpointsUpdated,
    RequestReceived,
    RequestStarted,
    ResponsePartReceived,
    ResponseReceived,
    StopRequested,
    TimerFired,
    UpstreamConnected,
)
from pierglade.tenants.registry import TenantRegistry
from tests.support.scene import Desk, TraceTest, balancer_settings, entry, message


def desk_with_idle_connections():
    """Returns a desk with two backends and an idle connection to each that may be reused."""
    desk = Desk(["b0", "b1"])
    for name in ("w0", "w1"):
        desk.ask(name)
        desk.up()
    for link in (0, 1):
        desk.reply(link=link)
        desk.taken(f"w{link}")
    desk.after(10)
    desk.lines.clear()
    return desk


class SendOrder(TraceTest):
    def test_retry_is_sent_after_the_abort_of_the_previous_attempt(self):
        """The abort at b0 must reach it before the retry is sent to b1.

        Two connections are not ordered: without a delay the backends see two attempts in flight.
        """
        desk = desk_with_idle_connections()
        desk.ask("c0")
        link = next(link for link in desk.links if link.attempt)
        balancer, decisions = desk.reducer.balancers.current, [CancelAttempt(link.attempt)]
        next_decision = balancer.next_decision
        balancer.next_decision = lambda now: decisions.pop() if decisions else next_decision(now)
        desk.after(20)
        desk.tell(TimerFired())
        desk.after(3)
        desk.say(f"closed while busy {link.cut}")
        self.check("apart", desk.lines)


class Attempts(TraceTest):
    def test_second_request_reuses_the_connection(self):
        desk = Desk(["b0"])
        desk.ask("c0", "/look/user/7?a=b", "GET")
        desk.up()
        desk.after(20)
        desk.reply(headers="Endpoint-Load-Metrics: TEXT util=0.5\r\nX-More: kept\r\n")
        desk.taken("c0")
        desk.after(10)
        desk.ask("c0", "/pay", body="five")
        desk.reply()
        desk.after(6500)
        self.check("node_settled", desk.lines)

    def test_stale_connection_is_not_a_failure(self):
        """No byte was written: even an unsafe request is sent again at once, and the backend is not
        blamed.
        """
        desk = Desk(["b0"])
        desk.ask("c0")
        desk.up()
        desk.reply()
        desk.taken("c0")
        desk.after(10)
        desk.ask("c0", "/pay", body="five")
        desk.lose(CloseCause.STALE, whole=False)
        desk.up()
        self.check("node_stale", desk.lines)

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
            desk = Desk(["b0", "b1"])
            desk.ask("c0", path)
            desk.up()
            desk.lines = [f"{path}: {action} {arguments}"]
            getattr(desk, action)(*arguments)
            lines += desk.lines
        self.check("node_may_have_run", lines)

    def test_attempt_times_out_before_the_deadline(self):
        desk = Desk(["b0"])
        desk.ask("c0", "/pay", left=700)
        desk.up()
        desk.after(696)
        desk.reply()
        self.check("node_limit", desk.lines)

    def test_event_loop_lag_is_not_latency_of_the_backend(self):
        """The lag counts as waiting time of the request, for early rejections, and not as latency
        of the backend.
        """
        desk = Desk(["b0"])
        desk.open("c0")
        for waited in (50, 130):
            desk.now += 2000
            head = f"GET /look HTTP/1.1\r\nHost: h\r\nX-Trace-Id: {waited}\r\n\r\n"
            desk.tell(
                RequestReceived(desk.clients["c0"], message(head.encode())),
                came=desk.now - waited * 10,
            )
            if waited == 50:
                desk.up()
                desk.now += 1000
                answer = b"HTTP/1.1 200 .\r\nContent-Length: 0\r\n\r\n"
                desk.tell(
                    ResponseReceived(desk.links[0], message(answer, reader.ResponseReader)),
                    came=desk.now - 800,
                )
                desk.taken("c0")
        typical = desk.reducer.balancers.current.request_stats.classes[0].typical
        desk.say(f"typical {typical / 10:.0f} of 100 at first")
        self.check("node_late", desk.lines)

    def test_load_is_shed_when_cpu_is_short(self):
        """Requests are shed after long waits, but not after one period in which the machine stood
        still; they are logged in one line.
        """
        desk = Desk(["b0"])
        for n, (idle, waited) in enumerate(((50, 45), (150, 30), (150, 45), (150, 45))):
            desk.now += 2000
            desk.open(f"c{n}")
            head = f"GET /look HTTP/1.1\r\nHost: h\r\nX-Trace-Id: {n}\r\n\r\n"
            desk.say(f"idle {idle} ms ago, waited {waited} ms")
            desk.tell(
                RequestReceived(desk.clients[f"c{n}"], message(head.encode())),
                came=desk.now - waited * 10,
                idle=desk.now - idle * 10,
            )
        desk.after(1001)
        self.check(
            "node_pressed",
            [line for line in desk.lines if not re.search("link|upstream_closed|counters", line)],
        )

    def test_overdue_request_is_answered_once(self):
        """An attempt fails in the step in which its request is overdue: it is answered once, not
        twice.
        """
        desk = Desk(["b0"])
        desk.ask("c0", "/pay", left=700)
        desk.up()
        desk.now += 7000
        desk.lose(CloseCause.RESET)
        self.check("node_overdue", desk.lines)

    def test_client_disconnects(self):
        desk = Desk(["b0"])
        desk.ask("c0", "/pay")
        desk.up()
        desk.tell(ClientDisconnected(desk.clients["c0"], "client closed"))
        desk.reply()
        self.check("node_client_gone", desk.lines)

    def test_no_connection(self):
        desk = Desk(["b0", "b1"], connect_timeout=1500)
        desk.ask("c0", "/pay")
        desk.after(160)
        desk.up()
        self.check("node_no_connection", desk.lines)

    def test_client_is_answered_after_an_exception(self):
        desk = Desk(["b0"])
        desk.ask("c0", "/pay")
        desk.up()
        desk.open("c1")
        next_decision, desk.reducer.balancers.current.next_decision = (
            desk.reducer.balancers.current.next_decision,
            lambda now: 1 / 0,
        )
        try:
            desk.ask("c1")
        except ZeroDivisionError:
            effect = desk.reducer.salvage(desk.clients["c1"])[-1]
            name, status = effect.connection.io.name, effect.head.split()[1].decode()
            desk.say(f"exception: {type(effect).__name__} {name} {status}")
        desk.reducer.balancers.current.next_decision = next_decision
        desk.after(998)
        self.check("node_fault", desk.lines)

    def test_attempt_moves_to_a_connection_that_is_idle_first(self):
        """An attempt bound to the connection it opened would wait for the handshake while another
        connection is idle.
        """
        desk = Desk(["b0"])
        desk.ask("c0")
        desk.up()
        desk.ask("c1", "/pay")
        desk.ask("c2")
        desk.after(10)
        desk.reply(link=0)
        desk.after(10)
        desk.say("both connections are established, one of them without an attempt")
        desk.up(1)
        desk.up(2)
        desk.reply(link=0)
        desk.after(10)
        desk.say(
            f"{[link.state for link in desk.links]}, {desk.reducer.endpoints.records['b0'].connecting_count} connecting"
        )
        self.check("node_free_first", desk.lines)

    def test_connection_is_not_reused_at_once(self):
        """A duplicate response right behind the first must not be taken for the next response."""
        desk = Desk(["b0"])
        desk.ask("c0")
        desk.up()
        desk.reply()
        desk.ask("c1")
        desk.reply(link=0)
        self.check("node_rest", desk.lines)


class Backends(TraceTest):
    def test_endpoint_list_messages(self):
        desk = Desk(None)
        desk.ask("c0", "/health/ready", "GET")
        desk.taken("c0")
        desk.hear(["b0", "b1"], 5)
        desk.ask("c0", "/health/ready", "GET")
        desk.say("older changes, then invalid messages: the whole list is requested")
        desk.hear([entry("b1", "DELETED")], 4, whole=False)
        desk.tell(EndpointsUpdated({"index": 6, "snapshot": True, "endpoints": [{"name": "b0"}]}))
        desk.tell(EndpointsUpdated([]))
        desk.hear(["b0"], 7)
        desk.hear([entry("b0", address="127.0.0.1:9999", since_ms=900)], 8, whole=False)
        self.check("node_list", desk.lines)

    def test_restored_list_when_discovery_is_down(self):
        desk = Desk(None, known={"index": 3, "snapshot": True, "endpoints": [entry("b0")]})
        desk.ask("c0", "/health/ready", "GET")
        desk.taken("c0")
        desk.after(301)
        desk.ask("c0", "/health/ready", "GET")
        self.check("node_known", desk.lines)

    def test_drained(self):
        """Idle connections are closed at once, and one established later carries nothing: the drain
        grace period is not used.
        """
        desk = Desk(["b0"])
        desk.ask("c0")
        desk.up()
        desk.reply()
        desk.hear([entry("b0", "DRAINING")], 2, whole=False)
        desk.hear([entry("b0")], 3, whole=False)
        desk.taken("c0")
        desk.ask("c0")
        desk.hear([entry("b0", "DRAINING")], 4, whole=False)
        desk.up()
        self.check("node_drained", desk.lines)

    def test_health_check_before_a_trial_request(self):
        desk = Desk(["b0", "b1"])
        for name in ("c0", "c1"):
            desk.ask(name)
            desk.lose(CloseCause.CONNECT_FAILED, whole=False, link=0) if name == "c0" else None
        desk.after(200)
        desk.up()
        desk.reply()
        self.check("node_probe", [line for line in desk.lines if " log " not in line])

    def test_health_check_without_a_response(self):
        desk = Desk(["b0", "b1"])
        desk.ask("c0")
        desk.lose(CloseCause.CONNECT_FAILED, whole=False)
        desk.after(200)
        desk.up()
        desk.after(210)
        self.check("node_probe_silent", desk.lines)

    def test_unsolicited_response(self):
        desk = Desk(["b0"])
        desk.ask("c0")
        desk.up()
        desk.reply()
        desk.taken("c0")
        desk.reply()
        desk.ask("c0")
        self.check("node_unasked", desk.lines)

    def test_response_that_never_ends(self):
        """The attempt may have been executed; its connection is closed long before the request
        timeout.
        """
        desk = Desk(["b0", "b1"])
        desk.ask("c0")
        desk.up()
        for _ in range(3):
            desk.tell(ResponsePartReceived(desk.links[0]))
            desk.after(90)
        desk.after(11)
        self.check("node_endless", desk.lines)

    def test_removed_endpoints_are_dropped(self):
        """An endpoint listed again at the address of another one is new and takes over no
        connection.
        """
        desk = Desk(["b0", "b1"])
        desk.hear(["b0"], 2)
        desk.now += 20001
        desk.hear(["b0", entry("b2", address="127.0.0.1:9001")], 3)
        self.assertEqual(sorted(desk.reducer.endpoints.records), ["b0", "b2"])
        self.assertEqual(desk.reducer.endpoints.records["b2"].links, 0)

    def test_timer_heap_stays_small(self):
        """With one entry per response the heap would hold the timers of a whole minute."""
        desk = Desk(["b0"])
        for n in range(200):
            desk.ask("c0")
            desk.up() if n == 0 else None
            desk.reply()
            desk.taken("c0")
            desk.after(100)
        self.assertLess(len(desk.reducer.timers.heap), 40)

    def test_a_new_configuration(self):
        """Discovery at a new address: the endpoint list is kept until the new whole list is there,
        whatever its version.
        """
        desk = Desk(["b0", "b1"])
        configuration = {"discovery": "127.0.0.1:1", "limits": {"sockets": 9}, "seed": "other"}
        desk.tell(ConfigurationLoaded("127.0.0.1:1", configuration))
        desk.tell(ConfigurationLoaded("127.0.0.1:1", configuration))
        desk.ask("c0", "/health/ready", "GET")
        desk.hear([entry("b1", "DELETED")], 0, whole=False)
        desk.hear(["b0"], 0)
        self.check("node_configured", desk.lines)

    @mock.patch("pierglade.balancer.health_checks.INITIAL_DUE", 0)  # as after the start
    def test_new_settings_with_attempts_in_flight(self):
        """A balancer replaced at once would lose its pending requests, or retry an unsafe request
        under the new rules.
        """
        desk = Desk(["b0", "b1"])
        before, after = {"settings": 1}, {"settings": 2}
        desk.reducer.reconfiguration.raw_settings = 1
        shared = dict(
            tenants=TenantRegistry(),
            node_count=70,
            load_report_source=LoadReportSource.HEALTH_CHECKS,
            load_report_fields=("throughput", "queue_length"),
        )
        desk.ask("c0", "/pay")
        desk.up()
        desk.tell(ConfigurationLoaded("", after, balancer_settings(**shared)))
        desk.say("the rotation continues at b1, then b0")
        desk.ask("c4")
        desk.up()
        desk.reply()
        desk.ask("c1")
        desk.up()
        desk.say(
            "a backend drains under both settings, and each request in flight is answered once"
        )
        desk.hear([entry("b0", "DRAINING")], 2, whole=False)
        desk.lose(link=0)
        desk.reply()
        desk.say("changing the settings back works alike")
        desk.ask("c2")
        desk.tell(ConfigurationLoaded("", before, balancer_settings()))
        desk.up()
        desk.reply()
        desk.after(200)
        desk.ask("c3")
        desk.reply()
        desk.say(f"{len(desk.reducer.balancers.earlier)} balancers of earlier settings")
        self.check("node_settings", desk.lines)

    def test_load_reports_and_cost_hints_are_used(self):
        desk = Desk(
            ["b0", "b1"],
            tenants=TenantRegistry(),
            node_count=70,
            load_report_source=LoadReportSource.RESPONSES,
            load_report_fields=("throughput", "utilization"),
        )
        desk.ask("c0", headers="X-Props: item=a,hintUs=12000\r\n")
        desk.say(f"hint {desk.clients['c0'].request.cost_hint}")
        desk.up()
        desk.reply(headers="Endpoint-Load-Metrics: TEXT qps=40, util=0.6, other=x\r\n")
        desk.say(
            f"throughput {desk.reducer.balancers.current.load_reports.throughput}, utilization {desk.reducer.balancers.current.load_reports.utilization}"
        )
        desk.after(10)
        desk.ask("c1", headers="X-Props: hintUs=none\r\n")
        desk.say(f"hint {desk.clients['c1'].request.cost_hint}")
        desk.up()
        desk.reply(headers="Endpoint-Load-Metrics: TEXT qps=50, util=0.7\r\n")
        desk.say(
            f"throughput {desk.reducer.balancers.current.load_reports.throughput}, utilization {desk.reducer.balancers.current.load_reports.utilization}"
        )
        self.check("node_reports", desk.lines)

    @mock.patch("pierglade.balancer.health_checks.INITIAL_DUE", 0)  # as after the start
    def test_one_health_check_per_twenty_attempts_brings_the_load_report(self):
        desk = Desk(
            ["b0", "b1"],
            tenants=TenantRegistry(),
            node_count=70,
            load_report_source=LoadReportSource.HEALTH_CHECKS,
            load_report_fields=("throughput", "queue_length"),
        )
        for n in range(21):
            desk.lines = []
            desk.ask("c0")
            attempt = next(iter(desk.reducer.attempts.connections))
            link = desk.reducer.attempts.connections[attempt]
            desk.tell(UpstreamConnected(link))
            desk.tell(
                ResponseReceived(
                    link,
                    message(b"HTTP/1.1 200 .\r\nContent-Length: 0\r\n\r\n", reader.ResponseReader),
                ),
            )
            desk.taken("c0")
            desk.after(10)
            if any(link.probing for link in desk.links):
                break
        desk.up()
        answer = b"HTTP/1.1 200 .\r\nContent-Length: 20\r\n\r\nTEXT qps=30, queue=2"
        desk.tell(ResponseReceived(desk.links[-1], message(answer, reader.ResponseReader)))
        desk.say(
            f"throughput {desk.reducer.balancers.current.load_reports.throughput}, queue length {desk.reducer.balancers.current.load_reports.queue_length}"
        )
        self.check("node_stats", desk.lines)

    def test_endpoint_poll_is_delayed_and_sent_within_its_limit(self):
        """With repeated polls at once, 70 nodes kept a discovery with a list of 200 lines a second
        from serving any of them: a poll waits, and is sent within the limit.
        """
        desk = Desk(["b0", "b1"], polls_endpoints=True)
        desk.after(10)
        for _ in range(5):
            desk.tell(DiscoveryLost("down"))
            desk.after(8000)
        desk.hear(["b0", "b1"], 3)
        desk.tell(DiscoveryLost("down"))
        desk.after(8000)
        self.check("node_asks", desk.lines)

    def test_changes_apply_to_the_restored_version(self):
        """After a restart, 28 nodes requested the whole list at once, and none of them received it:
        changes apply to the restored version.
        """
        known = {"index": 41, "snapshot": True, "endpoints": [entry("b0"), entry("b1")]}
        desk = Desk(backends=(), known=known)
        desk.say(f"list version {desk.reducer.endpoints.version}")
        desk.hear([entry("b1", "DRAINING")], index=42, whole=False)
        desk.hear([entry("b0", "DRAINING")], index=40, whole=False)
        desk.say(f"list version {desk.reducer.endpoints.version}")
        self.check("node_known_version", desk.lines)


class ClientConnections(TraceTest):
    def test_invalid_requests(self):
        desk = Desk(["b0"])
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
            desk.open(f"c{n}")
            desk.lines = []
            desk.tell(
                RequestReceived(
                    desk.clients[f"c{n}"],
                    message(f"{request_line} HTTP/1.1\r\n{headers}\r\n".encode()),
                ),
            )
            lines += [f"{request_line} with {headers.split()[::2]}", *desk.lines]
        self.check("node_bad_requests", lines)

    def test_head_response_has_no_body(self):
        desk = Desk(["b0"])
        desk.ask("ann", method="HEAD")
        desk.up()
        desk.reply(headers="ETag: 7\r\n")
        desk.taken("ann")
        desk.after(10)
        desk.ask("ann", method="HEAD")
        response = message(
            b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n", reader.ResponseReader
        )
        response.flow = BodyStream(70000, lambda: None)
        desk.tell(ResponseReceived(desk.links[-1], response))
        self.check("node_head", desk.lines)

    def test_duplicate_ids_are_rejected(self):
        """A request with the id of a pending one, or a late duplicate, would be executed twice if
        it were forwarded.
        """
        desk = Desk(["b0"])
        desk.ask("c0", trace="one")
        desk.up()
        desk.ask("c1", trace="one")
        desk.reply()
        desk.taken("c0")
        desk.ask("c0", trace="one")
        desk.after(2001)
        desk.ask("c2", trace="one")
        desk.say(
            f"{len(desk.reducer.requests.ids)} in use, {len(desk.reducer.requests.recent_ids)} recent"
        )
        self.check("node_ids", desk.lines)

    def test_slow_head_does_not_extend_its_timeout(self):
        desk = Desk(["b0"])
        desk.open("c0")
        desk.after(1900)
        for _ in range(3):
            desk.tell(RequestStarted(desk.clients["c0"]))
            desk.after(300)
        self.check("node_trickle", desk.lines)

    def test_silent_clients_are_closed_first(self):
        """Silent clients are closed, the oldest first, before a backend connection or a client that
        has sent a request.
        """
        desk = Desk(["b0"], sockets=SPARE + 4)
        desk.ask("usual")
        desk.up()
        desk.reply()
        desk.taken("usual")
        for n in range(6):
            desk.after(30)
            desk.open(f"silent{n}")
            if n > 1:
                desk.tell(ClientDisconnected(desk.clients[f"silent{n - 2}"], "yielded"))
        desk.ask("usual")
        self.check("node_silent", desk.lines)

    def test_idle_clients_beyond_their_fraction_are_closed(self):
        """With free descriptors, clients may still use only a fraction of them."""
        desk = Desk(["b0"], sockets=SPARE + 16)
        for n in range(7):
            desk.open(f"c{n}")
            desk.tell(
                RequestReceived(
                    desk.clients[f"c{n}"], message(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                )
            )
            desk.taken(f"c{n}")
            desk.after(150)
        desk.say("c1 has unread bytes, noticed late: it is served and stays open")
        desk.ask("c1")
        desk.up()
        desk.reply()
        self.check("node_share", [line for line in desk.lines if "404" not in line])

    def test_slow_sender_and_slow_reader(self):
        desk = Desk(["b0"])
        desk.open("c0")
        desk.tell(RequestStarted(desk.clients["c0"]))
        desk.after(5001)
        desk.after(5001)
        desk.open("c1")
        desk.after(60001)
        self.check("node_slow_clients", desk.lines)

    def test_descriptors_run_out(self):
        """Idle backend connections are closed first, then idle clients; if none is idle, a new
        client is asked to come back.
        """
        desk = Desk(["b0"], sockets=SPARE + 3)
        desk.ask("c0")
        desk.up()
        desk.reply()
        desk.taken("c0")
        for name in ("c1", "c2", "c3"):
            desk.open(name)
        desk.tell(ClientDisconnected(desk.clients["c0"], "yielded"))
        desk.open("c7")
        desk.say("c7 is too new to be closed for c8; later two requests need backend connections")
        desk.open("c8")
        desk.tell(ClientDisconnected(desk.clients["c7"], "client closed"))
        desk.tell(ClientDisconnected(desk.clients["c8"], "client closed"))
        desk.after(100)
        for name in ("c1", "c2"):
            desk.ask(name)
        desk.ask("c4")
        desk.say("all are busy, one of them sending a request")
        desk.open("c5")
        desk.tell(RequestStarted(desk.clients["c5"]))
        desk.ask("c6")
        self.check("node_sockets", desk.lines)


class Stop(TraceTest):
    def test_stop(self):
        desk = Desk(["b0"])
        desk.open("c0")
        desk.ask("c1", left=1000)
        desk.up()
        desk.tell(StopRequested())
        desk.tell(ClientDisconnected(desk.clients["c0"], "stopping"))
        desk.reply()
        desk.taken("c1")
        desk.after(300)
        desk.say("a client that connects late is still served")
        desk.ask("c2")
        desk.reply()
        desk.taken("c2")
        desk.after(500)
        desk.say("a client that the kernel had accepted by then")
        desk.ask("c3")
        desk.after(100)
        desk.reply()
        desk.taken("c3")
        desk.after(1000)
        self.check("node_stop", desk.lines)

    def test_exit_waits_for_the_last_accepted_clients(self):
        desk = Desk(["b0"])
        desk.tell(StopRequested())
        desk.after(2000)
        self.check("node_stop_idle", desk.lines)

    def test_pending_requests_are_answered_before_the_process_is_killed(self):
        desk = Desk(["b0"], max_attempts=1)
        desk.reducer.balancers.request_classes[b"look"].request_timeout = 50000
        desk.ask("c0", left=5000)
        desk.up()
        desk.tell(StopRequested())
        desk.after(3100)
        desk.taken("c0")
        desk.after(1000)
        self.check("node_stop_owed", desk.lines)
