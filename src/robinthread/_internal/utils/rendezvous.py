"""Rendezvous hashing: a choice that all agree on and few changes disturb."""

import hashlib
from collections.abc import Iterable


def pick_by_rendezvous(key: str, names: Iterable[str]) -> str:
    """Return the name with the highest weight for ``key``, or "" of none."""
    return max(names, key=lambda name: get_rendezvous_weight(key, name), default="")


def get_rendezvous_weight(key: str, name: str) -> bytes:
    """Return the weight of a name for a key; the highest wins."""
    return hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest()
