"""Settings at SIGHUP: taken whole or turned down whole."""

import copy

import pytest

from millweir.settings import check_again

START = {
    "balancers": 2,
    "grades": [
        {"name": "gold", "objective-us": 200000, "give-up-us": 900000, "semantics": "pure"},
        {"name": "iron", "objective-us": 300000, "give-up-us": 1200000, "semantics": "side_effect"},
    ],
    "ceilings": {"max-attempts": 3, "cancel": True},
    "obligations": {"drain-grace-us": 500000},
}


def changed(how):
    given = copy.deepcopy(START)
    how(given)
    return given


def test_a_whole_file_with_new_changed_and_vanished_profiles_is_taken():
    def how(given):
        given["grades"][0]["semantics"] = "side_effect"  # stricter
        given["grades"][1] = {
            "name": "iron-v2",
            "objective-us": 250000,
            "give-up-us": 800000,
            "semantics": "token",
        }
        given["ceilings"]["max-attempts"] = 1

    check_again(changed(how), START)


@pytest.mark.parametrize(
    "how",
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
def test_a_file_that_lacks_a_key_or_has_no_number_above_0_is_turned_down(how):
    with pytest.raises(ValueError):
        check_again(changed(how), START)


def test_no_object_is_turned_down():
    for given in (None, [], "settings", 0):
        with pytest.raises(ValueError):
            check_again(given, START)
