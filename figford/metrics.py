"""Counters, gauges and histograms in the Prometheus text format.

Observations made per token are buffered in plain lists and passed to
`aioprometheus` when the metrics are scraped.
"""

import bisect
import typing

import aioprometheus
from aioprometheus import histogram as prometheus_histogram
import attrs

SECONDS_BUCKETS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.02,
    0.032,
    0.05,
    0.1,
    0.2,
    0.4,
    0.66,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
    60.0,
)


@attrs.define
class HistogramBuffer:
    """Buffered observations of one label set, by histogram bucket."""

    counts: list[int] = attrs.field(
        factory=lambda: [0] * (len(SECONDS_BUCKETS) + 1)
    )
    total: float = 0.0

    def add(self, seconds: float, count: int = 1) -> None:
        """Adds `count` observations of the same duration."""
        self.counts[bisect.bisect_left(SECONDS_BUCKETS, seconds)] += count
        self.total += seconds * count


@attrs.define
class BufferedHistogram:
    """A histogram by client account and class, updated when scraped."""

    name: str
    doc: str
    registry: aioprometheus.Registry
    _collector: aioprometheus.Histogram = attrs.field(init=False)
    _buffer_by_labels: dict[tuple[str, str], HistogramBuffer] = attrs.field(
        factory=dict
    )

    def __attrs_post_init__(self) -> None:
        """Registers the collector."""
        self._collector = aioprometheus.Histogram(
            self.name,
            self.doc,
            buckets=list(SECONDS_BUCKETS),
            registry=self.registry,
        )

    def buffer(self, account: str, request_class: str) -> HistogramBuffer:
        """Returns the buffer of a client account and class."""
        key = (account, request_class)
        buffer = self._buffer_by_labels.get(key)
        if buffer is None:
            buffer = self._buffer_by_labels[key] = HistogramBuffer()
        return buffer

    def publish(self) -> None:
        """Passes the buffered observations to the collector."""
        for (account, request_class), buffer in self._buffer_by_labels.items():
            labels = {"client_account": account, "class": request_class}
            self._collector.set_value(labels, _cumulative(buffer))


def _cumulative(buffer: HistogramBuffer) -> prometheus_histogram.Histogram:
    published = prometheus_histogram.Histogram(*SECONDS_BUCKETS)
    running = 0
    for bound, count in zip(published.buckets, buffer.counts):
        running += count
        published.buckets[bound] = running
    published.observations = running
    published.sum = buffer.total
    return published


@attrs.define
class Metrics:
    """All metrics of one process."""

    registry: aioprometheus.Registry = attrs.field(
        factory=aioprometheus.Registry
    )
    first_token: BufferedHistogram = attrs.field(init=False)
    between_tokens: BufferedHistogram = attrs.field(init=False)
    request_duration: BufferedHistogram = attrs.field(init=False)
    outcomes: aioprometheus.Counter = attrs.field(init=False)
    tokens: aioprometheus.Counter = attrs.field(init=False)
    events: aioprometheus.Counter = attrs.field(init=False)
    states: aioprometheus.Gauge = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Registers all collectors."""
        self.first_token = BufferedHistogram(
            "figford_first_token_seconds",
            "Time from a request to its first token.",
            self.registry,
        )
        self.between_tokens = BufferedHistogram(
            "figford_between_tokens_seconds",
            "Time between tokens of an answer.",
            self.registry,
        )
        self.request_duration = BufferedHistogram(
            "figford_request_seconds",
            "Time from a request to the end of its answer.",
            self.registry,
        )
        self.outcomes = self._counter(
            "figford_requests_total", "Requests by outcome."
        )
        self.tokens = self._counter(
            "figford_tokens_total", "Tokens passed to callers."
        )
        self.events = self._counter(
            "figford_events_total", "Changes of state and dropped messages."
        )
        self.states = aioprometheus.Gauge(
            "figford_state",
            "Present state of this entry, by name.",
            registry=self.registry,
        )

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(name, doc, registry=self.registry)

    def outcome(self, account: str, request_class: str, kind: str) -> None:
        """Counts a request by client account, class and outcome."""
        self.outcomes.inc(
            {
                "client_account": account,
                "class": request_class,
                "outcome": kind,
            }
        )

    def event(self, kind: str) -> None:
        """Counts an event, which is not attributed to a client account."""
        self.events.inc({"event": kind})

    def set_state(self, name: str, value: float) -> None:
        """Sets a gauge of this process's state."""
        self.states.set({"name": name}, value)

    def render(self, accepts: typing.Sequence[str]) -> tuple[bytes, dict]:
        """Returns the text of all metrics and its HTTP headers."""
        for histogram in (
            self.first_token,
            self.between_tokens,
            self.request_duration,
        ):
            histogram.publish()
        return aioprometheus.render(self.registry, list(accepts))
