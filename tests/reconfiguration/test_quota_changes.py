"""Tests of quota changes: parsed in steps, compared, and applied in place or rejected as a whole."""

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
from pierglade.reconfiguration import document_reader, quota_changes
from pierglade.settings.validation import InvalidSettingsError
from pierglade.tenants.registry import (
    GENERATION_SPAN,
    QuotaDelta,
    RunningMedian,
    TenantRegistry,
    VersionConflictError,
)
from tests.proxy import test_sockets as test_net
from tests.support.scene import StateMachineHarness, TraceTest, balancer_settings

TEXTS = ("a", "}", '{"', "},{", '\\"}', "]", '"},{"name":"x"', "é\u2028", "\\", ",")


def random_value(rng, depth):
    kind = rng.randrange(6 if depth else 3)
    if kind < 3:
        return (
            rng.randrange(10**6),
            "".join(rng.choices(TEXTS, k=rng.randrange(6))),
            None,
        )[kind]
    if kind == 3:
        return {
            f"{rng.choice(TEXTS)}{n}": random_value(rng, depth - 1) for n in range(rng.randrange(9))
        }
    return [random_value(rng, depth - 1) for _ in range(rng.randrange(30))]


def random_customers(rng, count):
    return [
        {
            "name": f"{rng.choice(TEXTS)}{n}",
            "quotaPerS": rng.choice((0, 3, 0.5, None)),
            "more": random_value(rng, 1),
        }
        for n in range(count)
    ]


def encoded(rng, document):
    """Returns the document as JSON, with varying white space and escapes."""
    return json.dumps(
        document,
        ensure_ascii=rng.random() < 0.5,
        indent=rng.choice((None, None, 1, 0)),
        separators=rng.choice(((",", ":"), (" ,\n", " : "))),
    ).encode()


def quota_delta(before, after):
    return start.run_to_end(quota_changes.compare_quotas(before, after))


