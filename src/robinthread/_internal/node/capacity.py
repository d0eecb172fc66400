"""How much work a node can carry as an owner of pools."""

from typing import Final

# What a core of an owner's work sends and receives: some 600 starts and ends a second,
# each with its job's text of some 2 KB.
LINK_MBPS_PER_CORE: Final = 10.0
CAPACITY_MIN_MILLICORES: Final = 1


def get_capacity_millicores(cpu_cores: float, link_mbps: float) -> int:
    """Return the cores that a node can use as an owner, in thousandths.

    A node whose link is narrow cannot use all of its processor.
    """
    usable_cores = min(cpu_cores, link_mbps / LINK_MBPS_PER_CORE)
    return max(CAPACITY_MIN_MILLICORES, round(1000 * usable_cores))
