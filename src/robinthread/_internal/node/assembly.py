"""Creates the components of a node and connects them."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from robinthread._internal.durable.append_latency import AppendLatency
from robinthread._internal.durable.errors import StoreError
from robinthread._internal.durable.group_writer import GroupWriter
from robinthread._internal.durable.inbox_records import INBOX_PARTITION
from robinthread._internal.durable.job_index import JobIndex
from robinthread._internal.durable.keyed_follower import KeyedFollower
from robinthread._internal.durable.member_build import all_read_parts
from robinthread._internal.durable.ownership import Member, OwnerTable
from robinthread._internal.durable.share_meter import ShareMeter
from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.node.config_holder import ConfigHolder
from robinthread._internal.node.contained_calls import contain_calls
from robinthread._internal.node.context import NodeContext
from robinthread._internal.node.election import Election
from robinthread._internal.node.environment import NodeEnvironment
from robinthread._internal.node.evacuations import EvacuationHolder
from robinthread._internal.node.group_member import GroupMember
from robinthread._internal.node.handover import Handover
from robinthread._internal.node.host_directory import HostDirectory
from robinthread._internal.node.host_list_access import HostListAccess
from robinthread._internal.node.job_service import JobService
from robinthread._internal.node.loop_lag import LoopLag
from robinthread._internal.node.node import Node
from robinthread._internal.node.owned_pools import OwnedPools
from robinthread._internal.node.owner_liveness import OwnerLiveness
from robinthread._internal.node.peer_request_handler import PeerRequestHandler
from robinthread._internal.node.pool_rebalancing import RebalancePlanner
from robinthread._internal.node.readiness import Readiness
from robinthread._internal.node.record_writer import RecordWriter
from robinthread._internal.node.settings_holder import SettingsHolder
from robinthread._internal.node.slow_store import SlowStoreMonitor
from robinthread._internal.node.status_reporter import StatusReporter
from robinthread._internal.node.steward import Steward
from robinthread._internal.node.task_supervisor import TaskSupervisor
from robinthread._internal.node.view_ages import FOLLOWED_AGE_MAX_S, View, ViewAges

RETRY_PAUSE_S: Final = 0.2
# Each heartbeat of a host changes its entry, so the host list is polled at this interval, not at
# each change.  A leaving host must get no work after 2 s, and a new host should get work soon.
HOSTS_PERIOD_S: Final = 0.3
# While machines are coming up, the host list is polled faster for HOSTS_FAST_S: jobs wait as long
# as a new host goes unnoticed.
HOSTS_FAST_PERIOD_S: Final = 0.08
HOSTS_FAST_S: Final = 0.5


@dataclass(frozen=True)
class AssembledNode:
    """A node and the components that its listeners and metrics use."""

    node: Node
    job_service: JobService
    owned: OwnedPools
    request_handler: PeerRequestHandler
    config_holder: ConfigHolder
    lag: LoopLag
    readiness: Readiness
    status_reporter: StatusReporter
    supervisor: TaskSupervisor
    views: ViewAges


def assemble_node(
    settings_holder: SettingsHolder, environment: NodeEnvironment, me: Member
) -> AssembledNode:
    """Create a node and start its tasks.  Requires a running event loop."""
    loop = asyncio.get_running_loop()
    environment = contain_calls(environment)
    settings = settings_holder.settings
    events, store, records = environment.events, environment.store, environment.records
    config_holder = ConfigHolder(records, events)
    evacuations = EvacuationHolder(records, events, settings.halls)
    job_index = JobIndex(events, ShareMeter(config_holder.get_share))
    host_directory = HostDirectory(
        records.parse_host, events, lambda: loop.time() - hosts.confirmed_at_s
    )
    # Only owners of pools need the inbox and the host list, so both followers start paused.  When
    # all nodes start at once, 2 MB of jobs would occupy a link of 5 Mbit/s for 3.3 s and delay the
    # first calls of each node by as much.
    inbox = KeyedFollower(store, INBOX_PARTITION, job_index.apply, events, is_paused=True)
    hosts = KeyedFollower(
        store,
        records.hosts_partition,
        host_directory.apply,
        events,
        HOSTS_PERIOD_S,
        is_paused=True,
    )

    def apply_operators_records(found: Sequence[KeyedRecord], is_snapshot: bool) -> None:
        config_holder.apply(found, is_snapshot)
        evacuations.apply(found, is_snapshot)

    operators = KeyedFollower(store, records.operators_partition, apply_operators_records, events)
    table = OwnerTable(store, events)
    owner_liveness = OwnerLiveness(environment.peers)
    member = GroupMember(store, me, events, settings.store.member_ttl_min_ms, owner_liveness)
    entry_policy = environment.policy.entry
    append_latency = AppendLatency()
    slow_store = SlowStoreMonitor(
        me,
        append_latency,
        member,
        environment.peers,
        events,
        sends_notices=entry_policy.gathers_while_store_slow,
    )
    writer = GroupWriter(
        store,
        INBOX_PARTITION,
        f"entry/{me.node}/{me.incarnation}",
        settings.store.record_limits,
        append_latency,
        lambda: entry_policy.gathers_while_store_slow and slow_store.is_slow_and_responding,
        lambda: member.is_store_silent,
    )
    context = NodeContext(
        settings_holder=settings_holder,
        policy=environment.policy,
        store=store,
        inbox_writer=writer,
        hosts=environment.hosts,
        advice=environment.advice,
        events=events,
        job_index=job_index,
        host_directory=host_directory,
        config_holder=config_holder,
        evacuations=evacuations,
        get_wall_ms=environment.get_wall_ms,
        poll_hosts_faster=lambda: hosts.poll_faster(HOSTS_FAST_PERIOD_S, HOSTS_FAST_S),
        read_hosts_to_end=lambda: _read_to_end(hosts),
        read_operators_to_end=lambda: _read_to_end(operators),
        read_inbox_once=inbox.read_to_end,
        read_inbox_to_end=lambda: _read_to_end(inbox),
        get_owners_unconfirmed_s=lambda: loop.time() - table.follower.confirmed_at_s,
        get_hosts_unconfirmed_s=lambda: loop.time() - hosts.confirmed_at_s,
        get_operators_unconfirmed_s=lambda: loop.time() - operators.confirmed_at_s,
        is_store_silent=lambda: member.is_store_silent,
        may_split_progress=lambda: all_read_parts(member.members),
    )
    policy = environment.policy.owners
    supervisor = TaskSupervisor(me.node, events)
    host_list = HostListAccess(store, records.hosts_partition, hosts, member)
    election = Election(
        table,
        me,
        member,
        owner_liveness,
        config_holder,
        events,
        policy,
        lambda: not supervisor.find_failing() and not host_list.is_in_doubt,
    )
    owned = OwnedPools(context)
    lag = LoopLag()
    handover = Handover(
        me,
        table,
        election,
        member,
        owned,
        environment.peers,
        events,
        lag,
        host_list,
        supervisor.find_failing,
    )
    rebalance_planner = RebalancePlanner(me, table, election, member, handover, owned, lag, policy)
    record_writer = RecordWriter(
        me,
        writer,
        member,
        handover,
        environment.peers,
        events,
        entry_policy,
        slow_store,
        settings.store.record_limits,
    )
    job_service = JobService(me, record_writer, owned, table, environment.peers, events)

    def make_steward(token: int, wait_s: float) -> Steward:
        return Steward(context, environment, table, owned, me, token, wait_s)

    node = Node(
        context,
        me,
        table,
        election,
        member,
        owned,
        make_steward,
        handover,
        rebalance_planner,
        (hosts, inbox),
        supervisor,
    )
    readiness = Readiness(node, member, table, config_holder, handover, events)
    views = ViewAges(
        [
            View(hosts, lambda: settings_holder.settings.bounds.drain_ms / 1000),
            *(
                View(follower, lambda: FOLLOWED_AGE_MAX_S)
                for follower in (inbox, table.follower, operators)
            ),
        ],
        events,
    )
    status_reporter = StatusReporter(owned, lag, readiness, views, events)
    for name, make_work in {
        "operators": operators.run,
        "hosts": hosts.run,
        "inbox": inbox.run,
        "owners": table.follower.run,
        "member": member.run,
        "member_list": member.run_listing,
        "slow_store": slow_store.run,
        "owner_liveness": owner_liveness.run,
        "handover": handover.run,
        "loop_lag": lag.run,
        "settings": settings_holder.run,
        "inbox_writer": writer.run,
        "node": node.run,
        "status": status_reporter.run,
    }.items():
        supervisor.start(name, make_work)
    request_handler = PeerRequestHandler(owned, record_writer, handover, slow_store, host_list)
    return AssembledNode(
        node,
        job_service,
        owned,
        request_handler,
        config_holder,
        lag,
        readiness,
        status_reporter,
        supervisor,
        views,
    )


async def _read_to_end(follower: KeyedFollower) -> None:
    """Read all records, retrying until the store responds."""
    while True:
        try:
            return await follower.read_to_end()
        except StoreError:
            await asyncio.sleep(RETRY_PAUSE_S)
