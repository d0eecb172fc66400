"""Records as the platform's store encodes them in appends and pages."""

import base64
import struct
from collections.abc import Iterator
from typing import Final

import msgspec

from robinthread._internal.durable.errors import StoreRejectedError
from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.utils.foreign_input import Count, decode_json, quote_bytes

KEY_MAX_BYTES: Final = 255


class _WireItem(msgspec.Struct):
    # "tls_key" is the record's key and unrelated to TLS.
    tls_key: str
    offset: Count
    value: str = ""


def encode_record(record: KeyedRecord) -> bytes:
    """Encode a record for an append; raise ``StoreRejectedError`` if its key is too long."""
    key = record.key.encode()
    if len(key) > KEY_MAX_BYTES:
        raise StoreRejectedError(f"a key of {len(key)} bytes: {quote_bytes(key)}")
    body = bytes([len(key)]) + key + (record.value or b"")
    return struct.pack(">I", len(body)) + body


def iter_records(page: bytes, from_offset: int) -> Iterator[KeyedRecord | None]:
    """Iterate over a page's records; yield None for those whose keys cannot be decoded."""
    position, offset = 16, from_offset
    while position < len(page):
        (length,) = struct.unpack_from(">I", page, position)
        record = page[position + 4 : position + 4 + length]
        if len(record) < length:
            raise IndexError("the page ends within a record")
        yield decode_record(record, offset)
        position, offset = position + 4 + length, offset + 1


def decode_record(record: bytes, offset: int) -> KeyedRecord | None:
    """Decode a record of a page; return None if its key cannot be decoded."""
    value_at = 1 + record[0] if record else 1
    if len(record) < value_at:
        return None
    try:
        return KeyedRecord(record[1:value_at].decode(), record[value_at:] or None, offset)
    except UnicodeDecodeError:
        return None


def decode_item(raw: msgspec.Raw) -> KeyedRecord | None:
    """Decode an item of a list of newest records; return None if it is malformed."""
    try:
        item = decode_json(raw, _WireItem)
        return KeyedRecord(item.tls_key, base64.b64decode(item.value, validate=True), item.offset)
    except ValueError:
        return None
