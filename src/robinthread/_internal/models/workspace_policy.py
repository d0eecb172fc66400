"""What the configuration says of a workspace."""

import hashlib
import secrets
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from robinthread._internal.models.resources import NO_RESOURCES, Resources

DIGEST_BYTES: Final = 16
# Digests of one process say nothing to another, nor to whoever reads a dump of both.
_SALT: Final = secrets.token_bytes(hashlib.blake2b.SALT_SIZE)


@dataclass(frozen=True, slots=True)
class WorkspacePolicy:
    """A workspace: who may speak for it, its share and its limit.

    Its keys are kept as digests alone, which this process made.  What it hands in beyond
    ``share_jobs_per_s`` comes after all other work when all is full; zero sets no share.  Its
    tasks take ``limit`` at most at once, over all hosts; a zero there limits nothing.
    """

    name: str
    key_digests: frozenset[bytes] = frozenset()
    share_jobs_per_s: float = 0.0
    limit: Resources = NO_RESOURCES


def digest_key(key: str) -> bytes:
    """Return what stands for a key; how long that takes tells nothing of known keys."""
    return hashlib.blake2b(
        key.encode(errors="surrogateescape"), digest_size=DIGEST_BYTES, salt=_SALT
    ).digest()


def digest_keys(keys: Iterable[str]) -> frozenset[bytes]:
    """Return what stands for each of some keys; an empty one is none."""
    return frozenset(map(digest_key, filter(None, keys)))


def may_access(caller_workspace: str | None, workspace: str) -> bool:
    """Tell whether a caller may see and change what belongs to a workspace.

    None stands for a caller who needs no key, "" for what was handed in without one.
    """
    return caller_workspace is None or workspace in ("", caller_workspace)
