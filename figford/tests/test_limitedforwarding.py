"""Requests to upstreams with limits: placed with permits, or refused."""

import datetime

import attrs
import pytest

from figford import exchanges
from figford import fleetmessages
from figford import forwarding
from figford import routes
from figford.tests import test_forwarding
from figford.tests.test_forwarding import SECOND
from figford import wire

KEEPER = "c1"


class Bench(test_forwarding.Bench):
    """A forwarder whose two upstreams, or some of them, have limits."""

    def limit(self, *names: str, rate: float = 1.0) -> "Bench":
        """Makes upstreams name a limit; the entry hears a keeper."""
        permits = self.forwarder.permits
        permits.keeper_heard(KEEPER, 1, self.clock.now())
        for name in names:
            permits.apply(fleetmessages.UpstreamLimit(name, 1, rate))
        return self

    def another(self) -> test_forwarding.Responder:
        """Begins one more request; returns what its caller received."""
        responder = test_forwarding.Responder()
        call = attrs.evolve(
            self.call,
            responder=responder,
            state=forwarding.State.WAITING,
            tried=[],
            unreachable=[],
            arrived_at=self.clock.now(),
            deadline=self.clock.now() + 6 * SECOND,
        )
        self.forwarder.begin(call)
        return responder

    def grant(self, name: str, count: int = 1) -> None:
        """Grants permits that the entry requests now."""
        now = self.clock.now()
        request = self.forwarder.permit_request()
        grant = fleetmessages.PermitGrant(
            1, request.sequence, [fleetmessages.Permit(name, 1, count)]
        )
        assert self.forwarder.permits.receive_grant(KEEPER, grant, now)
        self.forwarder.permits_changed()

    def sent_to(self) -> list[str]:
        """Returns the addresses that requests were sent to."""
        return [address for address, _ in self.pool.sent]


def test_another_upstream_takes_what_a_limit_does_not_allow() -> None:
    bench = Bench(routes.RetryMode.ONCE).limit("u1")
    bench.begin()
    for _ in range(5):
        bench.another()
    assert bench.sent_to() == ["u2:1"] * 6


def test_a_permit_is_used_for_the_next_request() -> None:
    bench = Bench(routes.RetryMode.ONCE).limit("u1")
    bench.begin()
    bench.grant("u1")
    bench.another()
    bench.another()
    assert sorted(bench.sent_to()) == ["u1:1", "u2:1", "u2:1"]


def test_beyond_all_limits_one_request_waits_and_others_are_refused() -> None:
    bench = Bench(routes.RetryMode.ONCE).limit("u1", "u2", rate=0.1)
    bench.begin()
    refused = bench.another()
    assert refused.refusal.status == 503
    assert refused.refusal.retry_after is not None
    assert not bench.responder.ends and not bench.pool.sent
    bench.grant("u2")
    assert bench.sent_to() == ["u2:1"]


def test_the_most_urgent_request_is_the_one_that_waits() -> None:
    bench = Bench(routes.RetryMode.ONCE).limit("u1", "u2", rate=0.1)
    bench.begin()
    bench.call.route = attrs.evolve(bench.call.route, priority=0)
    urgent = bench.another()
    assert bench.responder.refusal.status == 503 and not urgent.ends


def test_requests_wait_for_the_permits_that_can_be_expected() -> None:
    bench = Bench(routes.RetryMode.ONCE).limit("u1", "u2", rate=10.0)
    bench.begin()
    # 0.4 s of the queue at 20 a second.
    waiting = [bench.another() for _ in range(8)]
    refused = [bench.another() for _ in range(4)]
    assert not any(responder.ends for responder in waiting)
    assert all(responder.refusal.status == 503 for responder in refused)


def test_a_repeat_needs_a_permit() -> None:
    bench = Bench(routes.RetryMode.IDEMPOTENT).limit("u1")
    bench.begin().receiver.answer_failed(exchanges.Failure.BROKEN)
    assert bench.sent_to() == ["u2:1"]
    assert bench.responder.refusal.status == 502


def test_a_stream_resumes_at_a_limited_upstream_with_a_permit_only() -> None:
    for permits, resumed in ((0, False), (1, True)):
        bench = Bench(routes.RetryMode.STREAM, resumable=True).limit("u1")
        bench.begin()
        bench.answer(200, test_forwarding.event(1), streamed=True)
        if permits:
            bench.grant("u1", permits)
        bench.receiver.answer_failed(exchanges.Failure.BROKEN)
        assert ("u1:1" in bench.sent_to()) is resumed
        assert bench.responder.ends == ([] if resumed else ["cut"])


def test_a_probe_of_a_failed_upstream_needs_a_permit() -> None:
    bench = Bench(routes.RetryMode.ONCE)
    bench.place("u1")
    bench.limit("u1")
    target = bench.forwarder.placement.targets("s", "m")[0]
    bench.forwarder.placement.eject(target, bench.clock.now())
    bench.clock.time += SECOND
    bench.call.arrived_at = bench.clock.now()
    bench.begin()
    assert bench.pool.sent == []
    bench.grant("u1")
    assert bench.sent_to() == ["u1:1"]


@pytest.mark.parametrize("status", [200, 500, 503])
def test_the_end_of_a_limit_frees_what_waits(status: int) -> None:
    bench = Bench(routes.RetryMode.ONCE).limit("u1", "u2", rate=0.1)
    told = []
    bench.forwarder.on_limit = told.append
    bench.begin()
    bench.grant("u1")
    waiting = bench.another()
    receiver = bench.receiver
    receiver.answer_began(
        wire.AnswerHead(status, [], limit=wire.LimitNotice(None))
    )
    assert bench.sent_to()[1:2] == ["u1:1"] and not waiting.ends
    assert told == [fleetmessages.UpstreamLimit("u1", 1, None)]


def test_an_entry_asks_for_what_waits_and_what_it_expects() -> None:
    bench = Bench(routes.RetryMode.ONCE).limit("u1")
    for _ in range(3):
        bench.another()
    (want,) = bench.forwarder.permit_request().wants
    assert (want.service, want.model) == ("s", "m")
    assert (want.waiting, want.expected) == (0, 3)
    bench.clock.time += 2 * SECOND
    assert bench.forwarder.permit_request().wants == []
    # A full upstream's permits would be of no use.
    state = bench.forwarder.placement.target_state("u1")
    state.others_in_progress = 1e9
    state.others_reported_at = bench.clock.now()
    bench.another()
    bench.clock.time += datetime.timedelta(milliseconds=200)
    state.others_reported_at = bench.clock.now()
    (want,) = bench.forwarder.permit_request().wants
    assert want.excluded == ["u1"]


def test_queued_calls_are_still_refused_in_time() -> None:
    bench = Bench(routes.RetryMode.ONCE).limit("u1", "u2", rate=0.1)
    bench.begin()
    bench.clock.time += SECOND
    bench.forwarder.tick()
    assert bench.responder.refusal.status == 503
    assert bench.call.state is forwarding.State.ENDED
