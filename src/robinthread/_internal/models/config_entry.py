"""A configuration published by operators."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConfigEntry:
    """A named text in force on every daemon; ``version`` is the log offset of its record."""

    name: str
    text: str
    version: int = 0
