"""Sizes and wave settings of the first two deployments."""

from dataclasses import dataclass, replace

from robinthread._internal.settings.daemon_settings import DaemonSettings
from robinthread._internal.settings.dispatch_settings import DispatchSettings
from robinthread._internal.settings.platform_settings import PlatformSettings
from robinthread._internal.settings.wave_settings import WaveSettings

POOLS = ("a", "b", "c", "d", "e")
HOSTS_A_POOL = 8
HOSTS_A_RACK = 4
SLOTS = 8
FLOOR = 6
REBOOT_S = 120.0


@dataclass(frozen=True)
class Deployment:
    """A deployment: its halls, the network delay between them and its settings."""

    name: str
    halls: tuple[str, ...]
    delay_s: float
    settings: DaemonSettings


def _make_settings(waves: WaveSettings) -> DaemonSettings:
    return DaemonSettings(
        waves=waves,
        dispatch=DispatchSettings(report_interval_s=5.0, host_fail_after_s=10.0),
        platform=PlatformSettings(host_list_interval_s=5.0),
    )


WIJESEKERA = Deployment(
    "wijesekera",
    ("kandy", "peradeniya", "nuwara-eliya", "matale"),
    0.0005,
    _make_settings(WaveSettings(buffer_weight=4.0, rollout_weight=1.0, drain_timeout_s=300.0)),
)
NOGOON = Deployment(
    "nogoon",
    ("hall-1", "hall-2", "hall-3", "hall-4"),
    0.001,
    _make_settings(WaveSettings(buffer_weight=1.0, rollout_weight=4.0, drain_timeout_s=20.0)),
)
DEPLOYMENTS = (WIJESEKERA, NOGOON)


def with_policy(deployment: Deployment, **changes: object) -> Deployment:
    """Return a copy of the deployment with ``changes`` to its wave settings."""
    waves = replace(deployment.settings.waves, **changes)  # type: ignore[arg-type]
    return replace(deployment, settings=replace(deployment.settings, waves=waves))
