"""Errors of calls to job hosts."""


class HostError(Exception):
    """A call to a host failed."""


class HostNoAnswerError(HostError):
    """The host did not respond; it may have carried out the order or may do so later.

    ``connected_at_s`` is when the connection that carried the order had been opened at the latest,
    by the event loop's clock; None if it was opened for the order, or that is not known.
    """

    def __init__(self, reason: str = "", connected_at_s: float | None = None) -> None:
        super().__init__(reason)
        self.connected_at_s = connected_at_s


class HostSilentError(HostNoAnswerError):
    """The call timed out on a connection that had not broken."""


class HostUnreachableError(HostError):
    """The connection could not be established, so nothing was sent."""


class HostRefusedError(HostUnreachableError):
    """The connection was refused: no process listens at the host's address."""


class HostGoneError(HostError):
    """Another incarnation responds at the address: this one has ended."""


class HostFencedError(HostError):
    """The host has seen a higher fencing token: another node owns the pool."""


class HostUnhealthyError(HostError):
    """The host is unhealthy and did not carry out the order."""


class StartRejectedError(HostError):
    """The host rejects the start of the run.

    ``clock_ms`` is the host's clock; None if the host did not tell it.  The host may have extended
    its leases as the start asked.
    """

    def __init__(self, reason: str = "", clock_ms: int | None = None) -> None:
        super().__init__(reason)
        self.clock_ms = clock_ms


class RunTooOldError(StartRejectedError):
    """A run of the task with this number or a higher one has ended or was stopped there."""


class StartTooLateError(StartRejectedError):
    """The start order arrived after its lease had ended."""


class NoRoomError(StartRejectedError):
    """The host does not have enough free capacity for the task."""


class TicketRejectedError(StartRejectedError):
    """The ticket is missing, expired or was issued for another incarnation."""
