"""Counters and latency histograms of a node, by OpenTelemetry."""

from collections.abc import Callable, Iterable, Mapping

from opentelemetry.metrics import CallbackOptions, Meter, NoOpMeterProvider, Observation

ReadGauge = Callable[[], Mapping[str, float]]


class NodeMetrics:
    """What a node counts and times; without a meter nothing is kept.

    Latencies are in seconds.  An outcome is a word or the name of an error.
    """

    def __init__(self, meter: Meter | None = None) -> None:
        meter = meter or NoOpMeterProvider().get_meter("robinthread")
        self._meter = meter
        self._events = meter.create_counter("robinthread_events")
        self._requests = meter.create_histogram("robinthread_request_seconds")
        self._store_calls = meter.create_histogram("robinthread_store_call_seconds")
        self._host_calls = meter.create_histogram("robinthread_host_call_seconds")
        self._machine_calls = meter.create_histogram("robinthread_machine_call_seconds")
        self._starts = meter.create_histogram("robinthread_acceptance_to_start_seconds")
        self._jobs = meter.create_histogram("robinthread_acceptance_to_end_seconds")

    def count_event(self, event: str, outcome: str) -> None:
        """Count a log line, written or left out."""
        self._events.add(1, {"event": event, "outcome": outcome})

    def note_request(self, kind: str, code: int, took_s: float) -> None:
        """Note a caller's request and the number of its result code."""
        self._requests.record(took_s, {"kind": kind, "code": str(code)})

    def note_store_call(self, kind: str, outcome: str, took_s: float) -> None:
        """Note a call to the store."""
        self._store_calls.record(took_s, {"kind": kind, "outcome": outcome})

    def note_host_call(self, kind: str, outcome: str, took_s: float) -> None:
        """Note an order to a job host."""
        self._host_calls.record(took_s, {"kind": kind, "outcome": outcome})

    def note_machine_call(self, kind: str, outcome: str, took_s: float) -> None:
        """Note a call about the fleet's machines."""
        self._machine_calls.record(took_s, {"kind": kind, "outcome": outcome})

    def note_start(self, pool: str, since_accepted_s: float) -> None:
        """Note a run's start."""
        self._starts.record(max(0.0, since_accepted_s), {"pool": pool})

    def note_job_end(self, pool: str, status: str, since_accepted_s: float) -> None:
        """Note a job's end."""
        self._jobs.record(max(0.0, since_accepted_s), {"pool": pool, "status": status})

    def observe(self, name: str, label: str, read: ReadGauge) -> None:
        """Publish a gauge; ``read`` returns its values by label."""

        def callback(options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(value, {label: key}) for key, value in read().items()]

        self._meter.create_observable_gauge(f"robinthread_{name}", callbacks=[callback])
