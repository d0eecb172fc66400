"""Properties of the folder under random records with a fixed seed: budgets, equal digests."""

from collections.abc import Callable

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from robinthread._internal.fold.envelope import Envelope, encode_batch
from robinthread._internal.fold.folder import Folder, make_digest
from robinthread._internal.fold.kinds.drain_permitted import DrainPermitted
from robinthread._internal.fold.kinds.drain_started import DrainStarted
from robinthread._internal.fold.kinds.host_assigned import HostAssigned
from robinthread._internal.fold.kinds.host_drained import HostDrained
from robinthread._internal.fold.kinds.host_failed import HostFailed
from robinthread._internal.fold.kinds.host_gone import HostGone
from robinthread._internal.fold.kinds.host_recovered import HostRecovered
from robinthread._internal.fold.kinds.host_returned import HostReturned
from robinthread._internal.fold.kinds.host_set_aside import HostSetAside
from robinthread._internal.fold.kinds.pool_budget_set import PoolBudgetSet
from robinthread._internal.fold.registry import KIND_OF_TYPE
from robinthread._internal.models.budget import Budget
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.results import ResultCode
from tests.unit.test_spec_replay import make_pool_of_three

HOSTS = ("h1", "h2", "h3")
OWN = (DrainPermitted, DrainStarted, HostDrained, HostSetAside)
MAKERS: tuple[Callable[[str, int], object], ...] = (
    lambda host, token: DrainPermitted(host, "w", token),
    DrainStarted,
    lambda host, token: HostDrained(host, token, "b"),
    HostReturned,
    HostFailed,
    HostRecovered,
    HostSetAside,
    lambda host, token: HostAssigned(host, "p"),
    lambda host, token: HostGone(host),
    lambda host, token: PoolBudgetSet("p", Budget(min_serving_hosts=1 + token % 3), 0),
)
STEPS = st.lists(
    st.tuples(st.sampled_from(MAKERS), st.sampled_from(HOSTS), st.integers(0, 3)), max_size=40
)


def is_held(state: FleetState) -> bool:
    return state.pools["p"].budget.is_met_by(state.iter_pool_hosts("p"))


class RandomFoldTest(TestCase):
    @given(STEPS)
    @settings(derandomize=True, deadline=None, max_examples=300)
    def test_own_acts_never_break_a_budget(
        self, steps: list[tuple[Callable[[str, int], object], str, int]]
    ) -> None:
        fold = make_pool_of_three()
        for make, host, staleness in steps:
            known = fold.folder.state.hosts.get(host)
            body = make(host, (known.token if known else 0) - (staleness == 3))
            before = is_held(fold.folder.state)
            fold.fold(body)
            if isinstance(body, OWN):
                self.assertTrue(is_held(fold.folder.state) or not before)

    @given(st.lists(st.integers(0, 200), max_size=60))
    @settings(derandomize=True, deadline=None, max_examples=100)
    def test_equal_logs_fold_to_equal_digests_and_repeats_change_nothing(
        self, numbers: list[int]
    ) -> None:
        records = [self._encode(number) for number in numbers]
        first, second = Folder(), Folder()
        for offset, record in enumerate(records):
            first.fold_record(offset, record)
            second.fold_record(offset, record)
            second.fold_record(offset, record)
        self.assertEqual(make_digest(first.make_image()), make_digest(second.make_image()))
        again = Folder(first.make_image())
        self.assertEqual(make_digest(first.make_image()), make_digest(again.make_image()))

    def test_malformed_log_records_are_skipped(self) -> None:
        folder = Folder()
        for offset, data in enumerate((b"", b"\xff", b"\x91\x01", encode_batch(()))):
            folder.fold_record(offset, data)
        self.assertEqual(4, folder.state.next_offset)

    def test_record_of_a_newer_version_or_an_unknown_kind_is_void(self) -> None:
        folder = Folder()
        body = msgspec.Raw(msgspec.msgpack.encode(HostGone("h1")))
        newer = Envelope("host_gone", "a", "d", "i", 0, body, version=99)
        unknown = Envelope("weather_changed", "b", "d", "i", 0, body)
        codes = [outcome.code for outcome in folder.fold_record(0, encode_batch((newer, unknown)))]
        self.assertEqual([ResultCode.UNKNOWN_KIND] * 2, codes)

    def _encode(self, number: int) -> bytes:
        body = HostGone(f"h{number % 7}") if number % 2 else HostAssigned(f"h{number % 5}", "p")
        envelope = Envelope(
            KIND_OF_TYPE[type(body)],
            f"id-{number}",
            "d",
            "i",
            0,
            msgspec.Raw(msgspec.msgpack.encode(body)),
        )
        return encode_batch((envelope,))
