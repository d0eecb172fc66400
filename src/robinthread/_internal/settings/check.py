"""Checks of settings: missing values, ranges, addresses and combinations."""

import dataclasses
import ipaddress
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final

from robinthread._internal.settings.daemon_settings import DaemonSettings
from robinthread._internal.settings.policy_settings import PolicySettings

POLICIES: Final = ("planner", "one_at_a_time", "batch")
# Exceeds the delay beyond a job's own work that callers accept in any queue observed.
SLACK_MARGIN_MAX_S: Final = 5.0
# A larger value would extrapolate a rise in demand for longer than it has lasted.
RISE_AHEAD_MAX_S: Final = 2.0
MAY_BE_ZERO: Final = frozenset(
    {
        "buffer_weight",
        "rollout_weight",
        "moves_weight",
        "balancer_grace_s",
        "farewell_s",
        "permit_effect_s",
        "takeover_wait_s",
        "clock_skew_s",
        "retry_share",
        "move_cost_s",
        "answer_keep_s",
    }
)


@dataclass(frozen=True)
class Conflict:
    """A setting that is missing, malformed, out of range or incompatible with another."""

    key: str
    text: str


def iter_conflicts(settings: DaemonSettings) -> Iterator[Conflict]:
    """Iterate over all conflicts in a daemon's settings."""
    yield from _iter_missing(settings)
    yield from _iter_out_of_range(settings, ())
    yield from _iter_addresses(settings)
    yield from _iter_combinations(settings)


def iter_policy_conflicts(policy: PolicySettings) -> Iterator[Conflict]:
    """Iterate over the settings of a policy that are out of range."""
    bounds = {
        "demand.rise_ahead_s": (policy.demand.rise_ahead_s, RISE_AHEAD_MAX_S),
        "demand.late_share": (policy.demand.late_share, 1.0),
        "placement.slack_margin_s": (policy.placement.slack_margin_s, SLACK_MARGIN_MAX_S),
        "workspaces.kept_share": (policy.workspaces.kept_share, 1.0),
    }
    return (
        Conflict(key, f"is {value}, expected at least 0 and at most {maximum}")
        for key, (value, maximum) in bounds.items()
        if not 0 <= value <= maximum
    )


def _iter_missing(settings: DaemonSettings) -> Iterator[Conflict]:
    required = {
        "name": settings.name,
        "hall": settings.hall,
        "platform.log_url": settings.platform.log_url,
    }
    return (Conflict(key, "is missing") for key, value in required.items() if not value)


def _iter_out_of_range(section: Any, path: tuple[str, ...]) -> Iterator[Conflict]:
    for field in dataclasses.fields(section):
        value = getattr(section, field.name)
        name = ".".join((*path, field.name))
        if dataclasses.is_dataclass(value):
            yield from _iter_out_of_range(value, (*path, field.name))
        elif isinstance(value, int | float) and not isinstance(value, bool):
            zero_is_allowed = field.name in MAY_BE_ZERO
            if value < 0 or (value == 0 and not zero_is_allowed):
                bound = "at least 0" if zero_is_allowed else "more than 0"
                yield Conflict(name, f"is {value}, expected {bound}")


def _iter_addresses(settings: DaemonSettings) -> Iterator[Conflict]:
    listen = settings.listen
    addresses = {
        "listen.caller_address": listen.caller_address,
        "listen.operator_address": listen.operator_address,
        "listen.metrics_address": listen.metrics_address,
        "listen.peer_address": listen.peer_address.removeprefix("tcp://"),
    }
    for key, address in addresses.items():
        if not _is_address(address):
            yield Conflict(key, f"is {address!r}, expected an IP address, a colon and a port")
    fixed_addresses = [address for address in addresses.values() if not address.endswith(":0")]
    if len(set(fixed_addresses)) < len(fixed_addresses):
        yield Conflict("listen", "two listeners have the same address")


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isdigit() and int(port) <= 65535


def _iter_combinations(settings: DaemonSettings) -> Iterator[Conflict]:
    claims, peers, dispatch = settings.claims, settings.peers, settings.dispatch
    listen, waves, platform = settings.listen, settings.waves, settings.platform
    checks = {
        "claims.claim_horizon_s": (
            claims.claim_horizon_s + claims.clock_skew_s < platform.log_retention_s,
            "with clock_skew_s must be shorter than platform.log_retention_s",
        ),
        "peers.silent_after_s": (
            peers.silent_after_s > peers.heartbeat_s,
            "must be longer than peers.heartbeat_s",
        ),
        "peers.evict_after_s": (
            peers.evict_after_s > peers.silent_after_s,
            "must be longer than peers.silent_after_s",
        ),
        "peers.hall_silent_after_s": (
            peers.hall_silent_after_s > peers.hall_heartbeat_s,
            "must be longer than peers.hall_heartbeat_s",
        ),
        "dispatch.preempt_after_s": (
            dispatch.preempt_after_s < dispatch.urgent_start_s,
            "must be shorter than dispatch.urgent_start_s",
        ),
        "dispatch.suspend_max_s": (
            dispatch.suspend_max_s >= dispatch.suspend_min_s,
            "must be at least dispatch.suspend_min_s",
        ),
        "entry.retry_share": (settings.entry.retry_share <= 1, "must be at most 1"),
        "waves.policy": (waves.policy in POLICIES, f"must be one of {', '.join(POLICIES)}"),
        "listen.tls_key_file": (
            bool(listen.tls_key_file) == bool(listen.tls_certificate_file),
            "and listen.tls_certificate_file go together",
        ),
    }
    return (Conflict(key, text) for key, (holds, text) in checks.items() if not holds)
