"""Dealing a workspace's limit out to pools."""

import random

from testtools import TestCase

from robinthread._internal.fleet.share_allocation import (
    PoolUsage,
    allocate_shares,
    find_next_shares,
)

KEPT = 0.05
ROUNDING = 1e-6


def make_use(
    used: float = 0.0, waiting: float = 0.0, held_back: float = 0.0, bound: float = 0.25
) -> PoolUsage:
    """Make a pool's use."""
    return PoolUsage(used, waiting, held_back, bound)


def get_held(uses: dict[str, PoolUsage], shares: dict[str, float]) -> float:
    """Return what pools may hold in all by their shares."""
    return sum(max(use.used, shares[pool]) for pool, use in uses.items())


class DealSharesTest(TestCase):
    def test_idle_pools_have_even_shares(self) -> None:
        shares = allocate_shares({pool: make_use(0.1) for pool in "abcd"}, 1.0, KEPT)
        self.assertEqual(dict.fromkeys("abcd", 0.25), shares)

    def test_pool_in_its_turn_gets_all_but_what_is_never_lent(self) -> None:
        uses = {pool: make_use() for pool in "bcd"} | {"a": make_use(0.25, 3.0, 0.01)}
        shares = allocate_shares(uses, 1.0, KEPT)
        self.assertAlmostEqual(1 - 3 * KEPT, shares["a"], places=5)
        self.assertEqual({KEPT}, {shares[pool] for pool in "bcd"})

    def test_pools_that_all_want_more_get_the_same(self) -> None:
        shares = allocate_shares({pool: make_use(0.1, 2.0, 0.01) for pool in "abcd"}, 1.0, KEPT)
        for share in shares.values():
            self.assertAlmostEqual(0.25, share, places=5)

    def test_nothing_begins_while_more_runs_than_the_limit_allows(self) -> None:
        uses = {"a": make_use(1.2), "b": make_use(0.1, 1.0, 0.05), "c": make_use()}
        shares = allocate_shares(uses, 1.0, KEPT)
        for pool, use in uses.items():
            self.assertLessEqual(shares[pool], use.used + ROUNDING)

    def test_limit_of_one_task_goes_to_one_pool_whole(self) -> None:
        uses = {pool: make_use(0.0, 4.0, 1.0) for pool in "abc"}
        self.assertEqual({"a": 1.0, "b": 0.0, "c": 0.0}, allocate_shares(uses, 1.0, KEPT))

    def test_whole_limit_kept_is_an_even_split_whatever_is_wanted(self) -> None:
        uses = {pool: make_use() for pool in "bcd"} | {"a": make_use(0.25, 3.0, 0.01)}
        for share in allocate_shares(uses, 1.0, 0.25).values():
            self.assertAlmostEqual(0.25, share, places=5)

    def test_shares_never_hold_more_than_the_room(self) -> None:
        drawn = random.Random(1)
        for _ in range(400):
            uses = {
                pool: make_use(
                    drawn.choice((0.0, drawn.random())),
                    drawn.choice((0.0, 3 * drawn.random())),
                    drawn.choice((0.0, 0.01, 0.4)),
                    drawn.random() / 3,
                )
                for pool in "abc"
            }
            room = drawn.uniform(0.2, 1.0)
            shares = allocate_shares(uses, room, KEPT)
            used = sum(use.used for use in uses.values())
            self.assertLessEqual(get_held(uses, shares), max(room, used) + ROUNDING)
            told = find_next_shares(uses, shares, room)
            held = sum(max(use.held, told[pool]) for pool, use in uses.items())
            before = sum(use.held for use in uses.values())
            self.assertLessEqual(held, max(room, before) + ROUNDING)


class FindNextSharesTest(TestCase):
    def test_share_rises_only_once_another_pool_has_confirmed_that_it_holds_less(self) -> None:
        uses = {"a": make_use(0.5, 1.0, 0.1, bound=0.5), "b": make_use(bound=0.5)}
        targets = {"a": 0.9, "b": 0.1}
        self.assertEqual({"a": 0.5, "b": 0.1}, find_next_shares(uses, targets, 1.0))
        uses["b"] = make_use(bound=0.1)
        self.assertEqual({"a": 0.9, "b": 0.1}, find_next_shares(uses, targets, 1.0))
