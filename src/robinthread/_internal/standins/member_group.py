"""Stand-in for a group of the platform's store: its members and the partitions they hold."""

import asyncio
import zlib
from collections import Counter
from dataclasses import dataclass
from typing import Final

TOPIC_PARTITIONS: Final = 12


@dataclass(frozen=True)
class _Membership:
    topics: tuple[str, ...]
    seen_at_s: float
    ttl_s: float


class MemberGroup:
    """Members, and the assignment of their topics' partitions to them.

    The partitions of each topic are assigned separately, among the members that joined with
    that topic.  Members keep the partitions that they hold, up to an equal share; the
    remaining partitions go to the members with the fewest, in an order that differs from
    topic to topic.  If a topic has more members than partitions, some members hold none.
    """

    def __init__(self) -> None:
        self.generation = 0
        self._members: dict[str, _Membership] = {}
        self._holders: dict[str, list[str | None]] = {}

    def join(self, member: str, topics: tuple[str, ...], ttl_s: float) -> None:
        """Add a member, or renew its membership; ``ttl_s`` is the time to its expiry."""
        previous = self._members.get(member)
        now_s = asyncio.get_running_loop().time()
        self._members[member] = _Membership(topics, now_s, ttl_s)
        if previous is None or previous.topics != topics:
            self._assign_partitions()

    def leave(self, member: str) -> None:
        """Remove a member; a name that is no member is ignored."""
        if self._members.pop(member, None) is not None:
            self._assign_partitions()

    def remove_expired(self) -> None:
        """Remove the members that have not renewed their membership within its ``ttl_s``."""
        now_s = asyncio.get_running_loop().time()
        expired = [
            name for name, found in self._members.items() if now_s - found.seen_at_s > found.ttl_s
        ]
        for name in expired:
            del self._members[name]
        if expired:
            self._assign_partitions()

    def list_holders(self) -> frozenset[str]:
        """Return the members that hold a partition of any topic."""
        return frozenset(name for held in self._holders.values() for name in held if name)

    def _assign_partitions(self) -> None:
        self.generation += 1
        topics = {topic for found in self._members.values() for topic in found.topics}
        self._holders = {topic: self._assign_topic(topic) for topic in sorted(topics)}

    def _assign_topic(self, topic: str) -> list[str | None]:
        """Return the holder of each partition of a topic, by partition number."""
        members = [name for name, found in self._members.items() if topic in found.topics]
        least, larger_count = divmod(TOPIC_PARTITIONS, len(members))
        counts: Counter[str] = Counter()
        holders: list[str | None] = []
        for holder in self._holders.get(topic, [None] * TOPIC_PARTITIONS):
            may_keep_more = sum(count > least for count in counts.values()) < larger_count
            share = least + may_keep_more
            stays = holder is not None and holder in members and counts[holder] < share
            holders.append(holder if stays else None)
            if holder is not None and stays:
                counts[holder] += 1
        ranked = sorted(members, key=lambda name: zlib.crc32(f"{topic}/{name}".encode()))
        for partition in (number for number, holder in enumerate(holders) if holder is None):
            assignee = min(ranked, key=lambda name: counts[name])
            holders[partition] = assignee
            counts[assignee] += 1
        return holders
