"""Parses and validates the settings: unknown keys are ignored, absent ones get neutral defaults."""

from __future__ import annotations

import math
from typing import Any

from millweir.interface import Effect, Profile, Settings, Tenant
from millweir.required_keys import Shape, check_shape

EFFECT_BY_SEMANTICS = {
    "pure": Effect.IDEMPOTENT,
    "token": Effect.IDEMPOTENT_BY_KEY,
    "side_effect": Effect.NON_IDEMPOTENT,
}


def parse_settings(given: dict[str, Any]) -> Settings:
    """Convert the settings object, as decoded from JSON, into Settings."""
    ceilings = given.get("ceilings") or {}
    family = given.get("family-info") or {}
    rules = given.get("obligations") or {}
    skus = tuple(given.get("skus") or ())
    report = given.get("report") or {}
    profiles = tuple(
        Profile(
            name=grade.get("name", ""),
            value=grade.get("credit", 1.0),
            target_latency=grade["objective-us"] * 1000,
            lifetime=grade["give-up-us"] * 1000,
            value_floor=grade.get("late-share", 0.0),
            effect=EFFECT_BY_SEMANTICS[grade.get("semantics", "side_effect")],
            dedup_window=(grade.get("dedup-window-us") or 0) * 1000,
            dedup_per_zone=grade.get("key-scope", "all") != "all",
            in_order=bool(grade.get("one-at-a-time", False)),
            kinds=frozenset(skus.index(kind) if kind in skus else -1 for kind in grade.get("kinds") or ()),
        )
        for grade in given["grades"]
    )
    customers = given.get("customers") or ()
    tenants = tuple(Tenant(row.get("name", ""), row.get("quota-rps") or 0.0) for row in customers)
    source = given.get("weight-source", "silent")
    return Settings(
        relays=given.get("balancers", 1),
        profiles=profiles,
        tenants=tenants,
        zone=given.get("locality", 0),
        zones=tuple(given.get("localities") or ()),
        kinds=skus,
        period=(given.get("period-us") or 0) * 1000,
        slots=family.get("slots", 1),
        max_open=ceilings.get("max-open", 0),
        max_trips=ceilings.get("max-attempts", 1),
        cancel=bool(ceilings.get("cancel", False)),
        retry_after=bool(ceilings.get("retry-after", False)),
        max_retry_after=(ceilings.get("max-retry-after-us") or 0) * 1000,
        idle_close=(ceilings.get("idle-close-us") or 0) * 1000,
        connect_timeout=(ceilings.get("connect-timeout-us") or 0) * 1000,
        value_halves=family.get("late") == "by_half",
        allow_second_copies=bool(ceilings.get("second-copies", False)),
        max_batch_packets=tuple(family.get("bundle-max") or ()),
        has_own_limit=tuple(family.get("kind-apart") or ()),
        over_quota_value=given.get("over-share-worth", 1.0),
        polls_host_list=given.get("membership-mode") == "ask",
        host_list_poll_interval=(rules.get("must-ask-in-us") or 0) * 1000,
        rates_listed=source in ("nominal", "rough"),
        rates_approximate=source == "rough",
        report_fields=tuple(report.get("fields") or ()),
        drain_grace=(rules.get("drain-grace-us") or 0) * 1000,
        answer_slack=(rules.get("answer-slack-us") or 0) * 1000,
        recovery_multiple=rules.get("fall-multiple", 0.0),
        recovery_window=(rules.get("fall-us") or 0) * 1000,
        initial_capacity=rules.get("cold-from", 1.0),
        recovery_time=(rules.get("cold-us") or 0) * 1000,
        key_quiet_period=(rules.get("key-quiet-us") or 0) * 1000,
        zone_fees=tuple(family.get("carriage") or ()),
    )


def make_fallback_profile(settings: Settings) -> Profile:
    """The profile for packets whose own is no longer in the settings, with the most cautious assumptions."""
    return Profile(
        name="",
        value=min(p.value for p in settings.profiles),
        target_latency=max(p.target_latency for p in settings.profiles),
        lifetime=max(p.lifetime for p in settings.profiles),
        value_floor=0.0,
        effect=Effect.NON_IDEMPOTENT,
        dedup_window=0,
        dedup_per_zone=False,
        in_order=True,
    )


def _is_positive_number(value: Any) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and math.isfinite(value) and value > 0


def validate_reloaded_settings(given: Any, required: Shape) -> None:
    """Validate settings read at SIGHUP, which are applied whole or not at all.

    Raises ValueError if they are not an object or empty; if a key is missing (`millweir/required_keys.py`);
    if there are no profiles (`grades`); if a lifetime, target latency or number of trips is not a number
    above 0.
    """
    if not isinstance(given, dict) or not given:
        raise ValueError("the settings are empty or not an object")
    check_shape(given, required, "settings")
    grades, ceilings = given.get("grades"), given.get("ceilings") or {}
    if not isinstance(grades, list) or not grades or not all(isinstance(grade, dict) for grade in grades):
        raise ValueError("the settings have no profiles (grades)")
    for grade in grades:
        for key in ("objective-us", "give-up-us"):
            if not _is_positive_number(grade.get(key)):
                raise ValueError(f"profile {grade.get('name')!r}: {key} is no number above 0")
    trips = ceilings.get("max-attempts", 1) if isinstance(ceilings, dict) else None
    if not _is_positive_number(trips):
        raise ValueError("ceilings.max-attempts is no number above 0")
