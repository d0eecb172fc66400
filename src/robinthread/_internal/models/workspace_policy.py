"""Configuration of a workspace and access to its jobs."""

import hashlib
import secrets
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from robinthread._internal.models.resources import NO_RESOURCES, Resources

DIGEST_BYTES: Final = 16
# Random per process, so digests can't be compared across processes or memory dumps.
_SALT: Final = secrets.token_bytes(hashlib.blake2b.SALT_SIZE)


@dataclass(frozen=True, slots=True)
class WorkspacePolicy:
    """A workspace: its keys, its share and its limit.

    Only digests of its keys are retained; they are specific to this process.  Jobs submitted
    beyond ``share_jobs_per_s`` run after all other work when capacity is exhausted; zero sets
    no share.  All running tasks together use at most ``limit`` over all hosts; zero means that
    kind of resource is unlimited.
    """

    name: str
    key_digests: frozenset[bytes] = frozenset()
    share_jobs_per_s: float = 0.0
    limit: Resources = NO_RESOURCES


def digest_key(key: str) -> bytes:
    """Return the digest of a key; its timing reveals nothing about known keys."""
    return hashlib.blake2b(
        key.encode(errors="surrogateescape"), digest_size=DIGEST_BYTES, salt=_SALT
    ).digest()


def digest_keys(keys: Iterable[str]) -> frozenset[bytes]:
    """Return the digests of keys, skipping empty keys."""
    return frozenset(map(digest_key, filter(None, keys)))


def may_access(caller_workspace: str | None, workspace: str) -> bool:
    """Return whether a caller may read and change the jobs of a workspace.

    ``caller_workspace`` is None for a caller that needs no key.  ``workspace`` is "" for jobs
    submitted without a key.
    """
    return caller_workspace is None or workspace in ("", caller_workspace)
