"""How a call to a job host may fail."""


class HostError(Exception):
    """A call to a host failed."""


class HostNoAnswerError(HostError):
    """No answer came: the order may have been carried out, or may be later."""


class HostSilentError(HostNoAnswerError):
    """No answer came in time, on a connection that had not broken."""


class HostUnreachableError(HostError):
    """No connection could be made, so nothing was sent."""


class HostRefusedError(HostUnreachableError):
    """The connection was refused: no process listens at the host's address."""


class HostGoneError(HostError):
    """Another life answers at the address: this one has ended."""


class HostFencedError(HostError):
    """The host has seen a higher token: another node owns the pool."""


class HostUnhealthyError(HostError):
    """The host did nothing, for it is not well."""


class StartRejectedError(HostError):
    """The host will not start the run."""


class RunTooOldError(StartRejectedError):
    """A run with this number or a higher one has ended or been stopped there."""


class StartTooLateError(StartRejectedError):
    """The order reached the host after its lease's end."""


class NoRoomError(StartRejectedError):
    """The task does not fit."""


class TicketRejectedError(StartRejectedError):
    """The ticket is missing, expired or of another life."""
