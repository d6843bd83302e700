"""Changes by difference: read in steps, compared, applied in place or refused whole."""

import json
import os
import random
import signal
import tempfile
import threading
import unittest
from unittest import mock

import gevent

from pierglade import __main__ as start
from pierglade.proxy.discovery import DiscoveryClient, DiscoveryUnavailableError
from pierglade.proxy.state.events import ConfigurationLoaded
from pierglade.reconfiguration import document_reader as reading
from pierglade.reconfiguration import quota_changes as shares
from pierglade.settings.validation import InvalidSettingsError
from pierglade.tenants.registry import (
    LATELY,
    QuotaDelta,
    RunningMedian,
    TenantRegistry,
    VersionConflictError,
)
from tests.proxy import test_sockets as test_net
from tests.support.scene import Desk, TraceTest, balancer_settings

TEXTS = ("a", "}", '{"', "},{", '\\"}', "]", '"},{"name":"x"', "é\u2028", "\\", ",")


def value(chance, depth):
    kind = chance.randrange(6 if depth else 3)
    if kind < 3:
        return (
            chance.randrange(10**6),
            "".join(chance.choices(TEXTS, k=chance.randrange(6))),
            None,
        )[kind]
    if kind == 3:
        return {
            f"{chance.choice(TEXTS)}{n}": value(chance, depth - 1)
            for n in range(chance.randrange(9))
        }
    return [value(chance, depth - 1) for _ in range(chance.randrange(30))]


def customers(chance, count):
    return [
        {
            "name": f"{chance.choice(TEXTS)}{n}",
            "quotaPerS": chance.choice((0, 3, 0.5, None)),
            "more": value(chance, 1),
        }
        for n in range(count)
    ]


def written(chance, told):
    """The text, with white space as some writers leave it."""
    return json.dumps(
        told,
        ensure_ascii=chance.random() < 0.5,
        indent=chance.choice((None, None, 1, 0)),
        separators=chance.choice(((",", ":"), (" ,\n", " : "))),
    ).encode()


def difference(before, after):
    return start.through(shares.steps(before, after))


