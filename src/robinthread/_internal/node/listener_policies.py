"""What the listeners of a node allow their clients, derived from the node's own limits."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from typing import Final

from robinthread._internal.node.config_holder import ConfigHolder
from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.utils.listener_limits import (
    ListenerLimits,
    ListenerPolicy,
    ProcessLimits,
)

# Shares of the listeners: of the memory, and of the descriptors, that all of them may take.
CALLERS_SHARES: Final = (1 / 2, 5 / 8)
PEERS_SHARES: Final = (3 / 8, 1 / 4)
READY_SHARES: Final = (1 / 16, 1 / 16)
METRICS_SHARES: Final = (1 / 16, 1 / 16)
# Part of its memory that one body may have on the listener of peers, which send no large ones.
PEER_BODY_SHARE: Final = 1 / 4


@dataclass(frozen=True, slots=True)
class ListenerPolicies:
    """The policies of a node's listeners."""

    callers: ListenerPolicy
    peers: ListenerPolicy
    ready: ListenerPolicy
    metrics: ListenerPolicy


def make_listener_policies(
    process: ProcessLimits,
    own_fds: int,
    holder: ConfigHolder,
    make_refusal_body: Callable[[int], bytes],
    events: EventLog,
) -> ListenerPolicies:
    """Return the policies of a node's listeners.

    ``own_fds`` is the number of descriptors that the node's own calls may take.
    ``make_refusal_body`` returns the body of a caller's refusal by its status.
    """
    callers = process.share(*CALLERS_SHARES, own_fds)
    peers = process.share(*PEERS_SHARES, own_fds)
    peers = replace(peers, body_max_bytes=int(peers.read_max_bytes * PEER_BODY_SHARE))
    ready, metrics = (process.share(*shares, own_fds) for shares in (READY_SHARES, METRICS_SHARES))

    def get_caller_limits() -> ListenerLimits:
        config = holder.config
        if config is None:
            return callers
        return replace(
            callers,
            body_max_bytes=config.body_max_bytes,
            header_max_bytes=config.header_max_bytes,
        )

    def make_note(listener: str) -> Callable[[str], None]:
        return partial(_note, events, listener)

    return ListenerPolicies(
        ListenerPolicy(get_caller_limits, make_refusal_body, make_note("callers")),
        ListenerPolicy(lambda: peers, note=make_note("peers")),
        ListenerPolicy(lambda: ready, note=make_note("ready")),
        ListenerPolicy(lambda: metrics, note=make_note("metrics")),
    )


def _note(events: EventLog, listener: str, outcome: str) -> None:
    """Count a connection that was closed; a crowd of them is one line a second."""
    events.gather("connection_refused", by={"outcome": outcome, "listener": listener})
