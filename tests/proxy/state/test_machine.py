"""Short traces of a node's whole state: events in, effects out, no sockets."""

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


def warm_desk():
    """Two backends, with a rested link to each."""
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


class Apart(TraceTest):
    def test_the_next_trip_is_written_once_the_end_of_the_one_before_is_there(self):
        """Called off at b0 and sent to b1 at once: two connections have no order between them."""
        desk = warm_desk()
        desk.ask("c0")
        link = next(link for link in desk.links if link.attempt)
        node, owed = desk.reducer.balancers.current, [CancelAttempt(link.attempt)]
        decide = node.next_decision
        node.next_decision = lambda now: owed.pop() if owed else decide(now)
        desk.after(20)
        desk.tell(TimerFired())
        desk.after(3)
        desk.say(f"cut in the middle {link.cut}")
        self.check("apart", desk.lines)


class Trips(TraceTest):
    def test_settled_then_on_the_kept_link(self):
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

    def test_a_kept_link_found_closed_is_no_loss(self):
        """Not a byte was written, so even a one-shot goes out at once, and the backend is not blamed."""
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

    def test_what_may_have_run(self):
        """A break after the last byte, and a 503 that does not say otherwise, end a one-shot for good."""
        lines = []
        for path, how, *end in (
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
            desk.lines = [f"{path}: {how} {end}"]
            getattr(desk, how)(*end)
            lines += desk.lines
        self.check("node_may_have_run", lines)

    def test_times_out_ahead_of_the_limit(self):
        desk = Desk(["b0"])
        desk.ask("c0", "/pay", left=700)
        desk.up()
        desk.after(696)
        desk.reply()
        self.check("node_limit", desk.lines)

    def test_the_node_comes_late(self):
        """Its lateness is on the invocation's account, for early bounces, and not on the backend's."""
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

    def test_short_of_its_core(self):
        """Not over one stretch in which the machine stood still; told of in one line."""
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

    def test_decided_in_the_turn_in_which_it_is_overdue(self):
        """The loss of its trip comes late, when its answer is due: one answer, not two."""
        desk = Desk(["b0"])
        desk.ask("c0", "/pay", left=700)
        desk.up()
        desk.now += 7000
        desk.lose(CloseCause.RESET)
        self.check("node_overdue", desk.lines)

    def test_client_gone(self):
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

    def test_a_fault_still_answers(self):
        desk = Desk(["b0"])
        desk.ask("c0", "/pay")
        desk.up()
        desk.open("c1")
        decide, desk.reducer.balancers.current.next_decision = (
            desk.reducer.balancers.current.next_decision,
            lambda now: 1 / 0,
        )
        try:
            desk.ask("c1")
        except ZeroDivisionError:
            effect = desk.reducer.salvage(desk.clients["c1"])[-1]
            name, status = effect.connection.io.name, effect.head.split()[1].decode()
            desk.say(f"fault: {type(effect).__name__} {name} {status}")
        desk.reducer.balancers.current.next_decision = decide
        desk.after(998)
        self.check("node_fault", desk.lines)

    def test_a_link_that_is_free_before_another_is_up(self):
        """Tied to the one it opened, a trip waited for a handshake beside an idle link."""
        desk = Desk(["b0"])
        desk.ask("c0")
        desk.up()
        desk.ask("c1", "/pay")
        desk.ask("c2")
        desk.after(10)
        desk.reply(link=0)
        desk.after(10)
        desk.say("up after all, one with nothing to do")
        desk.up(1)
        desk.up(2)
        desk.reply(link=0)
        desk.after(10)
        desk.say(
            f"{[link.state for link in desk.links]}, {desk.reducer.endpoints.records['b0'].connecting_count} coming up"
        )
        self.check("node_free_first", desk.lines)

    def test_a_link_rests_before_its_next_trip(self):
        """A second copy of an answer that comes right behind it must not answer what is asked next."""
        desk = Desk(["b0"])
        desk.ask("c0")
        desk.up()
        desk.reply()
        desk.ask("c1")
        desk.reply(link=0)
        self.check("node_rest", desk.lines)


class Backends(TraceTest):
    def test_list(self):
        desk = Desk(None)
        desk.ask("c0", "/health/ready", "GET")
        desk.taken("c0")
        desk.hear(["b0", "b1"], 5)
        desk.ask("c0", "/health/ready", "GET")
        desk.say(
            "changes older than what is known, then half a message: the whole list is asked for"
        )
        desk.hear([entry("b1", "DELETED")], 4, whole=False)
        desk.tell(EndpointsUpdated({"index": 6, "snapshot": True, "endpoints": [{"name": "b0"}]}))
        desk.tell(EndpointsUpdated([]))
        desk.hear(["b0"], 7)
        desk.hear([entry("b0", address="127.0.0.1:9999", since_ms=900)], 8, whole=False)
        self.check("node_list", desk.lines)

    def test_known_list_when_discovery_is_down(self):
        desk = Desk(None, known={"index": 3, "snapshot": True, "endpoints": [entry("b0")]})
        desk.ask("c0", "/health/ready", "GET")
        desk.taken("c0")
        desk.after(301)
        desk.ask("c0", "/health/ready", "GET")
        self.check("node_known", desk.lines)

    def test_drained(self):
        """Kept links end at once, and one that comes up after that carries nothing: the grace is not used."""
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

    def test_probe_before_a_trial(self):
        desk = Desk(["b0", "b1"])
        for name in ("c0", "c1"):
            desk.ask(name)
            desk.lose(CloseCause.CONNECT_FAILED, whole=False, link=0) if name == "c0" else None
        desk.after(200)
        desk.up()
        desk.reply()
        self.check("node_probe", [line for line in desk.lines if " log " not in line])

    def test_probe_without_an_answer(self):
        desk = Desk(["b0", "b1"])
        desk.ask("c0")
        desk.lose(CloseCause.CONNECT_FAILED, whole=False)
        desk.after(200)
        desk.up()
        desk.after(210)
        self.check("node_probe_silent", desk.lines)

    def test_an_answer_that_nobody_asked_for(self):
        desk = Desk(["b0"])
        desk.ask("c0")
        desk.up()
        desk.reply()
        desk.taken("c0")
        desk.reply()
        desk.ask("c0")
        self.check("node_unasked", desk.lines)

    def test_an_answer_that_never_ends(self):
        """Its trip may have run; the link is closed long before the hard limit."""
        desk = Desk(["b0", "b1"])
        desk.ask("c0")
        desk.up()
        for _ in range(3):
            desk.tell(ResponsePartReceived(desk.links[0]))
            desk.after(90)
        desk.after(11)
        self.check("node_endless", desk.lines)

    def test_gone_names_are_forgotten(self):
        """One that comes back at the address of another is new: no link passes over."""
        desk = Desk(["b0", "b1"])
        desk.hear(["b0"], 2)
        desk.now += 20001
        desk.hear(["b0", entry("b2", address="127.0.0.1:9001")], 3)
        self.assertEqual(sorted(desk.reducer.endpoints.records), ["b0", "b2"])
        self.assertEqual(desk.reducer.endpoints.records["b2"].links, 0)

    def test_what_is_due_stays_short(self):
        """One entry for each answer would hold on to a minute's worth of them."""
        desk = Desk(["b0"])
        for n in range(200):
            desk.ask("c0")
            desk.up() if n == 0 else None
            desk.reply()
            desk.taken("c0")
            desk.after(100)
        self.assertLess(len(desk.reducer.timers.heap), 40)

    def test_a_new_configuration(self):
        """Discovery elsewhere: nothing is forgotten until its whole list is there, whatever its version."""
        desk = Desk(["b0", "b1"])
        told = {"discovery": "127.0.0.1:1", "limits": {"sockets": 9}, "seed": "other"}
        desk.tell(ConfigurationLoaded("127.0.0.1:1", told))
        desk.tell(ConfigurationLoaded("127.0.0.1:1", told))
        desk.ask("c0", "/health/ready", "GET")
        desk.hear([entry("b1", "DELETED")], 0, whole=False)
        desk.hear(["b0"], 0)
        self.check("node_configured", desk.lines)

    @mock.patch("pierglade.balancer.health_checks.INITIAL_DUE", 0)  # as after the start
    def test_new_settings_while_trips_are_out(self):
        """Replaced at once, a node would lose what it holds, or send a one-shot again under new rules."""
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
        desk.say("the turn goes on where it was, at b1, then b0")
        desk.ask("c4")
        desk.up()
        desk.reply()
        desk.ask("c1")
        desk.up()
        desk.say("drains at both, and what is out comes to its one end under either settings")
        desk.hear([entry("b0", "DRAINING")], 2, whole=False)
        desk.lose(link=0)
        desk.reply()
        desk.say("the way back is the same step")
        desk.ask("c2")
        desk.tell(ConfigurationLoaded("", before, balancer_settings()))
        desk.up()
        desk.reply()
        desk.after(200)
        desk.ask("c3")
        desk.reply()
        desk.say(f"{len(desk.reducer.balancers.earlier)} nodes under earlier settings")
        self.check("node_settings", desk.lines)

    def test_reports_and_hints_are_heeded_where_a_decision_rests_on_them(self):
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
            f"pace {desk.reducer.balancers.current.load_reports.throughput}, busy {desk.reducer.balancers.current.load_reports.utilization}"
        )
        desk.after(10)
        desk.ask("c1", headers="X-Props: hintUs=none\r\n")
        desk.say(f"hint {desk.clients['c1'].request.cost_hint}")
        desk.up()
        desk.reply(headers="Endpoint-Load-Metrics: TEXT qps=50, util=0.7\r\n")
        desk.say(
            f"pace {desk.reducer.balancers.current.load_reports.throughput}, busy {desk.reducer.balancers.current.load_reports.utilization}"
        )
        self.check("node_reports", desk.lines)

    @mock.patch("pierglade.balancer.health_checks.INITIAL_DUE", 0)  # as after the start
    def test_one_probe_to_twenty_trips_brings_the_report(self):
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
            f"pace {desk.reducer.balancers.current.load_reports.throughput}, queue {desk.reducer.balancers.current.load_reports.queue_length}"
        )
        self.check("node_stats", desk.lines)

    def test_a_list_that_is_asked_for_is_asked_for_later_and_within_the_term(self):
        """Asked for again at once, 70 nodes kept a list of 200 lines a second from serving any of them."""
        desk = Desk(["b0", "b1"], polls_endpoints=True)
        desk.after(10)
        for _ in range(5):
            desk.tell(DiscoveryLost("down"))
            desk.after(8000)
        desk.hear(["b0", "b1"], 3)
        desk.tell(DiscoveryLost("down"))
        desk.after(8000)
        self.check("node_asks", desk.lines)

    def test_changes_fit_on_the_version_that_was_known(self):
        """Started anew, twenty-eight nodes asked for the whole list at once, and none of them got it."""
        known = {"index": 41, "snapshot": True, "endpoints": [entry("b0"), entry("b1")]}
        desk = Desk(backends=(), known=known)
        desk.say(f"follows from {desk.reducer.endpoints.version}")
        desk.hear([entry("b1", "DRAINING")], index=42, whole=False)
        desk.hear([entry("b0", "DRAINING")], index=40, whole=False)
        desk.say(f"follows from {desk.reducer.endpoints.version}")
        self.check("node_known_version", desk.lines)


