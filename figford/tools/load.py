"""A load generator: open-loop model requests, measured per token.

The stand-in engine writes the time at which it sent a token into the event
of that token. Sender and receiver share the clock of one machine, so that
the transit time of a token can be measured.
"""

import json
import math
import random
import time
import typing

import attrs
from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import task
from twisted.web import client
from twisted.web import http_headers
import typer

from figford import upstreams

PERCENTILES = (50, 95, 99)


@attrs.define
class Sample:
    """Measurements of one kind, in seconds."""

    values: list[float] = attrs.field(factory=list)

    def percentile(self, percent: float) -> float:
        """Returns a percentile; 0 where nothing was measured.

        >>> Sample([1.0, 2.0, 3.0]).percentile(50)
        2.0
        """
        if not self.values:
            return 0.0
        ordered = sorted(self.values)
        rank = math.ceil(percent / 100 * len(ordered)) - 1
        return ordered[max(0, rank)]

    def summary(self) -> dict[str, float]:
        """Returns count and percentiles in milliseconds."""
        result: dict[str, float] = {"count": len(self.values)}
        for percent in PERCENTILES:
            result[f"p{percent}_ms"] = round(
                self.percentile(percent) * 1000, 3
            )
        return result


@attrs.define
class Report:
    """The measurements of one run.

    `first_token_transit` is the transit time of a request to the engine plus
    that of its first token back, without the engine's own time in between.
    """

    first_byte: Sample = attrs.field(factory=Sample)
    first_token_transit: Sample = attrs.field(factory=Sample)
    token_transit: Sample = attrs.field(factory=Sample)
    between_tokens: Sample = attrs.field(factory=Sample)
    total: Sample = attrs.field(factory=Sample)
    outcomes: dict[str, int] = attrs.field(factory=dict)
    tokens: int = 0
    seconds: float = 0.0

    def count(self, outcome: str) -> None:
        """Counts a request by its outcome."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    def to_plain(self) -> dict:
        """Returns the report as a JSON-compatible dictionary."""
        return {
            "first_byte": self.first_byte.summary(),
            "first_way": self.first_token_transit.summary(),
            "token_way": self.token_transit.summary(),
            "between_tokens": self.between_tokens.summary(),
            "whole": self.total.summary(),
            "outcomes": self.outcomes,
            "tokens": self.tokens,
            "seconds": round(self.seconds, 3),
            "tokens_per_second": round(self.tokens / self.seconds, 1),
        }


class _Reader(protocol.Protocol):
    """Reads one streamed answer and measures its timing."""

    def __init__(self, report: Report, started: float) -> None:
        self.done: defer.Deferred = defer.Deferred()
        self._report = report
        self._started_at = started
        self._last_data_at: float | None = None
        self._incomplete_event = b""
        self._ended = False
        self._timed_first = False

    def dataReceived(self, data: bytes) -> None:
        """Measures the timing of the tokens in the data."""
        now = time.monotonic()
        if self._last_data_at is None:
            self._report.first_byte.values.append(now - self._started_at)
        else:
            self._report.between_tokens.values.append(now - self._last_data_at)
        self._last_data_at = now
        events = (self._incomplete_event + data).split(b"\n\n")
        self._incomplete_event = events.pop()
        for event in events:
            self._record_event(event, now)

    def _record_event(self, event: bytes, now: float) -> None:
        _, _, content = event.partition(b"data: ")
        if content == b"[DONE]":
            self._ended = True
            return
        if event.startswith(b"event: error"):
            return
        self._report.tokens += 1
        chunk = json.loads(content)
        transit = now - chunk["sent_at"]
        self._report.token_transit.values.append(transit)
        if not self._timed_first:
            self._timed_first = True
            request_transit = chunk["received_at"] - self._started_at
            self._report.first_token_transit.values.append(
                request_transit + transit
            )

    def connectionLost(
        self, reason: typing.Any = protocol.connectionDone
    ) -> None:
        """Counts the answer as whole, or as cut if its end is missing."""
        self._report.count("whole" if self._ended else "cut")
        self._report.total.values.append(time.monotonic() - self._started_at)
        self.done.callback(None)


@attrs.define(eq=False)
class LoadRun:
    """One run against one or more addresses."""

    reactor: typing.Any
    addresses: list[str]
    key: str
    model: str
    tokens: int
    rng: random.Random
    report: Report = attrs.field(factory=Report)
    _agent: client.Agent = attrs.field(init=False)
    _request_count: int = 0

    def __attrs_post_init__(self) -> None:
        """Creates the HTTP client."""
        pool = client.HTTPConnectionPool(self.reactor, persistent=True)
        pool.maxPersistentPerHost = 1_000
        pool.retryAutomatically = False
        self._agent = client.Agent(self.reactor, pool=pool)

    @defer.inlineCallbacks
    def run(self, rate: float, seconds: float) -> typing.Iterator[typing.Any]:
        """Sends requests at a mean rate and waits for all answers."""
        started = time.monotonic()
        pending = []
        while time.monotonic() - started < seconds:
            pending.append(self._request())
            yield task.deferLater(
                self.reactor, self.rng.expovariate(rate), lambda: None
            )
        yield defer.DeferredList(pending)
        self.report.seconds = time.monotonic() - started

    def _request(self) -> defer.Deferred:
        self._request_count += 1
        address = self.addresses[self._request_count % len(self.addresses)]
        body = {
            "model": self.model,
            "stream": True,
            "max_tokens": self.tokens,
            "messages": [
                {"role": "user", "content": f"prompt {self._request_count}"}
            ],
        }
        started = time.monotonic()
        deferred = self._agent.request(
            b"POST",
            f"http://{address}/v1/chat/completions".encode(),
            http_headers.Headers(
                {
                    b"authorization": [f"Bearer {self.key}".encode()],
                    b"content-type": [b"application/json"],
                }
            ),
            upstreams.BytesProducer(json.dumps(body).encode()),
        )
        deferred.addCallback(self._on_response, started)
        deferred.addErrback(
            lambda failure: self.report.count(failure.type.__name__)
        )
        return deferred

    def _on_response(self, response: typing.Any, started: float) -> typing.Any:
        if response.code != 200:
            self.report.count(str(response.code))
            return client.readBody(response)
        reader = _Reader(self.report, started)
        response.deliverBody(reader)
        return reader.done


def run(
    address: str = "127.0.0.1:8080",
    key: str = "demo-key",
    model: str = "assistant",
    rate: float = 15.0,
    tokens: int = 333,
    seconds: float = 10.0,
    seed: int = 1,
) -> None:
    """Sends an open-loop load to loopback addresses; prints a JSON report."""
    from twisted.internet import reactor

    addresses = address.split(",")
    if not all(item.startswith("127.") for item in addresses):
        typer.echo("load may be sent to loopback addresses only", err=True)
        raise typer.Exit(2)
    load = LoadRun(reactor, addresses, key, model, tokens, random.Random(seed))

    def begin() -> None:
        load.run(rate, seconds).addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()
    typer.echo(json.dumps(load.report.to_plain()))


def main() -> None:
    """Runs the command."""
    typer.run(run)


if __name__ == "__main__":
    main()
