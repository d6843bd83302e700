"""A short soak with fixed seeds; the long one is started by hand: `python -m tests.soak.play SEED...`."""

import unittest

from tests.soak.play import Soak

SEEDS = range(1, 9)


class ShortSoak(unittest.TestCase):
    def test_no_rule_is_broken(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                soak = Soak(seed)
                self.assertEqual(soak.play(), [], sorted(soak.forms))
                self.assertTrue(any(each.status == 200 for each in soak.sent))
