"""Which machines have begun their upkeep, wave by wave."""

from collections.abc import Iterable
from typing import Final

import msgspec

from robinthread._internal.durable.store import KeyedRecord, Partition

WAVES_PARTITION: Final = Partition("keyed.waves")


class WaveProgress(msgspec.Struct, frozen=True, array_like=True):
    """Machines of a wave that have begun their upkeep."""

    wave: int
    begun: tuple[str, ...]


def make_wave_record(wave: int, begun: Iterable[str]) -> KeyedRecord:
    """Make the record of a wave."""
    value = msgspec.msgpack.encode(WaveProgress(wave, tuple(sorted(begun))))
    return KeyedRecord(str(wave), value)


def parse_wave_record(record: KeyedRecord) -> WaveProgress:
    """Read the record of a wave; raise ``msgspec.MsgspecError``."""
    return msgspec.msgpack.decode(record.value or b"", type=WaveProgress)
