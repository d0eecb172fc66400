"""Event counts, latencies and gauges of a node, recorded without the exporter."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from opentelemetry.metrics import CallbackOptions, Meter, NoOpMeterProvider, Observation

from robinthread._internal.telemetry.latencies import LatencyHistogram

ReadGauge = Callable[[], Mapping[str, float]]


class NodeMetrics:
    """Event counts and latencies of a node since its start; an exporter loaded later reads them.

    Latencies are in seconds.  An outcome is a word, such as "ok", or the class name of an error.
    """

    def __init__(self, meter: Meter | None = None) -> None:
        meter = meter or NoOpMeterProvider().get_meter("robinthread")
        self._meter = meter
        self._events: Counter[tuple[str, str]] = Counter()
        meter.create_observable_counter("robinthread_events", callbacks=[self._read_events])
        self._requests = LatencyHistogram("robinthread_request_seconds", "kind", "code")
        self._store_calls = LatencyHistogram("robinthread_store_call_seconds", "kind", "outcome")
        self._host_calls = LatencyHistogram("robinthread_host_call_seconds", "kind", "outcome")
        self._machine_calls = LatencyHistogram(
            "robinthread_machine_call_seconds", "kind", "outcome"
        )
        self._starts = LatencyHistogram("robinthread_acceptance_to_start_seconds", "pool")
        self._sendings = LatencyHistogram("robinthread_placement_to_sending_seconds", "pool")
        self._jobs = LatencyHistogram("robinthread_acceptance_to_end_seconds", "pool", "status")

    @property
    def latencies(self) -> tuple[LatencyHistogram, ...]:
        """Return all histograms, first those that best show how callers are served."""
        return (
            self._starts,
            self._jobs,
            self._requests,
            self._store_calls,
            self._host_calls,
            self._machine_calls,
            self._sendings,
        )

    def count_event(self, event: str, outcome: str) -> None:
        """Count an event, whether its line is written or suppressed."""
        self._events[event, outcome] += 1

    def record_request(self, kind: str, code: int, took_s: float) -> None:
        """Record the latency of a caller's request, by kind and number of its result code."""
        self._requests.record(took_s, kind, str(code))

    def record_store_call(self, kind: str, outcome: str, took_s: float) -> None:
        """Record the latency of a call to the store."""
        self._store_calls.record(took_s, kind, outcome)

    def record_host_call(self, kind: str, outcome: str, took_s: float) -> None:
        """Record the latency of an order to a job host."""
        self._host_calls.record(took_s, kind, outcome)

    def record_machine_call(self, kind: str, outcome: str, took_s: float) -> None:
        """Record the latency of a call about the fleet's machines."""
        self._machine_calls.record(took_s, kind, outcome)

    def record_run_start(self, pool: str, since_accepted_s: float) -> None:
        """Record the time from a job's acceptance to the start of a run."""
        self._starts.record(max(0.0, since_accepted_s), pool)

    def record_sending(self, pool: str, since_placed_s: float) -> None:
        """Record the time from the choice of a run's host until its start was first sent."""
        self._sendings.record(max(0.0, since_placed_s), pool)

    def record_job_end(self, pool: str, status: str, since_accepted_s: float) -> None:
        """Record the time from a job's acceptance to its end."""
        self._jobs.record(max(0.0, since_accepted_s), pool, status)

    def register_gauge(self, name: str, label: str, read: ReadGauge) -> None:
        """Register a gauge; ``read`` returns its values by the value of ``label``."""

        def callback(options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(value, {label: key}) for key, value in read().items()]

        self._meter.create_observable_gauge(f"robinthread_{name}", callbacks=[callback])

    def _read_events(self, options: CallbackOptions) -> Iterable[Observation]:
        return [
            Observation(count, {"event": event, "outcome": outcome})
            for (event, outcome), count in self._events.items()
        ]
