"""Settings of a daemon."""

from dataclasses import dataclass, field

from robinthread._internal.settings.claim_settings import ClaimSettings
from robinthread._internal.settings.dispatch_settings import DispatchSettings
from robinthread._internal.settings.entry_settings import EntrySettings
from robinthread._internal.settings.peer_settings import PeerSettings
from robinthread._internal.settings.platform_settings import PlatformSettings
from robinthread._internal.settings.wave_settings import WaveSettings


@dataclass(frozen=True)
class ListenSettings:
    """Addresses that a daemon listens on; it uses TLS if both TLS files are set."""

    caller_address: str = "127.0.0.1:0"
    operator_address: str = "127.0.0.1:0"
    metrics_address: str = "127.0.0.1:0"
    peer_address: str = "tcp://127.0.0.1:0"
    operator_token_file: str = ""
    operator_schema_file: str = ""
    tls_certificate_file: str = ""
    tls_key_file: str = ""


@dataclass(frozen=True)
class StopSettings:
    """Timing of a planned stop.

    The daemon becomes unready, waits ``balancer_grace_s`` for the load balancer, then at most
    ``finish_timeout_s`` until its requests have finished, leaves the fleet, and waits
    ``farewell_s`` before it closes its connections.
    """

    balancer_grace_s: float = 2.0
    finish_timeout_s: float = 120.0
    farewell_s: float = 1.0


@dataclass(frozen=True)
class DaemonSettings:
    """All settings of a daemon; ``name`` is the name of its entry host."""

    name: str = ""
    hall: str = ""
    peer_seeds: tuple[str, ...] = ()
    events_max: int = 2048
    listen: ListenSettings = field(default_factory=ListenSettings)
    platform: PlatformSettings = field(default_factory=PlatformSettings)
    peers: PeerSettings = field(default_factory=PeerSettings)
    claims: ClaimSettings = field(default_factory=ClaimSettings)
    entry: EntrySettings = field(default_factory=EntrySettings)
    dispatch: DispatchSettings = field(default_factory=DispatchSettings)
    waves: WaveSettings = field(default_factory=WaveSettings)
    stop: StopSettings = field(default_factory=StopSettings)
