"""Policies of a node, set by operators; each mechanism can be switched off."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class OwnerPolicy:
    """Assignment of pools to owners.

    ``weighs_capacity``: nodes with more processor and link capacity own more pools; off, all
    nodes own the same number.
    ``spreads_pools``: a node that owns several pools hands one over to a node that can handle it
    more easily.
    ``relieves_late_nodes``: a node whose event loop lags hands over its pools.
    """

    weighs_capacity: bool = True
    spreads_pools: bool = True
    relieves_late_nodes: bool = True


@dataclass(frozen=True)
class FleetPolicy:
    """Assignment of machines to pools.

    ``upkeep_first``: a machine due for upkeep gets it before a pool may acquire the machine from
    the reserve, and a machine whose upkeep would be late is evacuated even if its pool has no
    other.
    ``moves_directly``: a machine that a pool releases moves directly to a pool that lacks
    machines, not through the reserve, and without a wait in case its own pool needs it again.
    ``avoids_silent_halls``: pools get machines of halls whose hosts do not respond only
    if there are no others.
    ``allots_by_work``: if the pools request more machines than there are, the machines go where
    they complete the most work on time, and tasks with checkpoints are stopped on machines that
    another pool needs; off, a pool retains what it requests.  It applies only if the
    configuration has workspaces and a reserve.
    ``ends_lost_hosts``: an unresponsive host that the list of machines no longer shows on its
    machine has ended: its runs start again at once, not after its lease.
    """

    upkeep_first: bool = True
    moves_directly: bool = True
    avoids_silent_halls: bool = True
    allots_by_work: bool = False
    ends_lost_hosts: bool = True


@dataclass(frozen=True)
class DemandPolicy:
    """Forecast of a pool's demand.

    ``rise_ahead_s``: the time for which a rise in demand is extrapolated at its current rate;
    0 assumes that it has ended.
    ``late_share``: the share of the resources of jobs that can no longer be on time for which
    hosts are requested; 1 treats these jobs like all others.
    """

    rise_ahead_s: float = 0.9
    late_share: float = 0.25


@dataclass(frozen=True)
class PlacementPolicy:
    """Order of jobs and choice of their hosts.

    ``slack_margin_s``: a job that has not started counts as late if its slack is less than
    this: its forecast excludes the time that the store, the hosts and the caller's next poll
    take.  0 switches the margin off.
    ``doubts_silent_hosts``: a host that does not respond to an order for 0.15 s gets no more
    work until it responds; if several hosts of a data hall do not, all its hosts get none.
    ``keeps_room_for_lasting``: a host of a full pool gets no other work until a waiting lasting
    task fits there; after 4 s without a run, this holds against more urgent tasks as well.
    ``isolates_crashing_tasks``: a task that may have crashed its host is started apart from
    others, and given up once two crashes are confirmed; off, it is started like any other.
    ``gives_up_early``: while a pool's hosts can't complete all jobs on time, the jobs with the
    largest part of their work left rank with the late ones; off, all jobs may be late by a
    little.  It applies only if the configuration has workspaces and a reserve.
    """

    slack_margin_s: float = 0.2
    doubts_silent_hosts: bool = True
    keeps_room_for_lasting: bool = True
    isolates_crashing_tasks: bool = True
    gives_up_early: bool = False


@dataclass(frozen=True)
class EntryPolicy:
    """Acceptance of jobs.

    ``gathers_while_store_slow``: while the store is slow, nodes tell each other, and one node
    appends the jobs that callers submit to all nodes.
    """

    gathers_while_store_slow: bool = True


@dataclass(frozen=True)
class WorkspacePolicies:
    """Enforcement of the limits of workspaces.

    ``kept_share``: the part of each limit that is split evenly over pools and never lent from
    one to another, so that a pool's first jobs start without a request for a share; 1 splits the
    whole limit permanently, and no part of it moves.
    ``ranks_beyond_share``: work that a workspace submits beyond its share ranks after all other
    work, and no more hosts are requested for it than for late work.
    """

    kept_share: float = 0.2
    ranks_beyond_share: bool = True


@dataclass(frozen=True)
class PolicySettings:
    """All policies of a node."""

    owners: OwnerPolicy = field(default_factory=OwnerPolicy)
    fleet: FleetPolicy = field(default_factory=FleetPolicy)
    demand: DemandPolicy = field(default_factory=DemandPolicy)
    placement: PlacementPolicy = field(default_factory=PlacementPolicy)
    entry: EntryPolicy = field(default_factory=EntryPolicy)
    workspaces: WorkspacePolicies = field(default_factory=WorkspacePolicies)