class DocumentSteps(unittest.TestCase):
    """Documents parsed in steps, with chunks small enough for many cuts."""

    def test_steps_return_the_same_document_as_a_single_parse(self):
        """Guards against documents that are changed by where they are cut.

        Strings hold braces, brackets and quotes, so that many cuts are at wrong places.
        """
        rng = random.Random(8)
        max_steps = 0
        for count in range(200):
            rows = random_customers(rng, count)
            document = {
                "name": "n",
                "known": {"endpoints": random_value(rng, 2)},
                "more": random_value(rng, 3),
                "settings": {
                    "a": random_value(rng, 2),
                    "customers": rows,
                    "b": random_value(rng, 2),
                },
            }
            text = encoded(rng, document)
            with (
                mock.patch.object(document_reader, "CHUNK_BYTES", rng.choice((16, 50, 300))),
                mock.patch.object(document_reader, "MAX_UNSPLIT_BYTES", 40),
            ):
                steps, step_count = document_reader.read_document(text), 0
                while True:
                    try:
                        next(steps)
                    except StopIteration as stop:
                        parsed, quotas = stop.value
                        break
                    step_count += 1
            max_steps = max(max_steps, step_count)
            document["settings"]["customers"] = []
            self.assertEqual(parsed, document)
            self.assertEqual(quotas, {row["name"]: row["quotaPerS"] or 0 for row in rows})
        self.assertGreater(max_steps, 50)

    def test_truncated_or_malformed_text_is_rejected(self):
        """Guards against half a file being accepted because it was parsed in parts."""
        rng = random.Random(9)
        document = {
            "settings": {"customers": random_customers(rng, 9)},
            "known": {"endpoints": random_value(rng, 2)},
        }
        text = json.dumps(document).encode()
        with (
            mock.patch.object(document_reader, "CHUNK_BYTES", 20),
            mock.patch.object(document_reader, "MAX_UNSPLIT_BYTES", 40),
        ):
            for at in range(len(text)):
                with self.assertRaises(ValueError, msg=text[:at]):
                    start.run_to_end(document_reader.read_document(text[:at]))
            for malformed in (
                text.replace(b"}, {", b"} {", 1),
                text.replace(b"}, {", b"},, {", 1),
                text + b"}",
                text.replace(b'"name"', b'"n\xff"', 1),
            ):
                with self.assertRaises(ValueError, msg=malformed):
                    start.run_to_end(document_reader.read_document(malformed))

    def test_rows_under_the_same_key_elsewhere_are_not_customers(self):
        """Guards against other rows being taken for customers.

        They have the same key elsewhere in the document, or text that looks like it.
        """
        rows = [{"name": f"t{n}", "quotaPerS": n} for n in range(50)]
        other = {
            "customers": [{"of": 1}] * 20,
            "known": "customers",
            "text": '"customers": [{"name": "x"}]',
        }
        valid = {"settings": {"customers": rows}}
        decoys = (
            {"other": other, **valid},
            {**valid, "other": other},
            {"settings": {"a": other, "customers": rows}},
            {"customers": rows, "settings": {"b": 1}},
            {'a"customers': [1], **valid},
            {"settings": {"customers": None}, "other": other},
            {"a": ["customers", [{"b": "}"}]], **valid},
            {"settings": [other]},
            [other],
            {"settings": {"customers": []}, "known": {"endpoints": rows}},
        )
        for document in decoys:
            quotas = (
                {row["name"]: row["quotaPerS"] for row in rows}
                if "settings" in document
                and isinstance(document["settings"], dict)
                and document["settings"].get("customers")
                else {}
            )
            for chunk_bytes, max_unsplit_bytes in ((16, 40), (400, 40), (16, 10**6)):
                with (
                    mock.patch.object(document_reader, "CHUNK_BYTES", chunk_bytes),
                    mock.patch.object(document_reader, "MAX_UNSPLIT_BYTES", max_unsplit_bytes),
                ):
                    parsed, parsed_quotas = start.run_to_end(
                        document_reader.read_document(json.dumps(document, indent=1).encode())
                    )
                remaining = (
                    {**document, "settings": {**document["settings"], "customers": []}}
                    if quotas
                    else document
                )
                self.assertEqual((parsed, parsed_quotas), (remaining, quotas))

    def test_known_endpoints_can_be_left_out(self):
        """Guards against a reload that returns an endpoint list which no caller uses."""
        text = json.dumps(
            {"known": {"endpoints": [{"name": f"b{n}"} for n in range(5000)]}, "a": 1}
        ).encode()
        self.assertEqual(
            start.run_to_end(document_reader.read_document(text, with_known_endpoints=False)),
            ({"known": {}, "a": 1}, {}),
        )

    def test_error_has_the_index_of_an_invalid_customer(self):
        """Guards against an index that is counted from the start of a chunk."""
        good = {"name": "t", "quotaPerS": 1}
        for rows, path in (
            ([good, {"quotaPerS": 1}], "customers.1 "),
            ([good] * 3000 + [3], "customers.3000 "),
            ([{**good, "quotaPerS": -1}], "customers.0.quotaPerS"),
            ([good] * 2999 + [{**good, "quotaPerS": "3"}], "customers.2999.quotaPerS"),
            ([{**good, "quotaPerS": True}], "customers.0.quotaPerS"),
            ("t", "customers "),
        ):
            with self.assertRaisesRegex(InvalidSettingsError, f"settings.{path}"):
                start.run_to_end(
                    document_reader.read_document(
                        json.dumps({"settings": {"customers": rows}}).encode()
                    )
                )


