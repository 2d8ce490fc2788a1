"""Requests that may crash upstreams: held, repeated or refused."""

import pytest

from figford import crashes
from figford import crashguard
from figford import crashrecords
from figford import evidence
from figford import exchanges
from figford import fleetmessages
from figford import forwarding
from figford import routes
from figford.tests import test_forwarding
from figford.tests.test_forwarding import event
from figford.tests.test_forwarding import MS
from figford.tests.test_forwarding import Responder
from figford.tests.test_forwarding import SECOND
from figford import wire

LEADER = "c1"
STREAM = routes.RetryMode.STREAM


class Bench(test_forwarding.Bench):
    """A forwarder that hears a leader; its call has a shared part "d"."""

    def __attrs_post_init__(self) -> None:
        """Gives the call its parts and records what is reported."""
        super().__attrs_post_init__()
        self.reports: list[fleetmessages.CrashReport] = []
        self.forwarder.on_crash = self.reports.append
        self.hear_leader()
        self.call = self.other("a1", "d", "own")

    def hear_leader(self) -> None:
        """Hears the leader of the log."""
        self.forwarder.permits.keeper_heard(LEADER, 1, self.clock.now())

    def other(self, attempt: str, *parts: str) -> forwarding.ForwardedCall:
        """Returns a call with these prompt parts."""
        now = self.clock.now()
        return forwarding.ForwardedCall(
            self.forwarder,
            self.call.route,
            None,
            wire.CallHead(attempt, None, None, model="m", parts=parts),
            b"POST",
            b"/x",
            [],
            b"body",
            Responder(),
            now,
            now + 6 * SECOND,
        )

    def crash(self) -> None:
        """Breaks the newest attempt; it turns out to be a crash."""
        self.receiver.answer_failed(exchanges.Failure.BROKEN)
        self.clock.time += crashes.SETTLE_TIME
        self.forwarder.tick()

    def rule(self, blamed: bool) -> None:
        """Tells the entry whether the call is blamed for its crash."""
        report = self.reports[-1]
        blamed_requests = [self.call.suspect().request] if blamed else []
        self.forwarder.crash_ruled(
            fleetmessages.CrashRuling(
                report.upstream, report.incarnation, blamed_requests
            )
        )

    def convict(self, *traits: str) -> None:
        """Puts verdicts in force."""
        guard = self.forwarder.guard
        verdicts = [fleetmessages.Verdict(trait, 2) for trait in traits]
        guard.apply(fleetmessages.Verdicts(guard.revision + 1, verdicts))
        self.forwarder.verdicts_changed()

    @property
    def refusal(self):
        """Returns the refusal that the caller got."""
        return self.call.responder.refusal


@pytest.fixture(name="bench")
def fixture_bench():
    return Bench(STREAM, resumable=True)


def test_a_request_that_may_have_crashed_its_upstream_waits(bench) -> None:
    bench.begin().crash()
    assert len(bench.pool.sent) == 1
    assert bench.reports[0].suspects == [bench.call.suspect()]
    bench.rule(blamed=False)
    assert len(bench.pool.sent) == 2
    assert bench.call.responder.ends == []


def test_an_upstream_that_accepts_a_connection_has_not_crashed(
    bench,
) -> None:
    bench.pool.probe_result = exchanges.ProbeResult.OPEN
    bench.begin().crash()
    assert bench.reports == []
    assert len(bench.pool.sent) == 2
    assert bench.forwarder.guard.recent_reports(bench.clock.now()) == []


def test_a_connection_that_is_closed_at_once_confirms_no_crash(bench) -> None:
    bench.pool.probe_result = exchanges.ProbeResult.CLOSED
    bench.begin().crash()
    assert [report.confirmed for report in bench.reports] == [False]
    bench.pool.probe_result = exchanges.ProbeResult.UNREACHABLE
    bench.rule(blamed=False)
    bench.crash()
    assert [report.confirmed for report in bench.reports] == [False, True]


def test_resets_of_sound_upstreams_convict_nothing_without_a_leader(
    bench,
) -> None:
    bench.pool.probe_result = exchanges.ProbeResult.CLOSED
    bench.clock.time += 2 * crashguard.LEADER_TIMEOUT
    for number in range(3):
        bench.forwarder.begin(bench.other(f"a{number}", "own"))
        bench.crash()
    bench.clock.time += SECOND
    bench.forwarder.tick()
    assert bench.forwarder.guard.own_verdicts == []


def test_a_request_that_is_blamed_is_not_repeated(bench) -> None:
    bench.begin().crash()
    bench.rule(blamed=True)
    assert len(bench.pool.sent) == 1
    assert bench.refusal.status == 502 and bench.idle()


