"""Work of a pool that waits or is expected, as its owner reports it to the steward."""

import msgspec


class OpenWork(msgspec.Struct, frozen=True, array_like=True):
    """Work without hosts that has to start at about the same time.

    It must start within ``start_in_ms`` for its jobs to be on time.  ``work`` is in
    resource-seconds: thousandths of a core, MB and accelerators times seconds, with what remains
    free of a host because no further task fits.  ``task_ms`` is the time that the longest of its
    tasks takes.  ``worth`` is the ratio of the whole work of its jobs to what is left of it: the
    work that is done or runs is lost as well if the rest is late.
    """

    start_in_ms: int
    work: tuple[float, float, float]
    task_ms: int
    worth: float = 1.0


class ExpectedWork(msgspec.Struct, frozen=True, array_like=True):
    """Work that arrives per second, in resource-seconds, if the rate of arrivals goes on.

    It must start within ``start_in_ms`` of its arrival.  ``task_ms`` is how long its jobs take.
    """

    work_per_s: tuple[float, float, float]
    start_in_ms: int
    task_ms: int


class PoolWorkReport(msgspec.Struct, frozen=True, array_like=True):
    """Work of a pool: what can be on time, what can't, and what is expected to arrive."""

    on_time: tuple[OpenWork, ...] = ()
    late: tuple[float, float, float] = (0.0, 0.0, 0.0)
    expected: ExpectedWork | None = None
