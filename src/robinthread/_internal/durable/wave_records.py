"""Records of the machines that have begun upkeep, one per wave."""

from collections.abc import Iterable
from typing import Final

import msgspec

from robinthread._internal.durable.store import KeyedRecord, Partition
from robinthread._internal.utils.foreign_input import Number, decode_msgpack

WAVES_PARTITION: Final = Partition("keyed.waves")


class WaveProgress(msgspec.Struct, frozen=True, array_like=True):
    """The machines of a wave that have begun upkeep."""

    wave: Number
    begun: tuple[str, ...]


def make_wave_record(wave: int, begun: Iterable[str]) -> KeyedRecord:
    """Make the record of a wave's progress."""
    value = msgspec.msgpack.encode(WaveProgress(wave, tuple(sorted(begun))))
    return KeyedRecord(str(wave), value)


def parse_wave_record(record: KeyedRecord) -> WaveProgress:
    """Decode the record of a wave's progress; raise ``MalformedInputError`` if it is malformed."""
    return decode_msgpack(record.value or b"", WaveProgress)
