"""Records of the machines that have begun upkeep, one per wave."""

from collections.abc import Iterable
from typing import Final

import msgspec

from robinthread._internal.durable.store import KeyedRecord, Partition

WAVES_PARTITION: Final = Partition("keyed.waves")


class WaveProgress(msgspec.Struct, frozen=True, array_like=True):
    """The machines of a wave that have begun upkeep."""

    wave: int
    begun: tuple[str, ...]


def make_wave_record(wave: int, begun: Iterable[str]) -> KeyedRecord:
    """Make the record of a wave's progress."""
    value = msgspec.msgpack.encode(WaveProgress(wave, tuple(sorted(begun))))
    return KeyedRecord(str(wave), value)


def parse_wave_record(record: KeyedRecord) -> WaveProgress:
    """Decode the record of a wave's progress; raise ``msgspec.MsgspecError`` if it is malformed."""
    return msgspec.msgpack.decode(record.value or b"", type=WaveProgress)