def test_without_a_ruling_a_suspect_is_not_repeated(bench) -> None:
    bench.begin().crash()
    bench.clock.time += forwarding.RULING_TIMEOUT
    bench.forwarder.tick()
    # What came before this tick is read by the next one.
    bench.forwarder.tick()
    assert len(bench.pool.sent) == 1
    assert bench.refusal.status == 502 and bench.idle()


def test_a_request_whose_parts_are_known_is_repeated_at_once(bench) -> None:
    bench.forwarder.guard.record_survival(
        bench.call.suspect(), bench.clock.now()
    )
    bench.begin().receiver.answer_failed(exchanges.Failure.BROKEN)
    assert len(bench.pool.sent) == 2


def test_an_answer_that_had_begun_is_resumed_at_once(bench) -> None:
    bench.begin().answer(200, event(1), event(2), streamed=True)
    bench.receiver.answer_failed(exchanges.Failure.BROKEN)
    assert len(bench.pool.sent) == 2


def test_a_reset_connection_is_repeated_once_that_is_clear(bench) -> None:
    bench.begin()
    address = bench.pool.sent[0][0]
    # Another request stays connected to the same upstream.
    bench.pool.sent.insert(
        0, (address, exchanges.Exchange(b"GET", b"/", [], b"", object()))
    )
    bench.crash()
    assert len(bench.pool.sent) == 3 and not bench.reports


def test_a_caller_that_leaves_ends_a_request_that_waits(bench) -> None:
    bench.begin().crash()
    bench.call.caller_left()
    bench.rule(blamed=False)
    assert len(bench.pool.sent) == 1 and bench.idle()


def test_a_request_that_waits_ends_at_its_deadline(bench) -> None:
    bench.begin().crash()
    bench.clock.time = bench.call.deadline
    bench.forwarder.tick()
    assert bench.refusal.status == 504 and bench.idle()


def test_a_ruling_on_another_crash_changes_nothing(bench) -> None:
    bench.begin().crash()
    other = fleetmessages.CrashRuling("u9", 1, [])
    bench.forwarder.crash_ruled(other)
    assert len(bench.pool.sent) == 1


def test_a_convicted_request_is_refused_before_it_is_sent(bench) -> None:
    bench.convict("part:d")
    bench.begin()
    assert not bench.pool.sent
    assert bench.refusal.status == 503
    assert bench.refusal.kind == "crashes-upstreams"
    assert bench.refusal.retry_after >= 60 * SECOND
    assert bench.idle()


def test_other_requests_are_sent_as_before(bench) -> None:
    bench.convict("part:d", "request:0123")
    # The last part is the request's own.
    for parts in ((), ("d",), ("a", "d"), ("a", "b", "own")):
        call = bench.other("a2", *parts)
        bench.forwarder.begin(call)
        assert call.state is forwarding.State.SENT


def test_a_repeat_by_the_caller_of_a_convicted_request_is_refused(
    bench,
) -> None:
    bench.convict(f"request:{bench.call.suspect().request}")
    again = bench.other("a7", "d", "own")
    bench.forwarder.begin(again)
    assert not bench.pool.sent
    assert again.responder.refusal.status == 503


def test_a_verdict_cancels_attempts_that_have_not_begun(bench) -> None:
    bench.begin().answer(200, event(1), streamed=True)
    other = bench.other("a2", "b", "own")
    bench.forwarder.begin(other)
    bench.convict("part:d")
    assert bench.pool.sent[0][1].receiver is None
    assert bench.call.responder.ends == ["cut"]
    assert other.state is forwarding.State.SENT


def test_a_verdict_lets_begun_answers_finish(bench) -> None:
    receiver = bench.begin().receiver
    bench.answer(200, event(1), event(2), streamed=True)
    bench.convict("part:d")
    receiver.answer_ended()
    assert bench.call.responder.ends == ["whole"]


def test_a_verdict_refuses_queued_requests(bench) -> None:
    bench.place("u1")
    target_state = bench.forwarder.placement.target_state("u1")
    target_state.in_progress = 13
    bench.begin()
    bench.convict("part:d")
    assert bench.refusal.status == 503
    target_state.in_progress = 0
    bench.forwarder.tick()
    assert not bench.pool.sent and bench.idle()


def test_a_verdict_refuses_a_request_that_waits_for_a_ruling(bench) -> None:
    bench.begin().crash()
    bench.convict("part:d")
    assert bench.refusal.status == 502
    bench.rule(blamed=False)
    assert len(bench.pool.sent) == 1 and bench.idle()


def test_a_convicted_stream_is_not_resumed_elsewhere(bench) -> None:
    bench.begin().answer(200, event(1), event(2), streamed=True)
    bench.convict("part:d")
    bench.receiver.answer_failed(exchanges.Failure.BROKEN)
    assert len(bench.pool.sent) == 1
    assert bench.call.responder.ends == ["cut"]