class Reading(unittest.TestCase):
    def test_in_steps_it_is_read_as_at_once(self):
        chance = random.Random(8)
        most = 0
        for count in range(200):
            rows = customers(chance, count)
            told = {
                "name": "n",
                "known": {"endpoints": value(chance, 2)},
                "more": value(chance, 3),
                "settings": {"a": value(chance, 2), "customers": rows, "b": value(chance, 2)},
            }
            text = written(chance, told)
            with (
                mock.patch.object(reading, "PIECE", chance.choice((16, 50, 300))),
                mock.patch.object(reading, "WHOLE", 40),
            ):
                steps, taken = reading.steps(text), 0
                while True:
                    try:
                        next(steps)
                    except StopIteration as over:
                        got, read = over.value
                        break
                    taken += 1
            most = max(most, taken)
            told["settings"]["customers"] = []
            self.assertEqual(got, told)
            self.assertEqual(read, {row["name"]: row["quotaPerS"] or 0 for row in rows})
        self.assertGreater(most, 50)

    def test_cut_in_half_it_is_never_taken(self):
        chance = random.Random(9)
        told = {
            "settings": {"customers": customers(chance, 9)},
            "known": {"endpoints": value(chance, 2)},
        }
        text = json.dumps(told).encode()
        with mock.patch.object(reading, "PIECE", 20), mock.patch.object(reading, "WHOLE", 40):
            for at in range(len(text)):
                with self.assertRaises(ValueError, msg=text[:at]):
                    start.through(reading.steps(text[:at]))
            for spoilt in (
                text.replace(b"}, {", b"} {", 1),
                text.replace(b"}, {", b"},, {", 1),
                text + b"}",
                text.replace(b'"name"', b'"n\xff"', 1),
            ):
                with self.assertRaises(ValueError, msg=spoilt):
                    start.through(reading.steps(spoilt))

    def test_rows_under_the_same_key_elsewhere_are_not_customers(self):
        """The rows are taken from where they belong, whatever else has their key or looks like it."""
        rows = [{"name": f"t{n}", "quotaPerS": n} for n in range(50)]
        other = {
            "customers": [{"of": 1}] * 20,
            "known": "customers",
            "text": '"customers": [{"name": "x"}]',
        }
        right = {"settings": {"customers": rows}}
        decoys = (
            {"other": other, **right},
            {**right, "other": other},
            {"settings": {"a": other, "customers": rows}},
            {"customers": rows, "settings": {"b": 1}},
            {'a"customers': [1], **right},
            {"settings": {"customers": None}, "other": other},
            {"a": ["customers", [{"b": "}"}]], **right},
            {"settings": [other]},
            [other],
            {"settings": {"customers": []}, "known": {"endpoints": rows}},
        )
        for told in decoys:
            shares = (
                {row["name"]: row["quotaPerS"] for row in rows}
                if "settings" in told
                and isinstance(told["settings"], dict)
                and told["settings"].get("customers")
                else {}
            )
            for piece, whole in ((16, 40), (400, 40), (16, 10**6)):
                with (
                    mock.patch.object(reading, "PIECE", piece),
                    mock.patch.object(reading, "WHOLE", whole),
                ):
                    got, read = start.through(reading.steps(json.dumps(told, indent=1).encode()))
                left = (
                    {**told, "settings": {**told["settings"], "customers": []}} if shares else told
                )
                self.assertEqual((got, read), (left, shares))

    def test_the_list_that_is_known_is_left_where_nobody_needs_it(self):
        text = json.dumps(
            {"known": {"endpoints": [{"name": f"b{n}"} for n in range(5000)]}, "a": 1}
        ).encode()
        self.assertEqual(
            start.through(reading.steps(text, known=False)), ({"known": {}, "a": 1}, {})
        )

    def test_a_customer_that_can_not_be_used_is_named_by_its_place(self):
        good = {"name": "t", "quotaPerS": 1}
        for rows, place in (
            ([good, {"quotaPerS": 1}], "customers.1 "),
            ([good] * 3000 + [3], "customers.3000 "),
            ([{**good, "quotaPerS": -1}], "customers.0.quotaPerS"),
            ([good] * 2999 + [{**good, "quotaPerS": "3"}], "customers.2999.quotaPerS"),
            ([{**good, "quotaPerS": True}], "customers.0.quotaPerS"),
            ("t", "customers "),
        ):
            with self.assertRaisesRegex(InvalidSettingsError, f"settings.{place}"):
                start.through(reading.steps(json.dumps({"settings": {"customers": rows}}).encode()))