class Clients(TraceTest):
    def test_bad_requests(self):
        desk = Desk(["b0"])
        lines = []
        host, trace = "Host: h\r\n", "X-Trace-Id: t\r\n"
        for n, (first, headers) in enumerate(
            (
                ("GET /look", host),
                ("GET /look", trace),
                ("GET /look", host + trace + "X-Expires-In-Ms: soon\r\n"),
                ("GET /elsewhere", host + trace),
                ("GET /", host + trace),
                ("OPTIONS *", host + trace),
                ("POST /look", host + trace),
                ("GET /pay", host + trace),
                ("POST /hold", host + trace),
                ("POST /pay", host + trace + "Idempotency-Key: k\r\n"),
                ("POST /health/live", host),
                ("POST /pay", host + trace + trace),
                ("POST /pay", host + host + trace),
                ("GET /look", host + trace + "X-Expires-In-Ms: -5\r\n"),
                ("GET /look", host + "X-Trace-Id: " + "t" * 300 + "\r\n"),
                ("HEAD /health/ready", host),
                ("GET /health/live", host),
                ("HEAD /pay", host + trace),
            )
        ):
            desk.open(f"c{n}")
            desk.lines = []
            desk.tell(
                RequestReceived(
                    desk.clients[f"c{n}"], message(f"{first} HTTP/1.1\r\n{headers}\r\n".encode())
                ),
            )
            lines += [f"{first} with {headers.split()[::2]}", *desk.lines]
        self.check("node_bad_requests", lines)

    def test_head_is_a_get_whose_body_is_kept_back(self):
        desk = Desk(["b0"])
        desk.ask("ann", method="HEAD")
        desk.up()
        desk.reply(headers="ETag: 7\r\n")
        desk.taken("ann")
        desk.after(10)
        desk.ask("ann", method="HEAD")
        large = message(b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n", reader.ResponseReader)
        large.flow = BodyStream(70000, lambda: None)
        desk.tell(ResponseReceived(desk.links[-1], large))
        self.check("node_head", desk.lines)

    def test_ids_are_taken_once(self):
        """Another's open id, passed on, would run its invocation twice; so would a copy that comes late."""
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
            f"{len(desk.reducer.requests.ids)} known, {len(desk.reducer.requests.recent_ids)} spent"
        )
        self.check("node_ids", desk.lines)

    def test_a_trickle_does_not_renew_its_time(self):
        desk = Desk(["b0"])
        desk.open("c0")
        desk.after(1900)
        for _ in range(3):
            desk.tell(RequestStarted(desk.clients["c0"]))
            desk.after(300)
        self.check("node_trickle", desk.lines)

    def test_hundreds_that_say_nothing(self):
        """They yield, the oldest first, before a link or a client that asked."""
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

    def test_clients_that_hold_on_make_way_for_others(self):
        """Descriptors are left, but clients are allowed no more connections than a part of them."""
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
        desk.say("c1 has something unread, which the node was late to see: it is served and stays")
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

    def test_sockets_are_used_up(self):
        """Idle links yield first, then idle clients; if none is idle the newcomer is told to come back."""
        desk = Desk(["b0"], sockets=SPARE + 3)
        desk.ask("c0")
        desk.up()
        desk.reply()
        desk.taken("c0")
        for name in ("c1", "c2", "c3"):
            desk.open(name)
        desk.tell(ClientDisconnected(desk.clients["c0"], "yielded"))
        desk.open("c7")
        desk.say("c7 was just opened and does not yield to c8; later two ask, and links need room")
        desk.open("c8")
        desk.tell(ClientDisconnected(desk.clients["c7"], "client closed"))
        desk.tell(ClientDisconnected(desk.clients["c8"], "client closed"))
        desk.after(100)
        for name in ("c1", "c2"):
            desk.ask(name)
        desk.ask("c4")
        desk.say("all are busy, one of them with sending")
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
        desk.say("one that comes late is still served")
        desk.ask("c2")
        desk.reply()
        desk.taken("c2")
        desk.after(500)
        desk.say("one that the kernel had accepted by then")
        desk.ask("c3")
        desk.after(100)
        desk.reply()
        desk.taken("c3")
        desk.after(1000)
        self.check("node_stop", desk.lines)

    def test_the_end_waits_for_what_the_door_let_in_last(self):
        desk = Desk(["b0"])
        desk.tell(StopRequested())
        desk.after(2000)
        self.check("node_stop_idle", desk.lines)

    def test_nothing_is_owed_when_the_end_may_come(self):
        desk = Desk(["b0"], max_attempts=1)
        desk.reducer.balancers.request_classes[b"look"].request_timeout = 50000
        desk.ask("c0", left=5000)
        desk.up()
        desk.tell(StopRequested())
        desk.after(3100)
        desk.taken("c0")
        desk.after(1000)
        self.check("node_stop_owed", desk.lines)
