"""The outside of a daemon, as plain functions."""

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
    """Interfaces that a daemon works through; tests put stand-ins here.

    ``wall_clock`` returns Unix time in seconds.  ``random`` is seeded in tests
    and by the operating system otherwise.
    """

    log: LogService
    upstream: UpstreamService
    list_hosts: ListHostsFunction
    peers: PeerTransport
    wall_clock: Callable[[], float]
    random: random.Random
    counters: Counters
    operator_address: str = ""
