"""External interfaces of a daemon, as plain functions."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from robinthread._internal.follow.host_list import ListHostsFunction
from robinthread._internal.peers.transport import PeerTransport
from robinthread._internal.platform_log.service import LogService
from robinthread._internal.telemetry.counters import Counters
from robinthread._internal.upstream.service import UpstreamService


@dataclass(frozen=True)
class Environment:
    """Interfaces to everything outside the daemon; tests replace them by stand-ins.

    ``wall_clock`` returns Unix time in seconds.  ``random`` has a fixed seed in tests and is
    the operating system's generator otherwise.
    """

    log: LogService
    upstream: UpstreamService
    list_hosts: ListHostsFunction
    peers: PeerTransport
    wall_clock: Callable[[], float]
    random: random.Random
    counters: Counters
    operator_address: str = ""