def test_one_probe_is_sent_and_not_repeated(bench) -> None:
    bench.convict("part:d")
    now = bench.clock.now()
    bench.forwarder.guard.grant_probe(fleetmessages.ProbeGrant("part:d"), now)
    bench.begin()
    assert len(bench.pool.sent) == 1
    refused = bench.other("a2", "d", "own2")
    bench.forwarder.begin(refused)
    assert refused.responder.refusal.status == 503
    bench.crash()
    bench.rule(blamed=False)
    assert len(bench.pool.sent) == 1
    assert bench.refusal.status == 502


def test_an_entry_without_a_leader_judges_by_itself(bench) -> None:
    bench.clock.time += 10 * SECOND
    for number in range(2):
        bench.place("u1", "u2")
        call = bench.other(f"a{number}", "d", f"own{number}")
        bench.call = call
        bench.forwarder.begin(call)
        bench.crash()
        assert call.responder.refusal.status == 502
        bench.clock.time += 500 * MS
    assert not bench.reports
    refused = bench.other("a9", "d", "own9")
    bench.forwarder.begin(refused)
    assert refused.responder.refusal.status == 503
    # After it is heard again, the leader decides.
    bench.hear_leader()
    bench.clock.time += 6 * SECOND
    bench.hear_leader()
    bench.forwarder.tick()
    served = bench.other("a10", "d", "own10")
    bench.forwarder.begin(served)
    assert served.state is forwarding.State.SENT


def call_of(bench, **changed) -> forwarding.ForwardedCall:
    """Returns a call like others but for these attributes."""
    call = bench.other("a2")
    call.headers = [(b"host", b"h.example")]
    for name, value in changed.items():
        setattr(call, name, value)
    return call


@pytest.mark.parametrize(
    "changed",
    [
        {"account": routes.Account("acme", ("k1",), None)},
        {"headers": [(b"Host", b"other.example")]},
        {"target": b"/y"},
        {"target": b"/x?page=1"},
        {"body": b"other"},
    ],
)
def test_a_request_of_another_caller_or_host_is_another_one(
    bench, changed
) -> None:
    """Answers to reads of others at the same path cleared a request."""
    request = call_of(bench).suspect().request
    assert call_of(bench, **changed).suspect().request != request


@pytest.mark.parametrize(
    "changed",
    [
        {"headers": [(b"X-Other", b"1"), (b"Host", b"H.EXAMPLE")]},
        {"target": b"/%78"},
    ],
)
def test_a_request_that_comes_again_in_other_spelling_is_the_same(
    bench, changed
) -> None:
    request = call_of(bench).suspect().request
    assert call_of(bench, **changed).suspect().request == request


def test_an_error_of_the_upstream_is_no_sign_that_a_request_is_sound(
    bench,
) -> None:
    bench.begin().answer(500)
    bench.receiver.answer_ended()
    now = bench.clock.now()
    for trait in evidence.traits(bench.call.suspect()):
        assert not bench.forwarder.guard.table.is_cleared(trait, now)


def test_a_request_on_trial_is_sent_only_when_it_is_not_convicted(
    bench,
) -> None:
    """Its caller used to come back before the verdict, to a third upstream."""
    trait = evidence.request_trait(bench.call.suspect().request)
    guard = bench.forwarder.guard
    query = fleetmessages.SurvivalQuery([trait])
    guard.answer_query(query, bench.clock.now())
    bench.begin()
    other = bench.other("a2", "d", "other")
    bench.forwarder.begin(other)
    assert bench.call.state is forwarding.State.WAITING
    assert other.state is forwarding.State.SENT
    bench.clock.time += crashguard.TRIAL_TIME
    bench.forwarder.tick()
    assert bench.call.state is forwarding.State.SENT
    guard.answer_query(query, bench.clock.now())
    again = bench.other("a3", "d", "own")
    bench.forwarder.begin(again)
    bench.convict(trait)
    assert again.responder.refusal.kind == "crashes-upstreams"
    assert not again.may_have_run


def test_a_repeat_that_a_ruling_allows_is_not_on_trial(bench) -> None:
    bench.begin().crash()
    trait = evidence.request_trait(bench.call.suspect().request)
    query = fleetmessages.SurvivalQuery([trait])
    bench.forwarder.guard.answer_query(query, bench.clock.now())
    bench.rule(blamed=False)
    assert len(bench.pool.sent) == 2


def test_a_report_tells_what_was_closed_at_once(bench) -> None:
    """A proxy accepts connections for an upstream that has crashed."""
    bench.begin()
    bench.clock.time += crashrecords.ACCEPTED_TIME
    bench.crash()
    assert bench.reports[0].closed_sent_after == {}
    late = bench.other("a2")
    bench.forwarder.begin(late)
    bench.clock.time += MS
    bench.crash()
    assert bench.reports[1].closed_sent_after == {late.suspect().request: -MS}
