"""Maps the service classes of the settings, by name, to the numbers that the decision engine knows them by.

A reload of the settings adds new and changed classes under new numbers, so that messages already accepted
keep the terms under which they were accepted.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from millweir.facade import DecisionEngine
from millweir.interface import Settings
from millweir.settings import make_fallback_profile


class ServiceClasses:
    """The classes that clients may name in a request, and those of messages accepted before a restart."""

    __slots__ = ("_by_name", "_by_number", "_engine", "_fallback_number", "settings")

    def __init__(self, settings: Settings, engine: DecisionEngine[Any]) -> None:
        self.settings, self._engine = settings, engine
        self._by_name = {profile.name.encode(): number for number, profile in enumerate(settings.profiles)}
        self._by_number = list(settings.profiles)
        self._fallback_number: int | None = None  # of the class for messages whose own is no longer listed

    def __contains__(self, name: bytes) -> bool:
        return name in self._by_name

    def __len__(self) -> int:
        return len(self._by_name)

    def get_number(self, name: bytes) -> int:
        """Return the class's number, or that of a fallback class where it is no longer listed.

        A message accepted under an earlier settings file is then still tried, as non-idempotent.
        """
        number = self._by_name.get(name, self._fallback_number)
        if number is None:
            fallback = make_fallback_profile(self.settings)
            number = self._engine.update_settings(replace(self.settings, profiles=(fallback,)))
            self._by_number.append(fallback)
            self._fallback_number = number
        return number

    def keeps_order(self, name: bytes) -> bool:
        """Whether messages of a class keep the order of their key; so do those of an unlisted class."""
        number = self._by_name.get(name)
        return number is None or self._by_number[number].in_order

    def reload(self, settings: Settings) -> int:
        """Use these settings from now on; returns how many classes are new or changed."""
        self.settings = settings
        changed = [profile for profile in settings.profiles if not self._is_known(profile)]
        first_number = self._engine.update_settings(replace(settings, profiles=tuple(changed)))
        self._by_number += changed
        names = [profile.name.encode() for profile in settings.profiles]
        kept = {name: self._by_name[name] for name in names if name in self._by_name}
        added = {profile.name.encode(): first_number + offset for offset, profile in enumerate(changed)}
        self._by_name = kept | added
        return len(changed)

    def _is_known(self, profile: Any) -> bool:
        number = self._by_name.get(profile.name.encode())
        return number is not None and self._by_number[number] == profile