class Table(unittest.TestCase):
    def test_a_difference_makes_one_table_of_the_other(self):
        chance = random.Random(3)
        with mock.patch.object(shares, "AT_ONCE", 7):
            for _ in range(200):
                one, other = (
                    {f"t{chance.randrange(60)}": float(chance.randrange(3)) for _ in range(40)}
                    for _ in range(2)
                )
                table = TenantRegistry(one)
                told = difference(table, other)
                self.assertEqual(
                    len(told), sum(one.get(name) != other.get(name) for name in {*one, *other})
                )
                table.apply(told)
                self.assertEqual(
                    (table.shares, table.total, len(table)),
                    (other, sum(other.values()), len(other)),
                )

    def test_lost_doubled_out_of_order_or_on_a_version_that_is_not_there_it_changes_nothing(self):
        table = TenantRegistry({"a": 1.0, "b": 2.0})
        first = difference(table, {"a": 5.0, "b": 2.0})
        later = QuotaDelta(1, 2, {"c": 1.0}, ("b",))
        for told in (later, QuotaDelta(7, 8, {"a": 9.0})):
            with self.assertRaises(VersionConflictError):
                table.apply(told)  # the first one is lost, or comes later
        self.assertEqual((table.shares, table.version), ({"a": 1.0, "b": 2.0}, 0))
        table.apply(first)
        with self.assertRaises(VersionConflictError):
            table.apply(first)  # doubled
        table.apply(later)
        self.assertEqual((table.shares, table.total, table.version), ({"a": 5.0, "c": 1.0}, 6.0, 2))

    def test_only_those_with_traffic_have_state(self):
        table = TenantRegistry({f"t{n}": 1.0 for n in range(50000)})
        for n in range(300):
            self.assertIs(table.of(f"t{n}", n), table.of(f"t{n}", n))
        self.assertIsNone(table.of("nobody", 300))
        one = table.of("t7", 300)
        one.rate = 5.0
        for now in range(LATELY // 2, 5 * LATELY, LATELY // 2):
            self.assertIs(table.of("t7", now), one)  # it goes on asking
        self.assertEqual([*table.young, *table.old], ["t7"])
        self.assertEqual(table.of("t8", now).rate, 0.0)

    def test_what_is_known_of_a_tenant_passes_to_other_shares(self):
        table = TenantRegistry({"a": 1.0, "b": 2.0})
        was = [table.of(name, 0) for name in "ab"]
        was[0].rate, was[1].slowness = 7.0, 3.0
        table.apply(difference(table, {"a": 4.0}))
        self.assertEqual(
            [(t.quota_per_second, t.rate) for t in (was[0], table.of("a", 1))],
            [(1.0, 7.0), (4.0, 7.0)],
        )
        self.assertIsNone(table.of("b", 1))
        later = TenantRegistry({"a": 9.0, "c": 1.0})
        later.follow(table)
        self.assertEqual(
            [(t.quota_per_second, t.rate) for t in (table.of("a", 1), later.of("a", 1))],
            [(4.0, 7.0), (9.0, 7.0)],
        )

    def test_the_middle_of_what_was_seen_lately(self):
        chance = random.Random(5)
        middle, seen, now = RunningMedian(50), {}, 0
        self.assertIsNone(middle.figure(0))
        for _ in range(3000):
            now += chance.randrange(4) if chance.random() < 0.99 else 60
            name, figure = chance.randrange(40), chance.choice((1.0, 2.0, chance.random()))
            middle.see(now, name, figure)
            seen[name] = now, figure
            late = now + chance.randrange(3)
            figures = sorted(figure for at, figure in seen.values() if late - at < 50)
            self.assertEqual(
                middle.figure(late), figures[(len(figures) - 1) // 2] if figures else None
            )
            now = late


class InTheNode(unittest.TestCase):
    """The reducer's turn: what it is told, and what is still owed under what was."""

    def setUp(self):
        self.desk = Desk(tenants=TenantRegistry({"north": 20.0, "south": 500.0}))
        self.reducer = self.desk.reducer
        self.reducer.reconfiguration.raw_settings = {"customers": []}
        self.first = self.reducer.balancers.current

    def configure(self, told, settings=None, from_=None, **changed):
        table = self.reducer.balancers.settings.tenants
        self.desk.tell(
            ConfigurationLoaded(
                "",
                {"settings": settings or {"customers": []}},
                balancer_settings(tenants=TenantRegistry(told), **changed),
                from_ or difference(table, told),
            ),
        )

    def ask(self, name, tenant, path="/look"):
        self.desk.ask(name, path, headers=f"X-Customer: {tenant}\r\n")
        return self.desk.clients[name].request

    def test_one_share_changes(self):
        """What was learned stays, as the node does; what was taken keeps the share of then."""
        before = self.ask("c0", "north", "/pay")
        self.first.outliers.latency_level[0] = 1.7
        self.configure({"north": 5.0, "south": 500.0})
        after = self.ask("c1", "north")
        self.assertEqual(
            [before.tenant.quota_per_second, after.tenant.quota_per_second], [20.0, 5.0]
        )
        self.assertEqual(
            [before.owner, after.owner, self.reducer.balancers.earlier],
            [self.first, self.first, []],
        )
        self.assertEqual(
            (self.first.outliers.latency_level[0], self.first.rotation.request_rate),
            (1.7, 505.0 / 10000),
        )
        self.assertEqual(self.first.limit.demand, self.first.rotation.request_rate)
        self.assertEqual(after.tenant.rate, 2.0)

    def test_shares_shrink_while_much_is_owed(self):
        """All that is owed is answered once, under the share with which it came, the late ones under theirs."""
        owed = [self.ask(f"c{n}", "south") for n in range(40)]
        self.configure({"north": 20.0})
        more = [self.ask(f"d{n}", "south") for n in range(5)]
        self.assertEqual({i.tenant and i.tenant.quota_per_second for i in owed}, {500.0})
        self.assertEqual({i.tenant for i in more}, {None})
        self.desk.after(2000)
        self.assertEqual({i.completed for i in owed + more}, {True})

    def test_two_changes_in_one_turn_and_back_to_the_older_one(self):
        for told in (
            {"north": 5.0, "south": 500.0},
            {"north": 6.0, "west": 1.0},
            {"north": 20.0, "south": 500.0},
        ):
            self.configure(told)
            self.assertEqual(self.reducer.balancers.settings.tenants.shares, told)
        self.assertEqual(
            (self.reducer.balancers.settings.tenants.version, self.reducer.balancers.current),
            (3, self.first),
        )
        self.configure({"north": 20.0, "south": 500.0})  # doubled: nothing to change
        self.assertEqual(
            (self.reducer.balancers.settings.tenants.version, self.reducer.balancers.current),
            (3, self.first),
        )

    def test_a_difference_that_does_not_fit_is_replaced_by_the_whole(self):
        """Made from another version, it must neither be applied in part nor be lost."""
        stale = difference(self.reducer.balancers.settings.tenants, {"north": 5.0, "south": 500.0})
        self.configure({"north": 6.0, "south": 500.0})
        self.configure({"north": 5.0, "south": 7.0, "west": 1.0}, from_=stale)
        self.assertEqual(
            self.reducer.balancers.settings.tenants.shares,
            {"north": 5.0, "south": 7.0, "west": 1.0},
        )
        self.assertIsNot(self.reducer.balancers.current, self.first)

    def test_the_first_share_and_the_last_begin_anew(self):
        self.configure({})
        self.assertIsNot(self.reducer.balancers.current, self.first)
        self.assertFalse(self.reducer.balancers.current.rotation.has_quotas)
        second = self.reducer.balancers.current
        self.configure({"north": 0.0})  # a tenant without a share: as before
        self.assertIs(self.reducer.balancers.current, second)
        self.configure({"north": 3.0})
        self.assertTrue(self.reducer.balancers.current.rotation.has_quotas)

    def test_other_settings_with_other_shares(self):
        """Both at once: the earlier node ends what it took, the next one knows who asks how much."""
        before = self.ask("c0", "north", "/pay")
        self.configure({"north": 5.0}, {"customers": [], "more": 1}, max_attempts=1)
        after = self.ask("c1", "north")
        self.assertEqual([before.owner, after.owner], [self.first, self.reducer.balancers.current])
        self.assertIsNot(self.first, self.reducer.balancers.current)
        self.assertEqual([after.tenant.quota_per_second, after.tenant.rate], [5.0, 2.0])


class OnSockets(TraceTest):
    """A node as users start it, whose file is long enough to be read in steps."""

    setUp, tearDown = test_net.Sockets.setUp, test_net.Sockets.tearDown
    configure, events = test_net.Sockets.configure, test_net.Sockets.events
    serve, ask = test_net.Sockets.serve, test_net.Sockets.ask
    COUNT = 8000

    def file(self, **shares):
        rows = [
            {"name": f"tenant-{n}", "quotaPerS": shares.get(f"t{n}", 3)} for n in range(self.COUNT)
        ]
        text = json.dumps({**self.told, "settings": {**test_net.SETTINGS, "customers": rows}})
        with tempfile.NamedTemporaryFile("w", dir=self.folder.name, delete=False) as file:
            file.write(text)
        os.replace(file.name, self.path)
        return text

    def reload(self, times=1, until="config_reloaded"):
        for _ in range(times):
            self.node.send_signal(signal.SIGHUP)
        return [line for line in self.events(until) if line["event"] in ("settings_applied", until)]

    def test_shares_change_under_clients(self):
        """Each file in force whole or not at all; a client is answered all along, each request run once."""
        get = (
            b"GET /look/%d HTTP/1.1\r\n"
            + test_net.HOST
            + b"X-Customer: tenant-7\r\nX-Trace-Id: %d\r\n\r\n"
        )
        lines, answers, asking = [], [], True

        def client():
            number = 0
            while asking or number < 3:
                number += 1
                answers.extend(self.ask(get % (number, number)))

        asker = threading.Thread(target=client, daemon=True)
        asker.start()
        text = self.file()
        loaded = self.reload()  # other settings than those of the start: all anew
        lines.append(f"all {'shares' in loaded[0]}")
        for count, told in enumerate(({"t7": 4}, {"t7": 4, "t9": 5, "t11": 6}, {})):
            self.file(**told)
            lines.append(f"{count}: {[line['quotas'] for line in self.reload()[:-1]]}")
        self.configure(text[: len(text) * 2 // 3])
        lines.append(f"cut: {[line['event'] for line in self.reload(until='config_rejected')]}")
        self.file(t7=8)
        self.node.send_signal(signal.SIGHUP)
        self.file(t7=8, t8=9)
        self.node.send_signal(signal.SIGHUP)
        seen = 0
        while seen < 2:
            seen += sum(
                line.get("quotas", 0) for line in self.reload()[:-1]
            )  # asked once more: it is the same
        lines.append(f"two in a row: {seen}")
        asking = False
        asker.join(20)
        settled = sum(" 200 " in line for line in answers)
        good = all(any(f" {status} " in line for status in (200, 503, 504)) for line in answers)
        lines.append(
            f"all answered {good}, each sent once "
            f"{settled <= len(self.backend.seen) == len(set(self.backend.seen))}"
        )
        self.assertEqual(
            lines,
            [
                "all False",
                "0: [1]",
                "1: [2]",
                "2: [3]",
                "cut: ['config_rejected']",
                "two in a row: 2",
                "all answered True, each sent once True",
            ],
        )

    def test_a_stop_in_the_middle_of_a_reading(self):
        self.file(t7=4)
        self.node.send_signal(signal.SIGHUP)
        self.node.send_signal(signal.SIGTERM)
        self.assertEqual(self.node.wait(20), 0)

    def test_a_restart_takes_the_file_as_it_is(self):
        """Nothing of a version is kept over a restart: the file is the state."""
        self.file(t7=4)
        with mock.patch.dict(os.environ, {"BALANCER_CONFIG": self.path}):
            place = start.config_from_environ(os.environ)
        self.assertEqual(
            (place.settings.tenants.shares["tenant-7"], len(place.settings.tenants)),
            (4.0, self.COUNT),
        )
        self.assertEqual(place.document["settings"]["customers"], [])


class Lists(unittest.TestCase):
    def test_a_long_list_is_read_in_steps_and_one_that_comes_after_a_move_is_not_told(self):
        """Discovery may move while it is read: told after that, it would stand in the list of the new place."""
        whole = {
            "index": 7,
            "snapshot": True,
            "endpoints": [{"name": f"b{n}"} for n in range(9000)],
        }
        heard = []
        follower = DiscoveryClient(
            "127.0.0.1:1", mock.Mock(tell=lambda event: heard.append(event.document))
        )
        follower._tell(json.dumps(whole).encode())
        self.assertEqual(heard, [whole])
        gevent.spawn(follower.stop)  # runs as soon as a step is over
        with self.assertRaises(DiscoveryUnavailableError):
            follower._tell(json.dumps(whole).encode())
        self.assertEqual(heard, [whole])
