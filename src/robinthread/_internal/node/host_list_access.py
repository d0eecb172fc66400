"""Whether a node can read the list of hosts, for itself and for nodes that ask."""

import asyncio
import math
from typing import Final

from robinthread._internal.durable.errors import HistoryGoneError, StoreError
from robinthread._internal.durable.hung_calls import end_within
from robinthread._internal.durable.keyed_follower import KeyedFollower
from robinthread._internal.durable.store import Partition, Store
from robinthread._internal.node.group_member import GroupMember
from robinthread._internal.node.peer_messages import HostsProbeRequest, HostsProbeResponse

# Age of the host list at which other nodes should own this node's pools.  It must outlast one read
# that hangs, a further one that times out, and the store's changes of leader.
AGE_MAX_S: Final = 5.0
# A node that could not read the hosts takes no pool over for this long.  Without pools it does not
# follow the hosts, so it does not notice when it can read them again.
DOUBT_S: Final = 30.0
# Timeout of the read that another node asks for.
PROBE_TIMEOUT_S: Final = 0.5


class HostListAccess:
    """Monitors the follower of the hosts' partition, which runs while this node owns pools."""

    def __init__(
        self, store: Store, partition: Partition, follower: KeyedFollower, member: GroupMember
    ) -> None:
        self._store = store
        self._partition = partition
        self._follower = follower
        self._member = member
        self._lost_at_s = -math.inf

    def find_loss(self) -> str:
        """Return the reason why other nodes should own this node's pools, "" if there is none.

        While the store does not serve this node at all, the list of hosts proves nothing.  Neither
        does a first snapshot that takes long: over a slow link, the next owner would be as slow.
        """
        is_followed = not self._follower.is_paused and self._follower.next_offset is not None
        is_old = self._follower.is_failing and self._follower.get_age_s() > AGE_MAX_S
        if not (is_followed and is_old and self._member.is_served):
            return ""
        self._lost_at_s = asyncio.get_running_loop().time()
        return "the hosts cannot be read"

    @property
    def is_in_doubt(self) -> bool:
        """Tell whether this node could not read the hosts a short time ago."""
        return asyncio.get_running_loop().time() - self._lost_at_s < DOUBT_S

    def make_probe(self) -> HostsProbeRequest:
        """Return a request for another node to read where this one cannot."""
        return HostsProbeRequest(self._follower.next_offset or 0)

    async def handle_probe(self, request: HostsProbeRequest) -> HostsProbeResponse:
        """Read the hosts' partition once, without applying what was read."""
        try:
            await end_within(
                PROBE_TIMEOUT_S,
                self._store.read(self._partition, request.offset, 0, PROBE_TIMEOUT_S),
            )
        except HistoryGoneError:
            return HostsProbeResponse(is_read=True)
        except StoreError:
            return HostsProbeResponse(is_read=False)
        return HostsProbeResponse(is_read=True)
