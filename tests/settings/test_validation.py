"""Messages about settings that cannot be used, and the fields of their error."""

import copy
import unittest

from pierglade.errors import PiergladeError
from pierglade.settings.platform import settings_from
from pierglade.settings.validation import InvalidSettingsError

ROW = {"name": "a", "idempotency": "free", "expectedTimeUs": 1000, "hardLimitUs": 9000}
SETTINGS = {
    "offerings": [ROW, {**ROW, "name": "b"}],
    "me": 0,
    "siblings": 1,
    "limits": {"mostTrips": 3},
    "contract": {},
}
# Path to the setting, its value, and the message of commit 13653db, word for word.
MESSAGES = (
    (("offerings",), None, "settings.offerings is missing"),
    (("offerings",), [], "settings.offerings is [], no list of rows"),
    (("offerings",), [ROW, ROW], "settings.offerings holds a name twice"),
    (("offerings", 0, "hardLimitUs"), 0, "settings.offerings.0.hardLimitUs is 0, no figure over 0"),
    (
        ("offerings", 1, "idempotency"),
        "x",
        "settings.offerings.1.idempotency is 'x', none of free, guarded, single_shot",
    ),
    (("me",), -1, "settings.me is -1, no whole number from 0 on"),
    (("siblings",), True, "settings.siblings is True, no whole number from 1 on"),
    (("limits", "probes"), 1, "settings.limits.probes is 1, neither true nor false"),
    (("loadInfo",), 3, "settings.loadInfo.via stands in 3, no object"),
    (("membershipMode",), "x", "settings.membershipMode is 'x', none of push, ask"),
    (
        ("contract", "extraFloor"),
        3,
        "settings.contract.extraFloor stands without lookBackUs",
    ),
    (("customers",), "x", "settings.customers is 'x', no list of rows"),
    (("customers",), [3], "settings.customers.0 is 3, no tenant with a name"),
    (
        ("customers",),
        [{"name": "t", "quotaPerS": -1}],
        "settings.customers.0.quotaPerS is -1, no figure from 0 on",
    ),
)


class InvalidSettings(unittest.TestCase):
    """Settings with one value replaced."""

    def test_messages_stay_word_for_word(self):
        """Operators and their scripts read these lines."""
        for (*way, last), value, message in MESSAGES:
            settings = copy.deepcopy(SETTINGS)
            parent = settings
            for key in way:
                parent = parent[key]
            parent[last] = value
            with self.assertRaises(InvalidSettingsError) as caught:
                settings_from(settings)
            self.assertEqual(str(caught.exception), message)
            self.assertTrue(message.startswith(caught.exception.place))

    def test_error_carries_place_value_and_expected(self):
        """It is one of the package's errors, and still a ValueError for callers that catch that."""
        with self.assertRaises(PiergladeError) as caught:
            settings_from({**SETTINGS, "me": -1})
        error = caught.exception
        self.assertIsInstance(error, ValueError)
        self.assertEqual(
            (error.place, error.value, error.expected),
            ("settings.me", -1, "no whole number from 0 on"),
        )
