"""The newest records are read completely despite failed pages and slow links."""

import contextlib

from testtools import TestCase

from robinthread._internal.durable.errors import (
    StoreError,
    StoreNoAnswerError,
    StoreRefusedError,
)
from robinthread._internal.durable.newest_reader import PAGE_TIMEOUT_MIN_S, NewestReader
from robinthread._internal.durable.store import NewestPage, NewestRecords, Partition
from robinthread._internal.standins.store_standin import StoreClient, StoreStandin
from tests.lib.virtual import run_virtual

PARTITION = Partition("keyed.progress")
KEYS = 1200
VALUE = b"x" * 500
TRIES_MAX = 20


class _FlakyStore:
    """A store whose reads fail at the given call numbers."""

    def __init__(self, client: StoreClient, failing: set[int]) -> None:
        self._client = client
        self._failing = failing
        self.requested_keys: list[str] = []

    async def read_newest(
        self, partition: Partition, after_key: str, timeout_s: float
    ) -> NewestPage:
        self.requested_keys.append(after_key)
        if len(self.requested_keys) in self._failing:
            raise StoreNoAnswerError("lost")
        return await self._client.read_newest(partition, after_key, timeout_s)


def make_standin() -> StoreStandin:
    """Return a store with more keys than fit into two pages."""
    standin = StoreStandin()
    for number in range(KEYS):
        standin.put(PARTITION, f"{number:05}", VALUE)
    return standin


async def read_all(reader: NewestReader) -> NewestRecords:
    """Read all records, retrying after each failed page."""
    for _try in range(TRIES_MAX):
        try:
            return await reader.read()
        except StoreNoAnswerError:
            continue
    raise AssertionError(f"the reader has not finished after {TRIES_MAX} tries")


class NewestReaderTest(TestCase):
    def test_only_the_failed_page_is_read_again(self) -> None:
        async def work() -> None:
            store = _FlakyStore(make_standin().connect("n"), failing={3})
            newest = await read_all(NewestReader(store, PARTITION))  # type: ignore[arg-type]
            self.assertEqual(KEYS, len({record.key for record in newest.records}))
            self.assertEqual(KEYS, newest.next_offset)
            self.assertEqual(["", "00499", "00999", "00999"], store.requested_keys)

        run_virtual(work())

    def test_read_finishes_if_a_page_takes_longer_than_the_first_timeout(self) -> None:
        async def work() -> None:
            standin = make_standin()
            takes_s = 1.5 * PAGE_TIMEOUT_MIN_S
            standin.link_bytes_per_s["n"] = 500 * len(VALUE) / takes_s
            newest = await read_all(NewestReader(standin.connect("n"), PARTITION))
            self.assertEqual(KEYS, len(newest.records))

        run_virtual(work())

    def test_refusal_does_not_change_the_page_timeout(self) -> None:
        """Otherwise a connection lost without a reset after refusals would cost 4.8 s."""

        async def work() -> None:
            timeouts_s: list[float] = []

            class _Refusing:
                async def read_newest(
                    self, partition: Partition, after_key: str, timeout_s: float
                ) -> NewestPage:
                    timeouts_s.append(timeout_s)
                    raise StoreRefusedError("refused")

            reader = NewestReader(_Refusing(), PARTITION)  # type: ignore[arg-type]
            for _try in range(4):
                with contextlib.suppress(StoreError):
                    await reader.read()
            self.assertEqual([PAGE_TIMEOUT_MIN_S] * 4, timeouts_s)

        run_virtual(work())

    def test_longer_timeout_is_kept_for_the_following_pages(self) -> None:
        """If each page takes longer than the first timeout, one try fails, not one per page."""

        async def work() -> None:
            standin = make_standin()
            standin.link_bytes_per_s["n"] = 500 * len(VALUE) / (1.5 * PAGE_TIMEOUT_MIN_S)
            store = _FlakyStore(standin.connect("n"), failing=set())
            await read_all(NewestReader(store, PARTITION))  # type: ignore[arg-type]
            self.assertEqual(["", "", "00499", "00999"], store.requested_keys)

        run_virtual(work())

    def test_records_added_between_pages_lie_after_the_returned_end(self) -> None:
        async def work() -> None:
            standin = make_standin()
            store = _FlakyStore(standin.connect("n"), failing={2})
            reader = NewestReader(store, PARTITION)  # type: ignore[arg-type]
            await self._expect_failure(reader)
            standin.put(PARTITION, "00001", b"newer")
            newest = await reader.read()
            self.assertEqual(KEYS, newest.next_offset)

        run_virtual(work())

    async def _expect_failure(self, reader: NewestReader) -> None:
        try:
            await reader.read()
        except StoreNoAnswerError:
            return
        raise AssertionError("expected the page to fail")
