"""Start times of backends are told by wall clocks, which may be stepped; slow start is real time."""

import unittest

from tests.support.scene import MS, StateMachineHarness, entry

NAMES = [f"b{n}" for n in range(4)]
SLOW_START_MS = 8000
HOUR_MS = 3600000
STEPS_MS = (-HOUR_MS, -20000, 20000, HOUR_MS)
INTERVAL_MS = 2  # between two requests
ANSWER_MS = 1
WINDOW_MS = 2000
PLAIN_START_MS = 10000  # the harness begins here


class StartTimes(unittest.TestCase):
    def harness(self, *entries):
        harness = StateMachineHarness([*NAMES, *entries], slow_start_overload=1.5)
        self.requests(harness, 1000)
        return harness

    def requests(self, harness, for_ms, name="b9"):
        """Sends requests that are answered at once; returns how many went to `name`."""
        end, count = harness.now + for_ms * MS, 0
        while harness.now < end:
            harness.lines = []
            harness.send_request("c")
            if any(" Connect " in line for line in harness.lines):
                harness.connect_upstream()
            harness.after(ANSWER_MS)
            for link in [each for each in harness.links if each.attempt is not None]:
                count += link.backend.name == name
                harness.reply(link=harness.links.index(link))
            harness.response_sent("c")
            harness.after(INTERVAL_MS - ANSWER_MS)
        return count

    def sent_after_start(self, step_ms, name="b9", known=()):
        """Requests in the first seconds of a process that starts as the clock is off by `step_ms`."""
        harness = self.harness(*known)
        since_ms = harness.now // MS + step_ms
        harness.update_endpoints([entry(name, since_ms=since_ms)], index=2, whole=False)
        return self.requests(harness, WINDOW_MS, name)

    def test_process_that_starts_is_cold_whatever_the_wall_clock_says(self):
        expected = self.sent_after_start(0)
        for step_ms in STEPS_MS:
            with self.subTest(step_ms=step_ms):
                self.assertLessEqual(self.sent_after_start(step_ms), expected)

    def test_process_that_starts_again_is_cold_whatever_the_wall_clock_says(self):
        known = (entry("b9", since_ms=PLAIN_START_MS - 9000),)
        expected = self.sent_after_start(0, known=known)
        for step_ms in STEPS_MS:
            with self.subTest(step_ms=step_ms):
                self.assertLessEqual(self.sent_after_start(step_ms, known=known), expected)

    def test_slow_start_ends_in_real_time_whatever_the_wall_clock_says(self):
        for step_ms in (0, *STEPS_MS):
            with self.subTest(step_ms=step_ms):
                harness = self.harness()
                since_ms = harness.now // MS + step_ms
                harness.update_endpoints([entry("b9", since_ms=since_ms)], index=2, whole=False)
                self.requests(harness, SLOW_START_MS)
                warm_share = self.requests(harness, 1000) / (1000 / INTERVAL_MS)
                self.assertGreater(warm_share, 0.8 / (len(NAMES) + 1))

    def test_list_of_starts_in_the_future_is_compared_with_its_newest(self):
        step_ms = HOUR_MS
        harness = StateMachineHarness(
            [entry(name, since_ms=PLAIN_START_MS - 9000 + step_ms) for name in NAMES]
            + [entry("b9", since_ms=PLAIN_START_MS + step_ms)]
        )
        counts = self.requests(harness, 1000), 1000 / INTERVAL_MS
        self.assertLess(counts[0] / counts[1], 1 / (len(NAMES) + 1))
        self.assertGreater(self.requests(harness, 1000, "b0"), 5)