class QuotaTables(unittest.TestCase):
    """Tables of quotas, their differences, and the state of tenants with traffic."""

    def test_delta_turns_one_table_into_the_other(self):
        """Guards against changes that are lost between two steps of the comparison."""
        rng = random.Random(3)
        with mock.patch.object(quota_changes, "BATCH_SIZE", 7):
            for _ in range(200):
                one, other = (
                    {f"t{rng.randrange(60)}": float(rng.randrange(3)) for _ in range(40)}
                    for _ in range(2)
                )
                table = TenantRegistry(one)
                delta = quota_delta(table, other)
                self.assertEqual(
                    len(delta), sum(one.get(name) != other.get(name) for name in {*one, *other})
                )
                table.apply(delta)
                self.assertEqual(
                    (table.quotas, table.total, len(table)),
                    (other, sum(other.values()), len(other)),
                )

    def test_delta_for_another_version_changes_nothing(self):
        """Guards against partly applied deltas.

        A delta may be lost, duplicated or reordered, or based on an unknown version.
        """
        table = TenantRegistry({"a": 1.0, "b": 2.0})
        first = quota_delta(table, {"a": 5.0, "b": 2.0})
        later = QuotaDelta(1, 2, {"c": 1.0}, ("b",))
        for delta in (later, QuotaDelta(7, 8, {"a": 9.0})):
            with self.assertRaises(VersionConflictError):
                table.apply(delta)  # the first delta is lost or delayed
        self.assertEqual((table.quotas, table.version), ({"a": 1.0, "b": 2.0}, 0))
        table.apply(first)
        with self.assertRaises(VersionConflictError):
            table.apply(first)  # duplicate
        table.apply(later)
        self.assertEqual((table.quotas, table.total, table.version), ({"a": 5.0, "c": 1.0}, 6.0, 2))

    def test_only_tenants_with_traffic_have_state(self):
        """Guards against memory growing with the number of tenants that ever sent a request."""
        table = TenantRegistry({f"t{n}": 1.0 for n in range(50000)})
        for n in range(300):
            self.assertIs(table.tenant(f"t{n}", n), table.tenant(f"t{n}", n))
        self.assertIsNone(table.tenant("nobody", 300))
        one = table.tenant("t7", 300)
        one.rate = 5.0
        for now in range(GENERATION_SPAN // 2, 5 * GENERATION_SPAN, GENERATION_SPAN // 2):
            self.assertIs(table.tenant("t7", now), one)  # it keeps sending requests
        self.assertEqual([*table.current_generation, *table.previous_generation], ["t7"])
        self.assertEqual(table.tenant("t8", now).rate, 0.0)

    def test_tenant_state_is_kept_when_quotas_change(self):
        """Guards against rate or slowness being reset, and against changes to accepted requests."""
        table = TenantRegistry({"a": 1.0, "b": 2.0})
        tenants = [table.tenant(name, 0) for name in "ab"]
        tenants[0].rate, tenants[1].slowness = 7.0, 3.0
        table.apply(quota_delta(table, {"a": 4.0}))
        self.assertEqual(
            [
                (tenant.quota_per_second, tenant.rate)
                for tenant in (tenants[0], table.tenant("a", 1))
            ],
            [(1.0, 7.0), (4.0, 7.0)],
        )
        self.assertIsNone(table.tenant("b", 1))
        later = TenantRegistry({"a": 9.0, "c": 1.0})
        later.take_over_state(table)
        self.assertEqual(
            [
                (tenant.quota_per_second, tenant.rate)
                for tenant in (table.tenant("a", 1), later.tenant("a", 1))
            ],
            [(4.0, 7.0), (9.0, 7.0)],
        )

    def test_running_median(self):
        """Compares the median with one computed from all values within the span."""
        rng = random.Random(5)
        median, recorded, now = RunningMedian(50), {}, 0
        self.assertIsNone(median.median(0))
        for _ in range(3000):
            now += rng.randrange(4) if rng.random() < 0.99 else 60
            name, value = rng.randrange(40), rng.choice((1.0, 2.0, rng.random()))
            median.add(now, name, value)
            recorded[name] = now, value
            later = now + rng.randrange(3)
            values = sorted(value for at, value in recorded.values() if later - at < 50)
            self.assertEqual(
                median.median(later), values[(len(values) - 1) // 2] if values else None
            )
            now = later


class QuotaChangesInNode(unittest.TestCase):
    """The state machine of a node, and requests pending from before a change."""

    def setUp(self):
        self.harness = StateMachineHarness(tenants=TenantRegistry({"north": 20.0, "south": 500.0}))
        self.state_machine = self.harness.state_machine
        self.state_machine.reconfiguration.raw_settings = {"customers": []}
        self.first = self.state_machine.balancers.current

    def configure(self, quotas, settings=None, delta=None, **changed):
        table = self.state_machine.balancers.settings.tenants
        self.harness.handle_event(
            ConfigurationLoaded(
                "",
                {"settings": settings or {"customers": []}},
                balancer_settings(tenants=TenantRegistry(quotas), **changed),
                delta or quota_delta(table, quotas),
            ),
        )

    def send_request(self, name, tenant, path="/look"):
        self.harness.send_request(name, path, headers=f"X-Customer: {tenant}\r\n")
        return self.harness.clients[name].request

    def test_one_quota_changes(self):
        """Guards against a changed quota resetting the balancer.

        Accepted requests keep the quota they came with.
        """
        before = self.send_request("c0", "north", "/pay")
        self.first.outliers.latency_level[0] = 1.7
        self.configure({"north": 5.0, "south": 500.0})
        after = self.send_request("c1", "north")
        self.assertEqual(
            [before.tenant.quota_per_second, after.tenant.quota_per_second], [20.0, 5.0]
        )
        self.assertEqual(
            [before.owner, after.owner, self.state_machine.balancers.earlier],
            [self.first, self.first, []],
        )
        self.assertEqual(
            (self.first.outliers.latency_level[0], self.first.rotation.request_rate),
            (1.7, 505.0 / 10000),
        )
        self.assertEqual(self.first.limit.demand, self.first.rotation.request_rate)
        self.assertEqual(after.tenant.rate, 2.0)

    def test_quota_is_removed_while_requests_are_pending(self):
        """Guards against pending requests being left unanswered when their tenant is removed.

        They keep the quota they came with; later requests have no tenant.
        """
        earlier = [self.send_request(f"c{n}", "south") for n in range(40)]
        self.configure({"north": 20.0})
        later = [self.send_request(f"d{n}", "south") for n in range(5)]
        self.assertEqual(
            {each.tenant and each.tenant.quota_per_second for each in earlier}, {500.0}
        )
        self.assertEqual({each.tenant for each in later}, {None})
        self.harness.after(2000)
        self.assertEqual({each.completed for each in earlier + later}, {True})

    def test_successive_changes_back_to_the_first_quotas(self):
        """Guards against a change that is lost, or counted although nothing differs."""
        for quotas in (
            {"north": 5.0, "south": 500.0},
            {"north": 6.0, "west": 1.0},
            {"north": 20.0, "south": 500.0},
        ):
            self.configure(quotas)
            self.assertEqual(self.state_machine.balancers.settings.tenants.quotas, quotas)
        self.assertEqual(
            (
                self.state_machine.balancers.settings.tenants.version,
                self.state_machine.balancers.current,
            ),
            (3, self.first),
        )
        self.configure({"north": 20.0, "south": 500.0})  # duplicate: nothing changes
        self.assertEqual(
            (
                self.state_machine.balancers.settings.tenants.version,
                self.state_machine.balancers.current,
            ),
            (3, self.first),
        )

    def test_stale_delta_is_replaced_by_all_settings(self):
        """Guards against a delta for another version being partly applied, or lost."""
        stale = quota_delta(
            self.state_machine.balancers.settings.tenants, {"north": 5.0, "south": 500.0}
        )
        self.configure({"north": 6.0, "south": 500.0})
        self.configure({"north": 5.0, "south": 7.0, "west": 1.0}, delta=stale)
        self.assertEqual(
            self.state_machine.balancers.settings.tenants.quotas,
            {"north": 5.0, "south": 7.0, "west": 1.0},
        )
        self.assertIsNot(self.state_machine.balancers.current, self.first)

    def test_first_and_last_quota_replace_the_balancer(self):
        """Guards against a limit that was learned with quotas being used without, or vice versa."""
        self.configure({})
        self.assertIsNot(self.state_machine.balancers.current, self.first)
        self.assertFalse(self.state_machine.balancers.current.rotation.has_quotas)
        second = self.state_machine.balancers.current
        self.configure({"north": 0.0})  # a tenant without a quota changes nothing
        self.assertIs(self.state_machine.balancers.current, second)
        self.configure({"north": 3.0})
        self.assertTrue(self.state_machine.balancers.current.rotation.has_quotas)

    def test_settings_and_quotas_change_together(self):
        """Guards against rates of tenants being lost when a change replaces the balancer.

        The earlier balancer completes the requests that it accepted.
        """
        before = self.send_request("c0", "north", "/pay")
        self.configure({"north": 5.0}, {"customers": [], "more": 1}, max_attempts=1)
        after = self.send_request("c1", "north")
        self.assertEqual(
            [before.owner, after.owner], [self.first, self.state_machine.balancers.current]
        )
        self.assertIsNot(self.first, self.state_machine.balancers.current)
        self.assertEqual([after.tenant.quota_per_second, after.tenant.rate], [5.0, 2.0])


class QuotaChangesOnSockets(TraceTest):
    """A node started like in production, with a file long enough to be parsed in steps."""

    setUp, tearDown = test_net.Sockets.setUp, test_net.Sockets.tearDown
    configure, events = test_net.Sockets.configure, test_net.Sockets.events
    serve, ask = test_net.Sockets.serve, test_net.Sockets.ask
    settings, COUNT = test_net.LONG_SETTINGS, 8000

    def write_file(self, **quotas):
        rows = [
            {"name": f"tenant-{n}", "quotaPerS": quotas.get(f"t{n}", 3)} for n in range(self.COUNT)
        ]
        text = json.dumps({**self.config, "settings": {**self.settings, "customers": rows}})
        with tempfile.NamedTemporaryFile("w", dir=self.folder.name, delete=False) as file:
            file.write(text)
        os.replace(file.name, self.path)
        return text

    def reload(self, times=1, until="config_reloaded"):
        for _ in range(times):
            self.node.send_signal(signal.SIGHUP)
        return [line for line in self.events(until) if line["event"] in ("settings_applied", until)]

    def test_quotas_change_while_clients_send(self):
        """Guards against files that are applied in part, and against lost or repeated requests.

        A client sends requests all the time, while files are replaced, truncated, and replaced
        twice in a row.
        """
        get = (
            b"GET /look/%d HTTP/1.1\r\n"
            + test_net.HOST
            + b"X-Customer: tenant-7\r\nX-Trace-Id: %d\r\n\r\n"
        )
        lines, answers, is_sending = [], [], True

        def client():
            number = 0
            while is_sending or number < 3:
                number += 1
                answers.extend(self.ask(get % (number, number)))

        sender = threading.Thread(target=client, daemon=True)
        sender.start()
        text = self.write_file()
        loaded = self.reload()  # not the settings of the start: all are replaced
        lines.append(f"all {'quotas' in loaded[0]}")
        for count, quotas in enumerate(({"t7": 4}, {"t7": 4, "t9": 5, "t11": 6}, {})):
            self.write_file(**quotas)
            lines.append(f"{count}: {[line['quotas'] for line in self.reload()[:-1]]}")
        self.configure(text[: len(text) * 2 // 3])
        lines.append(f"cut: {[line['event'] for line in self.reload(until='config_rejected')]}")
        self.write_file(t7=8)
        self.node.send_signal(signal.SIGHUP)
        self.write_file(t7=8, t8=9)
        self.node.send_signal(signal.SIGHUP)
        changed = 0
        while changed < 2:
            changed += sum(
                line.get("quotas", 0) for line in self.reload()[:-1]
            )  # repeated reload: the file is the same
        lines.append(f"two in a row: {changed}")
        is_sending = False
        sender.join(20)
        served = all(" 200 " in line for line in answers)
        once = len(answers) == len(self.backend.seen) == len(set(self.backend.seen))
        lines.append(f"all served {served}, each sent once {once}")
        self.assertEqual(
            lines,
            [
                "all False",
                "0: [1]",
                "1: [2]",
                "2: [3]",
                "cut: ['config_rejected']",
                "two in a row: 2",
                "all served True, each sent once True",
            ],
        )

    def test_stop_while_a_file_is_read(self):
        """Guards against a node that doesn't stop because SIGTERM arrives between two steps."""
        self.write_file(t7=4)
        self.node.send_signal(signal.SIGHUP)
        self.node.send_signal(signal.SIGTERM)
        self.assertEqual(self.node.wait(20), 0)

    def test_restart_reads_the_current_file(self):
        """Guards against a version that outlives the process: after a restart the file is the state."""
        self.write_file(t7=4)
        with mock.patch.dict(os.environ, {"BALANCER_CONFIG": self.path}):
            config = start.config_from_environ(os.environ)
        self.assertEqual(
            (config.settings.tenants.quotas["tenant-7"], len(config.settings.tenants)),
            (4.0, self.COUNT),
        )
        self.assertEqual(config.document["settings"]["customers"], [])


class EndpointLists(unittest.TestCase):
    """Endpoint lists that are long enough to be parsed in steps."""

    def test_long_list_is_read_in_steps_and_dropped_if_discovery_changes(self):
        """Guards against a list of the previous discovery being taken for one of the next.

        The address of discovery changes between two steps in which the list is parsed.
        """
        document = {
            "index": 7,
            "snapshot": True,
            "endpoints": [{"name": f"b{n}"} for n in range(9000)],
        }
        received = []
        client = DiscoveryClient(
            "127.0.0.1:1", mock.Mock(handle_event=lambda event: received.append(event.document))
        )
        client._report(json.dumps(document).encode())
        self.assertEqual(received, [document])
        gevent.spawn(client.stop)  # runs after the current step
        with self.assertRaises(DiscoveryUnavailableError):
            client._report(json.dumps(document).encode())
        self.assertEqual(received, [document])
