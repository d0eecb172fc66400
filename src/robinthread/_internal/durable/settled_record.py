"""Up to which owner of a pool all that earlier ones granted has lapsed.

The pool's owner writes it to its journal, out of which later owners have shut it by the time
that they read.
"""

from typing import Final

import msgspec

from robinthread._internal.durable.store import KeyedRecord

# Jobs, whose progress lies in the same partition, have no slash in their ids.
KEY_PREFIX: Final = "settled/"


class SettledOwners(msgspec.Struct, frozen=True, array_like=True):
    """All leases that owners with a lower token than ``before_token`` granted have lapsed."""

    before_token: int


def make_settled_record(pool: str, before_token: int) -> KeyedRecord:
    """Make the record of a pool."""
    return KeyedRecord(KEY_PREFIX + pool, msgspec.msgpack.encode(SettledOwners(before_token)))


def parse_settled_record(record: KeyedRecord) -> SettledOwners:
    """Read a pool's record; raise ``msgspec.MsgspecError``."""
    return msgspec.msgpack.decode(record.value or b"", type=SettledOwners)
