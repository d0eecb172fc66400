"""A host of workers in the fleet state."""

from dataclasses import dataclass

from robinthread._internal.models.host_phase import HostPhase


@dataclass(frozen=True, slots=True)
class Host:
    """An upstream host.

    ``token`` is the log offset of the record that last assigned the host to a pool or a wave
    or returned it to service.  It is the fencing token of every operation on the host.
    ``boot_id`` is the worker's boot id from before the reboot in its current wave.
    """

    name: str
    hall: str
    rack: str
    address: str
    slots: int
    connections: int
    accelerators: int = 0
    pool: str = ""
    phase: HostPhase = HostPhase.FREE
    wave: str = ""
    token: int = 0
    boot_id: str = ""

    @property
    def is_serving(self) -> bool:
        """Return whether the host counts as serving in its pool's budget."""
        return self.phase is HostPhase.SERVING
