"""Many nodes and one cold backend: what it gets from all of them together keeps to its budget.

The play is that of experiments/cold/budget.py, which has more nodes and seeds and prints the figures. N is
what the settings allow in the time in which a cold backend falls over.
"""

import importlib.util
import pathlib
import sys
import unittest

PATH = pathlib.Path(__file__).parents[2] / "experiments" / "cold" / "budget.py"
SPEC = importlib.util.spec_from_file_location("cold_budget", PATH)
budget = sys.modules["cold_budget"] = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(budget)

MILD, HARSH = budget.SETTINGS["mild"], budget.SETTINGS["harsh"]


class ColdBudget(unittest.TestCase):
    def share(self, nodes, at_first, case, seed=1, **play):
        """The worst window's part of N + 2 x root of N + 2; `at_first`: N in the first one."""
        pace = budget.pace(at_first, HARSH)
        sent = budget.Fleet(nodes, pace, seed, HARSH, case, **play).play()
        self.assertTrue(sent, f"{nodes} nodes send it nothing")
        return HARSH.worst(sent, pace, HARSH.bears)[0]

    def test_it_holds_under_the_sum_of_all(self):
        for nodes, at_first, case in (
            (5, 4, "told"),
            (20, 4, "told"),
            (30, 4, "told"),
            (20, 2, "told"),
            (30, 2, "started"),
            (5, 4, "started"),
            (20, 4, "started"),
        ):
            with self.subTest(nodes=nodes, at_first=at_first, case=case):
                self.assertLess(self.share(nodes, at_first, case), 1)

    def test_it_does_not_if_nodes_do_not_divide_it(self):
        self.assertGreater(self.share(20, 4, "undivided"), 1)

    def test_what_hundreds_have_saved_up_is_borne_when_work_comes_back(self):
        """One trip saved up at each of the 23 nodes that see it was 1.14 times what it bears."""
        self.assertLess(self.share(240, 2, "silence", load=0.2), 1)

    def test_all_cold_and_no_shares_is_no_standstill(self):
        """Nothing settled yet and no share told: nothing was sent to any backend for all of the cold time."""
        for nodes in (1, 20):
            fleet = budget.Fleet(nodes, 5.0, 1, MILD, "started", shares=False, all_cold=True)
            sent = fleet.play()
            self.assertGreater(len(sent), 5, f"{nodes} nodes")
            self.assertLess(MILD.worst(sent, 5.0, MILD.bears)[0], 1)


if __name__ == "__main__":
    unittest.main()
