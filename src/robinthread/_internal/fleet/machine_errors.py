"""Errors of calls and orders for machines."""


class MachineError(Exception):
    """Base class: a call or an order for a machine failed."""


class MachineNoAnswerError(MachineError):
    """There was no response: the order may have been carried out, or still may be."""


class MachineRefusedError(MachineError):
    """The order was rejected and had no effect; it may be given again later."""


class MachineBusyError(MachineRefusedError):
    """The machine is not up, or it is leaving its pool."""


class MachineFencedError(MachineError):
    """The platform has seen a newer fencing token for the machine."""


class MachineMisfitError(MachineError):
    """The machine does not exist, or does not match the pool or the wave."""
