"""Tests of the messages about invalid settings, and of the attributes of their error."""

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
# Path to the setting, its value, and the complete message.
MESSAGES = (
    (("offerings",), None, "settings.offerings is missing"),
    (("offerings",), [], "settings.offerings is []; expected a non-empty list of objects"),
    (("offerings",), [ROW, ROW], "settings.offerings has a duplicate name; expected unique names"),
    (
        ("offerings", 0, "hardLimitUs"),
        0,
        "settings.offerings.0.hardLimitUs is 0; expected a number above 0",
    ),
    (
        ("offerings", 1, "idempotency"),
        "x",
        "settings.offerings.1.idempotency is 'x'; expected one of free, guarded, single_shot",
    ),
    (("me",), -1, "settings.me is -1; expected a whole number of 0 or more"),
    (("siblings",), True, "settings.siblings is True; expected a whole number of 1 or more"),
    (("limits", "probes"), 1, "settings.limits.probes is 1; expected true or false"),
    (("loadInfo",), 3, "settings.loadInfo.via cannot be read from 3; expected an object"),
    (("membershipMode",), "x", "settings.membershipMode is 'x'; expected one of push, ask"),
    (
        ("contract", "extraFloor"),
        3,
        "settings.contract.extraFloor requires settings.contract.lookBackUs, which is missing",
    ),
    (("customers",), "x", "settings.customers is 'x'; expected a list of objects"),
    (("customers",), [3], "settings.customers.0 is 3; expected an object with a name"),
    (
        ("customers",),
        [{"name": "t", "quotaPerS": -1}],
        "settings.customers.0.quotaPerS is -1; expected a number of 0 or more",
    ),
)


class InvalidSettingsMessages(unittest.TestCase):
    """Each case is a valid document in which one value is replaced."""

    def test_complete_messages(self):
        """Guards against unintended changes: operators and their scripts read these messages."""
        for (*parent_keys, last_key), value, message in MESSAGES:
            settings = copy.deepcopy(SETTINGS)
            parent = settings
            for key in parent_keys:
                parent = parent[key]
            parent[last_key] = value
            with self.assertRaises(InvalidSettingsError) as caught:
                settings_from(settings)
            self.assertEqual(str(caught.exception), message)
            self.assertTrue(message.startswith(caught.exception.path))

    def test_error_has_path_value_and_expected(self):
        """Guards against an error that its callers don't catch.

        Some catch the errors of the package, others ValueError.
        """
        with self.assertRaises(PiergladeError) as caught:
            settings_from({**SETTINGS, "me": -1})
        error = caught.exception
        self.assertIsInstance(error, ValueError)
        self.assertEqual(
            (error.path, error.value, error.expected),
            ("settings.me", -1, "a whole number of 0 or more"),
        )
