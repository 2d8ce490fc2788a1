"""Upstreams that say they leave, or ask for a pause, get no requests."""

import datetime

import pytest

from figford import exchanges
from figford import forwarding
from figford.platform import dialect
from figford import routes
from figford.tests import test_crashforwarding
from figford.tests.test_forwarding import event
from figford.tests.test_forwarding import SECOND

DIALECT = dialect.PlatformDialect()


class Bench(test_crashforwarding.Bench):
    """A forwarder whose upstreams answer 503 or say that they leave."""

    def reject(self, **head: object) -> None:
        """Rejects the newest attempt as not run."""
        self.answer(503, not_run=True, signed=False, **head)

    def send(self) -> forwarding.ForwardedCall:
        """Begins one more call."""
        call = self.other("a2", "d", "own")
        self.forwarder.begin(call)
        return call

    def sent_to(self) -> list[str]:
        """Returns the addresses that requests were sent to."""
        return [address for address, _ in self.pool.sent]


@pytest.fixture(name="bench")
def fixture_bench():
    return Bench(routes.RetryMode.STREAM, resumable=True)


def test_a_paused_upstream_gets_nothing_until_the_pause_ends(bench) -> None:
    bench.begin()
    paused = bench.sent_to()[0]
    bench.reject(pause=2 * SECOND)
    for _ in range(10):
        bench.send()
    assert paused not in bench.sent_to()[1:]
    bench.clock.time += 2 * SECOND
    bench.hear_leader()
    for _ in range(10):
        bench.send()
    assert paused in bench.sent_to()[1:]


def test_the_longest_of_overlapping_pauses_counts(bench) -> None:
    bench.begin()
    first = bench.pool.sent[0][1].receiver
    target = first.target
    bench.reject(pause=3 * SECOND)
    now = bench.clock.now()
    assert not bench.forwarder.placement.pause_noticed(target, now + SECOND)
    later = now + 2 * SECOND
    assert not bench.forwarder.placement.takes_requests(target, later)


def test_a_pause_holds_for_one_incarnation(bench) -> None:
    bench.begin()
    target = bench.pool.sent[0][1].receiver.target
    bench.reject(pause=30 * SECOND, leaving=True)
    placement = bench.forwarder.placement
    now = bench.clock.now()
    assert not placement.takes_requests(target, now)
    restarted = type(target)(
        target.upstream, 2, target.address, target.service, "dc", 13, "m"
    )
    assert placement.takes_requests(restarted, now)


def test_without_any_other_upstream_the_caller_is_told_when(bench) -> None:
    bench.place("u1")
    bench.begin()
    bench.reject(pause=5 * SECOND)
    refused = bench.send().responder.refusal
    assert refused.status == 503
    assert 5 * SECOND <= refused.retry_after <= 6 * SECOND
    assert len(bench.pool.sent) == 1


def test_a_short_pause_is_waited_for(bench) -> None:
    bench.place("u1")
    bench.begin()
    bench.reject(pause=SECOND / 10)
    call = bench.send()
    assert call.state is forwarding.State.WAITING
    bench.clock.time += SECOND / 10
    bench.forwarder.tick()
    assert call.state is forwarding.State.SENT


def test_a_leaving_upstream_finishes_its_answers_and_gets_no_more(
    bench,
) -> None:
    bench.begin()
    leaving = bench.sent_to()[0]
    receiver = bench.receiver
    bench.answer(200, event(1), event(2), streamed=True, leaving=True)
    for _ in range(10):
        bench.send()
    assert leaving not in bench.sent_to()[1:]
    receiver.answer_ended()
    assert bench.call.responder.ends == ["whole"]
    bench.clock.time += 1000 * SECOND
    bench.send()
    assert leaving not in bench.sent_to()[1:]


def test_repeats_avoid_leaving_and_paused_upstreams(bench) -> None:
    bench.begin()
    placement = bench.forwarder.placement
    other = next(
        target
        for target in placement.targets("s", "m")
        if target.upstream not in bench.call.tried
    )
    placement.pause_noticed(other, bench.clock.now() + SECOND)
    bench.receiver.answer_failed(exchanges.Failure.NOT_SENT)
    assert len(bench.pool.sent) == 1


def test_without_upstreams_that_stay_callers_are_refused_at_once(
    bench,
) -> None:
    bench.place("u1")
    bench.begin()
    bench.answer(200, event(1), streamed=True, leaving=True)
    assert bench.send().responder.refusal.status == 503


@pytest.mark.parametrize(
    "status, value, seconds, unreadable",
    [
        (503, b"2", 2.0, False),
        (503, b" 0.25 ", 0.25, False),
        (503, b"0", 0.0, False),
        (503, b"3600", 3600.0, False),
        (503, b"999999999999", 999999999999.0, False),
        (503, b"-1", None, True),
        (503, b"soon", None, True),
        (503, b"Wed, 21 Oct 2026 07:28:00 GMT", None, True),
        (503, b"1e3", None, True),
        (429, b"2", None, False),
        (200, b"2", None, False),
    ],
)
def test_pauses_are_read(status, value, seconds, unreadable) -> None:
    head = DIALECT.read_answer(status, [(b"Retry-After", value)])
    pause = None if seconds is None else datetime.timedelta(seconds=seconds)
    assert head.pause == pause and head.pause_unreadable == unreadable
    # The answer is forwarded unchanged.
    assert head.headers == [(b"Retry-After", value)]


@pytest.mark.parametrize(
    "value, leaving",
    [(b"1", True), (b" 1", True), (b"0", False), (b"", False)],
)
def test_leaving_is_read(value: bytes, leaving: bool) -> None:
    head = DIALECT.read_answer(200, [(b"Server-Leaving", value)])
    assert head.leaving is leaving
