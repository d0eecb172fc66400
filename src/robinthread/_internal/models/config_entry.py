"""A configuration published by operators."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConfigEntry:
    """A named text in force on every daemon; ``version`` is its log offset."""

    name: str
    text: str
    version: int = 0
