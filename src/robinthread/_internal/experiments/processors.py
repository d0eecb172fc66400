"""Processors of nodes on virtual time: what a node does waits for what it began before."""

import asyncio
from collections import defaultdict

from robinthread._internal.experiments.deployment import US_IN_S, CostsSpec
from robinthread._internal.standins.call_faults import ProcessorCharge
from robinthread._internal.standins.platform_standin import PlatformStandin


class Processors:
    """A processor for each node, a share of a core, that does one thing after another.

    ``spent_s`` is what each node has used, in seconds of a whole core.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._free_at_s: dict[str, float] = defaultdict(float)
        self.spent_s: dict[str, float] = defaultdict(float)

    async def spend(self, node: str, cost_s: float) -> None:
        """Wait until a node's processor has done a thing more."""
        loop = asyncio.get_running_loop()
        self.spent_s[node] += cost_s
        self._free_at_s[node] = max(self._free_at_s[node], loop.time()) + cost_s / self._share
        await asyncio.sleep(self._free_at_s[node] - loop.time())


def charge_calls(platform: PlatformStandin, processors: Processors, costs: CostsSpec) -> None:
    """Have all calls of a platform's nodes cost their processors."""

    def make_charge(cost_us: float) -> ProcessorCharge:
        return lambda node: processors.spend(node, cost_us * US_IN_S)

    platform.store.faults.charge_processor = make_charge(costs.store_call_us)
    platform.hosts.faults.charge_processor = make_charge(costs.host_call_us)
    platform.machines.faults.charge_processor = make_charge(costs.machine_call_us)
    platform.charge_request = make_charge(costs.node_call_us)
