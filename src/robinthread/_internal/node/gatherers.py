"""Choice of the node that appends for all while the store is slow, and of its deputies.

A partition takes appends one by one, so that each further node that appends makes all of them wait
longer.  If that node is lost, the others ask its deputies, without a takeover.
"""

import asyncio
from collections.abc import Iterable
from typing import Final

from robinthread._internal.durable.ownership import Member
from robinthread._internal.utils.rendezvous import get_rendezvous_weight

# Number of nodes to ask in turn: the one that appends for all, and two deputies.
GATHERERS: Final = 3
# How long a node that did not respond is not asked again.
AVOID_S: Final = 2.0
RENDEZVOUS_KEY: Final = "gatherer"


def choose_gatherers(
    members: Iterable[Member], avoided: frozenset[str], count: int = GATHERERS
) -> tuple[Member, ...]:
    """Return the node that appends for all and its deputies, in the order in which to ask them.

    All nodes choose the same ones of equal lists of members: those with the most processor time,
    by rendezvous among equals.  A deputy is asked if those before it reject the record or do not
    respond; nodes in ``avoided`` are left out.
    """
    by_node = {member.node: member for member in members if member.node not in avoided}
    ranked = sorted(by_node.values(), key=_get_rank, reverse=True)
    return tuple(ranked[:count])


def _get_rank(member: Member) -> tuple[int, bytes]:
    return member.capacity_millicores, get_rendezvous_weight(RENDEZVOUS_KEY, member.node)


class AvoidedNodes:
    """Nodes that did not respond to a relay within the last ``AVOID_S``."""

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def add(self, node: str) -> None:
        """Avoid a node from now on."""
        self._until_s[node] = asyncio.get_running_loop().time() + AVOID_S

    def list_now(self) -> frozenset[str]:
        """Return the names of the nodes that are avoided now."""
        now_s = asyncio.get_running_loop().time()
        return frozenset(node for node, until_s in self._until_s.items() if now_s < until_s)
