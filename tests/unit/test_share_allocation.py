"""Allocation of a workspace's limit to pools."""

import random

from testtools import TestCase

from robinthread._internal.fleet.share_allocation import (
    PoolUsage,
    allocate_shares,
    find_next_shares,
)

RESERVED = 0.05
ROUNDING = 1e-6


def make_usage(
    used: float = 0.0, waiting: float = 0.0, held_back: float = 0.0, bound: float = 0.25
) -> PoolUsage:
    """Make the usage of a workspace in one pool."""
    return PoolUsage(used, waiting, held_back, bound)


def get_total_held(usages: dict[str, PoolUsage], shares: dict[str, float]) -> float:
    """Return the total of the limit that pools may hold with these shares."""
    return sum(max(usage.used, shares[pool]) for pool, usage in usages.items())


class AllocateSharesTest(TestCase):
    def test_idle_pools_have_even_shares(self) -> None:
        shares = allocate_shares({pool: make_usage(0.1) for pool in "abcd"}, 1.0, RESERVED)
        self.assertEqual(dict.fromkeys("abcd", 0.25), shares)

    def test_only_busy_pool_gets_all_but_the_reserved_shares(self) -> None:
        usages = {pool: make_usage() for pool in "bcd"} | {"a": make_usage(0.25, 3.0, 0.01)}
        shares = allocate_shares(usages, 1.0, RESERVED)
        self.assertAlmostEqual(1 - 3 * RESERVED, shares["a"], places=5)
        self.assertEqual({RESERVED}, {shares[pool] for pool in "bcd"})

    def test_pools_that_all_need_more_get_equal_shares(self) -> None:
        shares = allocate_shares(
            {pool: make_usage(0.1, 2.0, 0.01) for pool in "abcd"}, 1.0, RESERVED
        )
        for share in shares.values():
            self.assertAlmostEqual(0.25, share, places=5)

    def test_no_pool_starts_tasks_while_usage_exceeds_the_limit(self) -> None:
        usages = {"a": make_usage(1.2), "b": make_usage(0.1, 1.0, 0.05), "c": make_usage()}
        shares = allocate_shares(usages, 1.0, RESERVED)
        for pool, usage in usages.items():
            self.assertLessEqual(shares[pool], usage.used + ROUNDING)

    def test_limit_of_one_task_goes_to_a_single_pool(self) -> None:
        usages = {pool: make_usage(0.0, 4.0, 1.0) for pool in "abc"}
        self.assertEqual({"a": 1.0, "b": 0.0, "c": 0.0}, allocate_shares(usages, 1.0, RESERVED))

    def test_limit_that_is_reserved_in_full_is_split_evenly(self) -> None:
        usages = {pool: make_usage() for pool in "bcd"} | {"a": make_usage(0.25, 3.0, 0.01)}
        for share in allocate_shares(usages, 1.0, 0.25).values():
            self.assertAlmostEqual(0.25, share, places=5)

    def test_shares_never_exceed_what_is_available(self) -> None:
        drawn = random.Random(1)
        for _ in range(400):
            usages = {
                pool: make_usage(
                    drawn.choice((0.0, drawn.random())),
                    drawn.choice((0.0, 3 * drawn.random())),
                    drawn.choice((0.0, 0.01, 0.4)),
                    drawn.random() / 3,
                )
                for pool in "abc"
            }
            available = drawn.uniform(0.2, 1.0)
            shares = allocate_shares(usages, available, RESERVED)
            used = sum(usage.used for usage in usages.values())
            self.assertLessEqual(get_total_held(usages, shares), max(available, used) + ROUNDING)
            next_shares = find_next_shares(usages, shares, available)
            held = sum(max(usage.held, next_shares[pool]) for pool, usage in usages.items())
            before = sum(usage.held for usage in usages.values())
            self.assertLessEqual(held, max(available, before) + ROUNDING)


class FindNextSharesTest(TestCase):
    def test_share_rises_only_after_another_pool_has_confirmed_a_lower_share(self) -> None:
        usages = {"a": make_usage(0.5, 1.0, 0.1, bound=0.5), "b": make_usage(bound=0.5)}
        targets = {"a": 0.9, "b": 0.1}
        self.assertEqual({"a": 0.5, "b": 0.1}, find_next_shares(usages, targets, 1.0))
        usages["b"] = make_usage(bound=0.1)
        self.assertEqual({"a": 0.9, "b": 0.1}, find_next_shares(usages, targets, 1.0))
