"""Counters and gauges of a process, exported through OpenTelemetry."""

from collections import Counter
from collections.abc import Callable

from opentelemetry.metrics import CallbackOptions, Meter, NoOpMeterProvider, Observation


class Counters:
    """Named counters, exported through a meter and also summed in ``tally`` for ``status``.

    Without a meter, as in tests, a no-op meter takes its place.
    """

    def __init__(self, meter: Meter | None = None) -> None:
        self.tally: Counter[str] = Counter()
        self._meter = meter or NoOpMeterProvider().get_meter("robinthread")
        self._counters = {}  # type: ignore[var-annotated]

    def add(self, name: str, amount: float = 1) -> None:
        """Add ``amount`` to the counter ``name``."""
        self.tally[name] += amount  # type: ignore[assignment]
        counter = self._counters.get(name)
        if counter is None:
            counter = self._counters[name] = self._meter.create_counter(f"robinthread_{name}")
        counter.add(amount)

    def register_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value ``read`` returns at each collection."""

        def callback(options: CallbackOptions) -> list[Observation]:
            return [Observation(read())]

        self._meter.create_observable_gauge(f"robinthread_{name}", callbacks=[callback])
