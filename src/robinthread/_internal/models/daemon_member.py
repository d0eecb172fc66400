"""Membership of a daemon in the fleet."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DaemonMember:
    """A live daemon; ``joined_at`` is the log offset of its join record."""

    name: str
    incarnation: str
    hall: str
    peer_address: str
    operator_address: str
    joined_at: int = 0
