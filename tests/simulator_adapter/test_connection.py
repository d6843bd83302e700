"""Tests of the simulator adapter: a short session, malformed messages and internal errors."""

import io
import json
import subprocess
import sys

from pierglade.simulator_adapter.connection import SimulatorConnection
from pierglade.simulator_adapter.messages import WireFormatError
from tests.support.scene import TraceTest

CONF = {
    "offerings": [
        {
            "name": "look",
            "idempotency": "free",
            "expectedTimeUs": 400000,
            "hardLimitUs": 1000000,
            "unknown": 1,
        },
        {
            "name": "pay",
            "idempotency": "single_shot",
            "expectedTimeUs": 400000,
            "hardLimitUs": 1000000,
        },
    ],
    "limits": {"mostTrips": 2, "mayCancel": True},
    "contract": {"coldUs": 8000050},
    "siblings": 2,
    "new": {},
}
BACKENDS = [
    {
        "backend": f"10.0.0.{n}:80",
        "status": "Ready",
        "cluster": 0,
        "zone": "z",
        "sinceUs": None,
        "powerHint": 1,
        "familyType": "box",
    }
    for n in (1, 2)
]
SESSION = [
    {"Sync": {"wallUs": 1000}},
    {"OverToYou": {}},
    {"Sync": {"wallUs": 2000}},
    {"Boot": {"who": "node_1", "seed": 7, "conf": CONF}},
    {"Census": {"ref": 0, "entries": BACKENDS}},
    {"Discovery": {"who": "node_1", "ref": 0, "gen": 1, "scope": "restored"}},
    {"OverToYou": {}},
    {"Sync": {"wallUs": 7050}},
    {
        "Incoming": {
            "who": "node_1",
            "call": 11,
            "marks": 0,
            "leftUs": 500099,
            "item": None,
            "grade": "look",
            "party": None,
            "hintUs": None,
            "odd": True,
        }
    },
    {"Incoming": {"who": "node_1", "call": 12, "marks": 0, "leftUs": 500099, "grade": "pay"}},
    {"OverToYou": {}},
    {"Sync": {"wallUs": 12000}},
    {
        "Completed": {
            "who": "node_1",
            "call": 11,
            "sendNo": 0,
            "backend": "10.0.0.1:80",
            "reason": "unreachable",
            "durationUs": 4950,
            "doneFlag": False,
            "gauge": None,
        }
    },
    {
        "Completed": {
            "who": "node_1",
            "call": 12,
            "sendNo": 0,
            "backend": "10.0.0.1:80",
            "reason": "broken",
            "durationUs": 4950,
            "doneFlag": False,
            "gauge": None,
        }
    },
    {"ClientGone": {"who": "node_1", "call": 99}},
    {"Ring": {"who": "node_1", "mark": "forgotten"}},
    {"OverToYou": {}},
    {"Sync": {"wallUs": 17000}},
    {"ClientGone": {"who": "node_1", "call": 11}},
    {"OverToYou": {}},
    {"Sync": {"wallUs": 18000}},
    {"Kill": {"who": "node_1"}},
    {
        "Completed": {
            "who": "node_1",
            "call": 11,
            "sendNo": 1,
            "backend": "10.0.0.2:80",
            "reason": "withdrawn",
            "durationUs": 10,
            "doneFlag": True,
            "gauge": None,
        }
    },
    {"OverToYou": {}},
]


def run_session(messages):
    output = io.BytesIO()
    connection = SimulatorConnection(output)
    for message in messages:
        connection.receive(json.dumps(message).encode())
    return output.getvalue().decode().splitlines()


class Session(TraceTest):
    """Messages in, messages out."""

    def test_session_of_two_requests_matches_trace(self):
        """Unknown fields, requests and timers are ignored; messages after a kill have no effect."""
        self.check("session", run_session(SESSION))

    def test_malformed_messages_are_rejected(self):
        """Invalid JSON, unknown messages and missing fields raise WireFormatError."""
        for line in (
            b"{",
            b"[]",
            b"3",
            b'{"Sync":{"wallUs":1},"OverToYou":{}}',
            b'{"Surprise":{}}',
            b'{"Sync":{}}',
            b'{"Sync":3}',
            b'{"Discovery":{"ref":0}}',
        ):
            with self.subTest(line), self.assertRaises(WireFormatError):
                SimulatorConnection(io.BytesIO()).receive(line)

    def test_malformed_message_ends_process(self):
        """The process exits with status 2, no output and one line on standard error."""
        completed = subprocess.run(
            [sys.executable, "-m", "pierglade.simulator_adapter"],
            input=b'{"Surprise":{}}\n',
            capture_output=True,
            timeout=60,
        )
        self.assertEqual((completed.returncode, completed.stdout), (2, b""))
        self.assertEqual(len(completed.stderr.splitlines()), 1)

    def test_answer_while_no_backend_is_ready(self):
        """A division by the size of an empty fleet ended the process with all of its instances."""
        address = {"who": "node_1", "call": 12, "sendNo": 0, "backend": "10.0.0.1:80"}
        draining = [{**backend, "status": "Terminating"} for backend in BACKENDS]
        messages = [
            *SESSION[:11],
            {"Sync": {"wallUs": 12000}},
            {"Census": {"ref": 1, "entries": draining}},
            {"Discovery": {"who": "node_1", "ref": 1, "gen": 2, "scope": "update"}},
            {"OverToYou": {}},
            {
                "Completed": {
                    **address,
                    "reason": "success",
                    "durationUs": 4950,
                    "doneFlag": True,
                    "gauge": None,
                }
            },
            {"OverToYou": {}},
        ]
        self.assertEqual(run_session(messages)[-1], '{"Done":{}}')

    def test_decision_error_reports_instance_failure(self):
        """An exception in a balancer is reported as a GiveIn message instead of ending the process."""
        connection = SimulatorConnection(io.BytesIO())
        for message in SESSION[:7]:
            connection.receive(json.dumps(message).encode())
        connection.instances["node_1"].balancer.next_decision = lambda now: 1 / 0
        connection.output = io.BytesIO()
        for message in SESSION[7:11]:
            connection.receive(json.dumps(message).encode())
        self.assertIn(b"GiveIn", connection.output.getvalue())
