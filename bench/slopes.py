"""Measure how processor time grows with the size of the fleet.

Run with ``python -m bench.slopes``.  Times are in microseconds and vary by about 10% between
machines; docs/CAPACITY.md quotes them.
"""

import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from functools import partial

import msgspec

from bench.control import make_full_image
from robinthread._internal.claims.claim import Claim, make_key
from robinthread._internal.claims.records import (
    ClaimBatch,
    decode_partition_record,
    encode_partition_record,
)
from robinthread._internal.claims.table import ClaimTable
from robinthread._internal.fold.envelope import Envelope, encode_batch
from robinthread._internal.fold.folder import Folder, make_digest
from robinthread._internal.fold.kinds.config_published import ConfigPublished
from robinthread._internal.fold.kinds.host_failed import HostFailed
from robinthread._internal.fold.registry import KIND_OF_TYPE
from robinthread._internal.models.host import Host
from robinthread._internal.peers.messages import Frame, Heartbeat
from robinthread._internal.snapshots.snapshot import decode_snapshot, encode_snapshot
from robinthread._internal.waves.preview import PreviewInput, make_preview, merge_previews

SIZES = ((100, 5), (800, 36), (3200, 144))
CHANGES = 2000
REPEATS = 5
US = 1e6


def main() -> None:
    """Measure and print the table."""
    for hosts, pools in SIZES:
        image = make_full_image(hosts, pools)
        print(f"--- {hosts} hosts, {pools} pools")
        _print("fold a change of configuration", _time_folds(hosts, pools, _make_change))
        _print("fold a host's failure", _time_folds(hosts, pools, _make_failure))
        data = encode_snapshot(image)
        _print("digest of the state", _time(partial(make_digest, image)))
        _print("write a snapshot", _time(partial(encode_snapshot, image)))
        _print("read a snapshot", _time(partial(decode_snapshot, data)))
        _print("index hosts by pool", _time(partial(_index, image)))
        _print("plan every pool's wave", _time(partial(_plan, image)))
        print(f"{'memory of that plan':32s}{_measure_plan_kb(image):12.1f} KB")
    frame = Frame("entry-01", "", 12345, 0, 1 << 60, Heartbeat(12345, (), "0" * 16, 12288))
    data = msgspec.msgpack.encode(frame)
    decoder = msgspec.msgpack.Decoder(Frame)
    _print("encode a heartbeat", _time(lambda: msgspec.msgpack.encode(frame)))
    _print("decode a heartbeat", _time(lambda: decoder.decode(data)))
    _print("fold a claim", _time(_fold_claims) / 1000)


def _print(label: str, took_us: float) -> None:
    print(f"{label:32s}{took_us:12.1f} us")


def _time(work: Callable[[], object]) -> float:
    """Return the shortest duration of ``REPEATS`` runs, in microseconds."""
    took = []
    for _ in range(REPEATS):
        started_at_s = time.perf_counter()
        work()
        took.append(time.perf_counter() - started_at_s)
    return min(took) * US


def _time_folds(hosts: int, pools: int, make: Callable[[int, Folder], object]) -> float:
    folder = Folder(make_full_image(hosts, pools))
    records = []
    for number in range(min(CHANGES, hosts)):
        body = make(number, folder)
        envelope = Envelope(
            KIND_OF_TYPE[type(body)],
            f"{number:016x}",
            "entry-01",
            "0" * 16,
            0,
            msgspec.Raw(msgspec.msgpack.encode(body)),
        )
        records.append(encode_batch((envelope,)))
    started_at_s = time.perf_counter()
    first = folder.state.next_offset
    for index, record in enumerate(records):
        folder.fold_record(first + index, record)
    return (time.perf_counter() - started_at_s) / len(records) * US


def _make_change(number: int, folder: Folder) -> object:
    return ConfigPublished(f"service-{number % 100}", f"limit = {number}\n" * 8, 0)


def _make_failure(number: int, folder: Folder) -> object:
    host = list(folder.state.hosts.values())[number]
    return HostFailed(host.name, host.token)


def _index(image: object) -> object:
    state = replace(image.state)  # type: ignore[attr-defined]
    return tuple(state.iter_pool_hosts("pool-000"))


def _plan(image: object) -> object:
    state = image.state  # type: ignore[attr-defined]

    def plan_pool(name: str) -> object:
        hosts: tuple[Host, ...] = tuple(state.iter_pool_hosts(name))
        floor = max(1, len(hosts) - 2)
        entry = PreviewInput(
            hosts, lambda away: len(hosts) - len(away) >= floor, lambda n: 30.0, lambda n: 0, 300.0
        )
        return make_preview(entry)

    return merge_previews(plan_pool(name) for name in state.pools)  # type: ignore[misc]


def _measure_plan_kb(image: object) -> float:
    """Return the peak memory allocated during planning, in kilobytes."""
    tracemalloc.start()
    _plan(image)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return peak / 1000


def _fold_claims() -> None:
    claims = tuple(
        Claim(make_key("caller", f"r{n}"), b"12345678", 1.8e9 + n, "entry-01", "0" * 16, n)
        for n in range(1000)
    )
    data = encode_partition_record(ClaimBatch("b", -1, claims))
    ClaimTable().apply(0, decode_partition_record(data))


if __name__ == "__main__":
    main()
