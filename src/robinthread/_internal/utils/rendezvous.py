"""Rendezvous hashing: a choice of a name for each key, identical on all nodes.

A name that is added or removed changes only the choices that it wins or held.
"""

import hashlib
from collections.abc import Iterable


def pick_by_rendezvous(key: str, names: Iterable[str]) -> str:
    """Return the name with the highest weight for ``key``, or "" if there are no names."""
    return max(names, key=lambda name: get_rendezvous_weight(key, name), default="")


def get_rendezvous_weight(key: str, name: str) -> bytes:
    """Return the weight of a name for a key; the highest wins."""
    return hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest()
