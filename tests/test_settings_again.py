"""Settings read at SIGHUP are applied whole or rejected whole."""

import copy

import pytest

from millweir.required_keys import read_shape
from millweir.settings import validate_reloaded_settings

START = {
    "balancers": 2,
    "grades": [
        {"name": "gold", "objective-us": 200000, "give-up-us": 900000, "semantics": "pure"},
        {"name": "iron", "objective-us": 300000, "give-up-us": 1200000, "semantics": "side_effect"},
    ],
    "ceilings": {"max-attempts": 3, "cancel": True},
    "obligations": {"drain-grace-us": 500000},
}


def changed(change):
    given = copy.deepcopy(START)
    change(given)
    return given


def test_settings_with_added_changed_and_removed_profiles_are_accepted():
    def change(given):
        given["grades"][0]["semantics"] = "side_effect"  # stricter
        given["grades"][1] = {
            "name": "iron-v2",
            "objective-us": 250000,
            "give-up-us": 800000,
            "semantics": "token",
        }
        given["ceilings"]["max-attempts"] = 1

    validate_reloaded_settings(changed(change), read_shape(START))


@pytest.mark.parametrize(
    "change",
    [
        lambda g: g.clear(),
        lambda g: g.pop("ceilings"),
        lambda g: g["ceilings"].pop("cancel"),
        lambda g: g["obligations"].pop("drain-grace-us"),
        lambda g: g.__setitem__("grades", []),
        lambda g: g["grades"][0].pop("give-up-us"),
        lambda g: g["grades"][1].pop("semantics"),
        lambda g: g["grades"][0].__setitem__("give-up-us", 0),
        lambda g: g["grades"][0].__setitem__("give-up-us", -5),
        lambda g: g["grades"][0].__setitem__("give-up-us", "900000"),
        lambda g: g["grades"][0].__setitem__("objective-us", True),
        lambda g: g["ceilings"].__setitem__("max-attempts", 0),
        lambda g: g["ceilings"].__setitem__("max-attempts", "three"),
        lambda g: g["ceilings"].__setitem__("max-attempts", float("nan")),
        lambda g: g.__setitem__("ceilings", [3]),
    ],
)
def test_settings_with_a_missing_key_or_an_invalid_number_are_rejected(change):
    with pytest.raises(ValueError):
        validate_reloaded_settings(changed(change), read_shape(START))


def test_settings_that_are_not_an_object_are_rejected():
    for given in (None, [], "settings", 0):
        with pytest.raises(ValueError):
            validate_reloaded_settings(given, read_shape(START))
