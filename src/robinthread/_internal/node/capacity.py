"""The capacity of a node for owning pools."""

from typing import Final

# Traffic that one core of pool-owner work causes: about 600 starts and ends of tasks per second,
# each with about 2 KB of job data.
LINK_MBPS_PER_CORE: Final = 10.0
CAPACITY_MIN_MILLICORES: Final = 1


def get_capacity_millicores(cpu_cores: float, link_mbps: float) -> int:
    """Return the capacity of a node for owning pools, in thousandths of a core.

    A node with a slow network link cannot use all of its cores.
    """
    usable_cores = min(cpu_cores, link_mbps / LINK_MBPS_PER_CORE)
    return max(CAPACITY_MIN_MILLICORES, round(1000 * usable_cores))
