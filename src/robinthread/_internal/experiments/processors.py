"""Model of the nodes' processors on virtual time: a node does its work sequentially."""

import asyncio
from collections import defaultdict

from robinthread._internal.experiments.deployment import SECONDS_PER_US, CostsSpec
from robinthread._internal.standins.call_faults import ProcessorCharge
from robinthread._internal.standins.platform_standin import PlatformStandin


class Processors:
    """One processor per node, each with ``share`` of a core, that does its work sequentially.

    ``spent_s`` is the processor time used by each node, in seconds of a whole core.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._free_at_s: dict[str, float] = defaultdict(float)
        self.spent_s: dict[str, float] = defaultdict(float)

    async def spend(self, node: str, cost_s: float) -> None:
        """Queue work of ``cost_s`` seconds of a whole core on a node and wait until it is done."""
        loop = asyncio.get_running_loop()
        self.spent_s[node] += cost_s
        self._free_at_s[node] = max(self._free_at_s[node], loop.time()) + cost_s / self._share
        await asyncio.sleep(self._free_at_s[node] - loop.time())


def charge_calls(platform: PlatformStandin, processors: Processors, costs: CostsSpec) -> None:
    """Make all calls of a platform's nodes use processor time of the nodes."""

    def make_charge(cost_us: float) -> ProcessorCharge:
        return lambda node: processors.spend(node, cost_us * SECONDS_PER_US)

    platform.store.faults.charge_processor = make_charge(costs.store_call_us)
    platform.hosts.faults.charge_processor = make_charge(costs.host_call_us)
    platform.machines.faults.charge_processor = make_charge(costs.machine_call_us)
    platform.charge_request = make_charge(costs.node_call_us)
