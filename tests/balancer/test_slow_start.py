"""The slow start budget of one cold backend, shared by many nodes.

The scenario is that of experiments/cold/budget.py, which has more nodes and seeds and prints the figures. N
is the number of attempts that the settings allow in the time in which a cold backend is overloaded.
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


class SlowStartBudget(unittest.TestCase):
    def worst_ratio(self, nodes, initial_count, case, seed=1, **play):
        """Returns the worst ratio of attempts in a window to N + 2 x root of N + 2.

        `initial_count` is N in the first window.
        """
        pace = budget.pace(initial_count, HARSH)
        sent = budget.Fleet(nodes, pace, seed, HARSH, case, **play).play()
        self.assertTrue(sent, f"{nodes} nodes sent nothing to the cold backend")
        return HARSH.worst(sent, pace, HARSH.bears)[0]

    def test_all_nodes_together_keep_the_budget(self):
        for nodes, initial_count, case in (
            (5, 4, "told"),
            (20, 4, "told"),
            (30, 4, "told"),
            (20, 2, "told"),
            (30, 2, "started"),
            (5, 4, "started"),
            (20, 4, "started"),
        ):
            with self.subTest(nodes=nodes, initial_count=initial_count, case=case):
                self.assertLess(self.worst_ratio(nodes, initial_count, case), 1)

    def test_budget_is_exceeded_if_nodes_do_not_divide_it(self):
        self.assertGreater(self.worst_ratio(20, 4, "undivided"), 1)

    def test_attempts_saved_by_hundreds_of_nodes_fit_after_an_idle_period(self):
        """Attempts that nodes have saved up do not overload a cold backend.

        One at each of the 23 nodes that have it in their subset was 1.14 times what it can bear.
        """
        self.assertLess(self.worst_ratio(240, 2, "silence", load=0.2), 1)

    def test_all_backends_cold_without_quotas_still_receive_attempts(self):
        """With no answers and no quotas yet, no backend received anything for the whole slow start."""
        for nodes in (1, 20):
            fleet = budget.Fleet(nodes, 5.0, 1, MILD, "started", shares=False, all_cold=True)
            sent = fleet.play()
            self.assertGreater(len(sent), 5, f"attempts sent by {nodes} nodes")
            self.assertLess(MILD.worst(sent, 5.0, MILD.bears)[0], 1)


if __name__ == "__main__":
    unittest.main()
