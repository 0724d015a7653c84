"""The service classes of the settings, by name, with the numbers under which the decisions know them.

A reload of the settings adds what is new or changed under new numbers, so that messages under way keep the
terms under which they were taken on.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from millweir.facade import DecisionEngine
from millweir.interface import Settings
from millweir.settings import make_fallback_profile


class ServiceClasses:
    """What clients may name in a request, and what an earlier life may have taken a message on under."""

    __slots__ = ("_by_name", "_by_number", "_engine", "_stand_in", "settings")

    def __init__(self, settings: Settings, engine: DecisionEngine[Any]) -> None:
        self.settings, self._engine = settings, engine
        self._by_name = {profile.name.encode(): at for at, profile in enumerate(settings.profiles)}
        self._by_number = list(settings.profiles)
        self._stand_in: int | None = None  # number of the class for messages of those listed no more

    def __contains__(self, name: bytes) -> bool:
        return name in self._by_name

    def __len__(self) -> int:
        return len(self._by_name)

    def number(self, name: bytes) -> int:
        """Its number; one that is listed no more is stood in for.

        Guards what an earlier settings file took on: it is still tried, as what may run only once.
        """
        number = self._by_name.get(name, self._stand_in)
        if number is None:
            stand_in = make_fallback_profile(self.settings)
            number = self._engine.update_settings(replace(self.settings, profiles=(stand_in,)))
            self._by_number.append(stand_in)
            self._stand_in = number
        return number

    def reload(self, settings: Settings) -> int:
        """Use these settings from now on; returns how many classes are new or changed."""
        self.settings = settings
        fresh = [profile for profile in settings.profiles if not self._is_known(profile)]
        first = self._engine.update_settings(replace(settings, profiles=tuple(fresh)))
        self._by_number += fresh
        names = [profile.name.encode() for profile in settings.profiles]
        kept = {name: self._by_name[name] for name in names if name in self._by_name}
        added = {profile.name.encode(): first + at for at, profile in enumerate(fresh)}
        self._by_name = kept | added
        return len(fresh)

    def _is_known(self, profile: Any) -> bool:
        number = self._by_name.get(profile.name.encode())
        return number is not None and self._by_number[number] == profile
