"""Record of which owners of a pool can't have live leases any more.

The pool's owner writes it to its journal.  A later owner fences the journal before it reads the
record, so the record can't change afterwards.
"""

from typing import Final

import msgspec

from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.utils.foreign_input import Number, decode_msgpack

# The same partition holds the progress of jobs, whose ids contain no slash.
KEY_PREFIX: Final = "settled/"


class SettledOwners(msgspec.Struct, frozen=True, array_like=True):
    """All leases that owners with a token below ``before_token`` meant to grant have expired."""

    before_token: Number


def make_settled_record(pool: str, before_token: int) -> KeyedRecord:
    """Make the record of a pool's settled owners."""
    return KeyedRecord(KEY_PREFIX + pool, msgspec.msgpack.encode(SettledOwners(before_token)))


def parse_settled_record(record: KeyedRecord) -> SettledOwners:
    """Decode a pool's record; raise ``MalformedInputError`` if it is malformed."""
    return decode_msgpack(record.value or b"", SettledOwners)
