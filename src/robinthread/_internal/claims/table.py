"""Claims of one partition, built from the records of its stream."""

import heapq
from sys import intern

from robinthread._internal.claims.claim import Claim
from robinthread._internal.claims.records import PartitionRecord, PartitionTaken

NO_EPOCH = -1


class ClaimTable:
    """Apply a partition's records in log order.

    Every reader of the stream builds the same table.
    """

    def __init__(self) -> None:
        self.epoch = NO_EPOCH
        self.owner_id = ""
        self.next_offset = 0
        self._held: dict[bytes, Claim] = {}
        self._keys_by_expiry_s: dict[int, list[bytes]] = {}
        self._expiries_s: list[int] = []

    def __len__(self) -> int:
        return len(self._held)

    def apply(self, offset: int, record: PartitionRecord) -> bool:
        """Apply the record at ``offset``; return whether it was valid there."""
        self.next_offset = offset + 1
        if isinstance(record, PartitionTaken):
            self.epoch = offset
            self.owner_id = record.id
            return True
        if record.epoch != self.epoch:
            return False
        for claim in record.claims:
            self._add(claim)
        return True

    def get(self, key: bytes) -> Claim | None:
        """Return the claim on ``key``, or None if the key is not claimed."""
        return self._held.get(key)

    def release(self, key: bytes, holder: str, incarnation: str, claim_id: int) -> bool:
        """Drop a claim whose holder reports that it did not run; return whether it was held."""
        held = self._held.get(key)
        if held is None or (held.holder, held.incarnation, held.claim_id) != (
            holder,
            incarnation,
            claim_id,
        ):
            return False
        del self._held[key]
        return True

    def drop_expired(self, now_s: float) -> None:
        """Drop claims that expired before ``now_s``, in buckets of one second."""
        while self._expiries_s and self._expiries_s[0] < now_s - 1:
            for key in self._keys_by_expiry_s.pop(heapq.heappop(self._expiries_s)):
                held = self._held.get(key)
                if held is not None and held.expires_at_s < now_s:
                    del self._held[key]

    def _add(self, claim: Claim) -> None:
        # Many claims share a few holder names; interning stores each name once.
        self._held[claim.key] = Claim(
            claim.key,
            claim.digest,
            claim.expires_at_s,
            intern(claim.holder),
            intern(claim.incarnation),
            claim.claim_id,
        )
        expiry_s = int(claim.expires_at_s)
        if expiry_s not in self._keys_by_expiry_s:
            self._keys_by_expiry_s[expiry_s] = []
            heapq.heappush(self._expiries_s, expiry_s)
        self._keys_by_expiry_s[expiry_s].append(claim.key)
