"""Reading the newest records over pages that fail and links that are slow."""

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


class _Flaky:
    """A store whose pages of some numbers fail at their first try."""

    def __init__(self, client: StoreClient, failing: set[int]) -> None:
        self._client = client
        self._failing = failing
        self.asked: list[str] = []

    async def read_newest(
        self, partition: Partition, after_key: str, timeout_s: float
    ) -> NewestPage:
        self.asked.append(after_key)
        if len(self.asked) in self._failing:
            raise StoreNoAnswerError("lost")
        return await self._client.read_newest(partition, after_key, timeout_s)


def make_standin() -> StoreStandin:
    """Make a store with more keys than fit into two pages."""
    standin = StoreStandin()
    for number in range(KEYS):
        standin.put(PARTITION, f"{number:05}", VALUE)
    return standin


async def read_all(reader: NewestReader) -> NewestRecords:
    """Read, trying again where a page fails."""
    for _try in range(TRIES_MAX):
        try:
            return await reader.read()
        except StoreNoAnswerError:
            continue
    raise AssertionError("the reader does not come to an end")


class NewestReaderTest(TestCase):
    def test_page_that_fails_is_read_again_and_none_before_it(self) -> None:
        async def work() -> None:
            store = _Flaky(make_standin().connect("n"), failing={3})
            newest = await read_all(NewestReader(store, PARTITION))  # type: ignore[arg-type]
            self.assertEqual(KEYS, len({record.key for record in newest.records}))
            self.assertEqual(KEYS, newest.next_offset)
            self.assertEqual(["", "00499", "00999", "00999"], store.asked)

        run_virtual(work())

    def test_reading_ends_where_a_page_takes_longer_than_a_call(self) -> None:
        async def work() -> None:
            standin = make_standin()
            takes_s = 1.5 * PAGE_TIMEOUT_MIN_S
            standin.link_bytes_per_s["n"] = 500 * len(VALUE) / takes_s
            newest = await read_all(NewestReader(standin.connect("n"), PARTITION))
            self.assertEqual(KEYS, len(newest.records))

        run_virtual(work())

    def test_refusal_leaves_the_time_that_a_page_may_take(self) -> None:
        """Else a connection that goes silent then costs 4.8 s."""

        async def work() -> None:
            timeouts_s: list[float] = []

            class _Refusing:
                async def read_newest(
                    self, partition: Partition, after_key: str, timeout_s: float
                ) -> NewestPage:
                    timeouts_s.append(timeout_s)
                    raise StoreRefusedError("turned away")

            reader = NewestReader(_Refusing(), PARTITION)  # type: ignore[arg-type]
            for _try in range(4):
                with contextlib.suppress(StoreError):
                    await reader.read()
            self.assertEqual([PAGE_TIMEOUT_MIN_S] * 4, timeouts_s)

        run_virtual(work())

    def test_time_that_a_page_takes_is_left_to_those_after_it(self) -> None:
        """Where each page takes longer than a first try may, one try is lost, not one a page."""

        async def work() -> None:
            standin = make_standin()
            standin.link_bytes_per_s["n"] = 500 * len(VALUE) / (1.5 * PAGE_TIMEOUT_MIN_S)
            store = _Flaky(standin.connect("n"), failing=set())
            await read_all(NewestReader(store, PARTITION))  # type: ignore[arg-type]
            self.assertEqual(["", "", "00499", "00999"], store.asked)

        run_virtual(work())

    def test_records_that_come_between_pages_lie_after_the_end_it_tells(self) -> None:
        async def work() -> None:
            standin = make_standin()
            store = _Flaky(standin.connect("n"), failing={2})
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
        raise AssertionError("the page did not fail")
