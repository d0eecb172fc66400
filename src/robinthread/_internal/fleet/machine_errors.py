"""How an order for a machine may fail."""


class MachineError(Exception):
    """An order for a machine failed."""


class MachineNoAnswerError(MachineError):
    """No answer came: the order may have been carried out, or may be later."""


class MachineRefusedError(MachineError):
    """Nothing was done; the order may be given again later."""


class MachineBusyError(MachineRefusedError):
    """The machine is not up, or it leaves."""


class MachineFencedError(MachineError):
    """A newer holder's token has been seen for the machine."""


class MachineMisfitError(MachineError):
    """There is no such machine, or it does not fit the pool or the wave."""
