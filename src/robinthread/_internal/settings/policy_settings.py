"""How a node decides, as operators may set it; each mechanism can be switched off."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class OwnerPolicy:
    """Who owns a pool.

    ``weighs_capacity``: nodes with more processor and link own more pools; off, all
    nodes own as many.
    ``spreads_pools``: a node that owns several passes one to a node that could carry it
    more easily.
    ``relieves_late_nodes``: a node whose event loop runs late passes its pools on.
    """

    weighs_capacity: bool = True
    spreads_pools: bool = True
    relieves_late_nodes: bool = True


@dataclass(frozen=True)
class FleetPolicy:
    """How machines are shared out among pools.

    ``upkeep_first``: a machine that is due is kept up before a pool may take it from the
    reserve, and one that would be late is emptied though its pool has no other.
    ``moves_directly``: a machine that a pool lets go moves straight to one that lacks
    machines, not by way of the reserve, and without waiting whether it is needed again.
    ``avoids_silent_halls``: pools get machines of halls whose hosts do not answer only
    where there are no others.
    ``shares_when_short``: where the pools want more machines than there are, each gets a
    share by what its jobs that can be on time need; off, a pool keeps what it wants.  It is
    for fleets that are far too small, where some queues else get no machine in their turn;
    where machines are short for some seconds only, fewer jobs are in time with it.
    ``ends_lost_hosts``: a silent host that its machine does not have any more, by the list of
    machines, has ended: what ran there runs again at once, not after its lease.
    """

    upkeep_first: bool = True
    moves_directly: bool = True
    avoids_silent_halls: bool = True
    shares_when_short: bool = False
    ends_lost_hosts: bool = True


@dataclass(frozen=True)
class DemandPolicy:
    """How a pool's need is forecast.

    ``rise_ahead_s``: for how long a rise of demand is taken to go on at its pace; zero
    takes it to have ended.
    ``late_share``: the share of the room of jobs that can no longer be on time for which
    hosts are asked; 1 treats them as all others.
    """

    rise_ahead_s: float = 0.9
    late_share: float = 0.25


@dataclass(frozen=True)
class PlacementPolicy:
    """Which job goes first, and to which hosts.

    ``slack_margin_s``: a job that has not begun counts as late where it has less slack
    than this: what the store, the hosts and the caller's next question take is no part of
    its forecast.  Zero switches the margin off.
    ``doubts_silent_hosts``: a host that leaves an order unanswered for 0.15 s gets no more
    work until it answers, nor do all others of its data hall where several do.
    ``keeps_room_for_lasting``: a host of a full pool gets no other work until a lasting
    task that waits fits there; after 4 s without a run also ahead of more urgent tasks.
    ``isolates_crashing_tasks``: a task that may have crashed its host is started apart from
    others, and given up once it surely has crashed two; off, it is started as any other.
    """

    slack_margin_s: float = 0.2
    doubts_silent_hosts: bool = True
    keeps_room_for_lasting: bool = True
    isolates_crashing_tasks: bool = True


@dataclass(frozen=True)
class EntryPolicy:
    """How jobs are taken in.

    ``gathers_while_store_slow``: while the store is slow, one node appends what callers hand
    in at all of them.
    """

    gathers_while_store_slow: bool = True


@dataclass(frozen=True)
class WorkspacePolicies:
    """How workspaces are bound.

    ``kept_share``: the part of each limit that is split evenly over pools and never lent from
    one to another, so that a pool's first jobs begin without asking; 1 splits all of it for
    good, and nothing moves.
    ``ranks_beyond_share``: what a workspace hands in beyond its share comes after all other
    work, and no more hosts are asked for it than for late work.
    """

    kept_share: float = 0.2
    ranks_beyond_share: bool = True


@dataclass(frozen=True)
class PolicySettings:
    """How a node decides."""

    owners: OwnerPolicy = field(default_factory=OwnerPolicy)
    fleet: FleetPolicy = field(default_factory=FleetPolicy)
    demand: DemandPolicy = field(default_factory=DemandPolicy)
    placement: PlacementPolicy = field(default_factory=PlacementPolicy)
    entry: EntryPolicy = field(default_factory=EntryPolicy)
    workspaces: WorkspacePolicies = field(default_factory=WorkspacePolicies)
