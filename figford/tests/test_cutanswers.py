"""Answers that have begun end early only for the reasons that are allowed."""

import datetime

import logbook
import pytest

from figford import exchanges
from figford import forwarding
from figford import routes
from figford import sharedbudget
from figford.tests import test_forwarding as base

MS = datetime.timedelta(milliseconds=1)
TICK = 30 * MS
NO_RETRY = {"entries": None}


def stream(*events: int, **settings: object) -> base.Bench:
    """Returns a bench whose call has received these events of a stream."""
    bench = base.Bench(
        routes.RetryMode.STREAM, resumable=True, **settings
    ).begin()
    bench.answer(200, *map(base.event, events or (1,)), streamed=True)
    return bench


def pass_time(bench: base.Bench, duration: datetime.timedelta) -> None:
    """Lets time pass with a tick whenever one is due."""
    end = bench.clock.time + duration
    while bench.clock.time < end:
        bench.clock.time = min(end, bench.clock.time + TICK)
        bench.forwarder.tick()


def complete(bench: base.Bench, receiver, *events: int) -> None:
    """Sends the last events of a stream, and its end, as the pool does."""
    for number in events:
        receiver.answer_data(base.event(number))
    for _, exchange in bench.pool.sent:
        if exchange.receiver is receiver:
            exchange.receiver = None
    receiver.answer_ended()


def assert_complete(bench: base.Bench, *events: int) -> None:
    """Checks that the caller received these events and the end, once."""
    assert bench.responder.body == b"".join(map(base.event, events))
    assert bench.responder.ends == ["whole"]
    assert bench.idle()
    assert all(sent.receiver is None for _, sent in bench.pool.sent)


@pytest.mark.parametrize("silence", [800 * MS, 1700 * MS, 5 * base.SECOND])
@pytest.mark.parametrize("settings", [NO_RETRY, {"attempts": 1}])
def test_a_silent_stream_is_not_cut_while_it_can_t_be_resumed(
    silence, settings
) -> None:
    """Answers were cut when their upstream paused and no retry was left."""
    bench = stream(1, **settings)
    source = bench.receiver
    pass_time(bench, silence)
    assert bench.responder.ends == [] and len(bench.pool.sent) == 1
    complete(bench, source, 2, 3)
    assert_complete(bench, 1, 2, 3)


def answer_not_run(bench: base.Bench) -> None:
    """Rejects the resumption as not run."""
    bench.answer(503, not_run=True, signed=False)


def answer_unsigned(bench: base.Bench) -> None:
    """Answers the resumption without the signature of an upstream."""
    bench.answer(200, signed=False, streamed=True)


def answer_error(bench: base.Bench) -> None:
    """Answers the resumption with an error."""
    receiver = bench.receiver
    bench.answer(500, b"error")
    receiver.answer_ended()


def end_without_event(bench: base.Bench) -> None:
    """Answers the resumption with no event."""
    receiver = bench.receiver
    bench.answer(200, streamed=True)
    receiver.answer_ended()


def repeat_last_event(bench: base.Bench) -> None:
    """Answers the resumption with an event that the caller has."""
    receiver = bench.receiver
    bench.answer(200, base.event(1), streamed=True)
    receiver.answer_ended()


def skip_event(bench: base.Bench) -> None:
    """Answers the resumption with an event that does not follow."""
    bench.answer(200, base.event(3), streamed=True)


def break_off(bench: base.Bench) -> None:
    """Breaks the connection of the resumption."""
    bench.receiver.answer_failed(exchanges.Failure.BROKEN)


def send_invalid(bench: base.Bench) -> None:
    """Answers the resumption with bytes that are no answer."""
    bench.receiver.answer_failed(exchanges.Failure.INVALID)


def accept_no_connection(bench: base.Bench) -> None:
    """Accepts no connection for the resumption."""
    bench.receiver.answer_failed(exchanges.Failure.NOT_SENT)


FAILED_RESUMPTIONS = [
    answer_not_run,
    answer_unsigned,
    answer_error,
    end_without_event,
    repeat_last_event,
    skip_event,
    break_off,
    send_invalid,
    accept_no_connection,
]


@pytest.mark.parametrize("fail", FAILED_RESUMPTIONS)
def test_a_failed_resumption_does_not_cut_a_silent_stream(fail) -> None:
    """The silent attempt was dropped before another one had an event."""
    bench = stream(1)
    source = bench.receiver
    pass_time(bench, 900 * MS)
    assert len(bench.pool.sent) == 2
    fail(bench)
    pass_time(bench, base.SECOND)
    assert bench.responder.ends == []
    complete(bench, source, 2)
    assert_complete(bench, 1, 2)


def test_a_stream_that_goes_on_ends_its_resumption() -> None:
    bench = stream(1)
    source = bench.receiver
    pass_time(bench, 900 * MS)
    resumption = bench.receiver
    assert resumption is not source
    source.answer_data(base.event(2))
    assert bench.pool.sent[-1][1].receiver is None
    complete(bench, source, 3)
    assert_complete(bench, 1, 2, 3)


def test_a_resumption_takes_over_with_its_first_event() -> None:
    bench = stream(1)
    silent = bench.pool.sent[0][1]
    pass_time(bench, 900 * MS)
    bench.answer(200, streamed=True)
    assert silent.receiver is not None
    resumption = bench.receiver
    resumption.answer_data(base.event(2))
    assert silent.receiver is None
    complete(bench, resumption, 3)
    assert_complete(bench, 1, 2, 3)


def test_the_end_alone_completes_a_stream_that_was_taken_for_silent() -> None:
    """All events had come; the resumption after the last one was empty."""
    bench = stream(1, 2)
    source = bench.receiver
    pass_time(bench, 900 * MS)
    assert len(bench.pool.sent) == 2
    complete(bench, source)
    assert_complete(bench, 1, 2)


def test_a_resumption_goes_on_where_a_silent_stream_breaks_off() -> None:
    bench = stream(1)
    source = bench.receiver
    pass_time(bench, 900 * MS)
    source.answer_failed(exchanges.Failure.BROKEN)
    assert bench.responder.ends == [] and len(bench.pool.sent) == 2
    bench.answer(200, streamed=True)
    complete(bench, bench.receiver, 2)
    assert_complete(bench, 1, 2)


def test_both_attempts_end_with_their_caller() -> None:
    bench = stream(1)
    pass_time(bench, 900 * MS)
    bench.call.caller_left()
    assert all(sent.receiver is None for _, sent in bench.pool.sent)
    assert bench.idle()


def test_both_attempts_end_at_the_deadline() -> None:
    bench = stream(1)
    pass_time(bench, 6 * base.SECOND)
    assert bench.responder.ends == ["cut"] and bench.idle()
    assert all(sent.receiver is None for _, sent in bench.pool.sent)


@pytest.mark.parametrize("pause", [800 * MS, 1700 * MS, 4 * base.SECOND])
@pytest.mark.parametrize("events", [(), (1,)])
def test_an_entry_that_was_late_takes_no_stream_for_silent(
    pause, events
) -> None:
    """Data lay unread in the sockets while the process did not run."""
    bench = base.Bench(routes.RetryMode.STREAM, resumable=True).begin()
    source = bench.receiver
    if events:
        bench.answer(200, *map(base.event, events), streamed=True)
    pass_time(bench, 300 * MS)
    bench.clock.time += pause
    bench.forwarder.tick()
    assert len(bench.pool.sent) == 1 and bench.responder.ends == []
    state = bench.forwarder.placement.target_state(bench.call.tried[0])
    assert state.failures == 0
    if not events:
        bench.answer(200, streamed=True)
    complete(bench, source, *range(len(events) + 1, 4))
    assert_complete(bench, 1, 2, 3)


def test_an_entry_that_was_late_takes_no_call_for_slow() -> None:
    bench = base.Bench(routes.RetryMode.IDEMPOTENT).begin()
    source = bench.receiver
    pass_time(bench, 90 * MS)
    bench.clock.time += base.SECOND
    bench.forwarder.tick()
    assert len(bench.pool.sent) == 1
    bench.answer(200, b"whole")
    complete(bench, source)
    assert bench.responder.body == b"whole"


def test_an_entry_that_was_late_still_waits_for_a_ruling(monkeypatch) -> None:
    """The leader's ruling lay unread, and the answer was cut."""
    bench = stream(1)
    guard = type(bench.forwarder.guard)
    monkeypatch.setattr(guard, "may_be_blamed", lambda *_: True)
    monkeypatch.setattr(
        type(bench.forwarder), "_report_crashes", lambda *_: None
    )
    pass_time(bench, 90 * MS)
    bench.receiver.answer_failed(exchanges.Failure.BROKEN)
    bench.clock.time += base.SECOND
    bench.forwarder.tick()
    assert bench.responder.ends == []
    bench.call.crash_ruled(bench.call.tried[0], 1, blamed=False)
    bench.answer(200, streamed=True)
    complete(bench, bench.receiver, 2)
    assert_complete(bench, 1, 2)


def test_an_unexpected_error_does_not_cut_an_answer(monkeypatch) -> None:
    """An error in the check of a call cut its answer midway."""
    bench = stream(1)
    source = bench.receiver

    def fail(*_: object) -> None:
        raise ValueError("unexpected")

    with monkeypatch.context() as patch:
        patch.setattr(forwarding.ForwardedCall, "_has_alternative", fail)
        pass_time(bench, base.SECOND)
    assert bench.responder.ends == []
    complete(bench, source, 2)
    assert_complete(bench, 1, 2)


def test_a_verdict_does_not_cut_a_silent_answer(monkeypatch) -> None:
    """The answer was cut when it could not be resumed because of a verdict."""
    bench = stream(1, 2)
    source = bench.receiver
    guard = bench.forwarder.guard
    monkeypatch.setattr(type(guard), "convicted_trait", lambda *_: "request:x")
    bench.forwarder.verdicts_changed()
    pass_time(bench, base.SECOND)
    assert bench.responder.ends == [] and len(bench.pool.sent) == 1
    complete(bench, source, 3)
    assert_complete(bench, 1, 2, 3)


def test_a_verdict_cancels_a_resumption_only(monkeypatch) -> None:
    bench = stream(1, 2)
    source = bench.receiver
    pass_time(bench, 900 * MS)
    guard = bench.forwarder.guard
    monkeypatch.setattr(type(guard), "convicted_trait", lambda *_: "request:x")
    bench.forwarder.verdicts_changed()
    assert bench.pool.sent[1][1].receiver is None
    complete(bench, source, 3)
    assert_complete(bench, 1, 2, 3)


def test_a_silent_stream_takes_a_retry_only_for_a_resumption_that_is_sent(
    monkeypatch,
) -> None:
    withdrawn: list[datetime.timedelta] = []
    withdraw = sharedbudget.SharedBudget.try_withdraw

    def record(budget, now: datetime.timedelta) -> bool:
        withdrawn.append(now)
        return withdraw(budget, now)

    monkeypatch.setattr(sharedbudget.SharedBudget, "try_withdraw", record)
    bench = stream(1)
    bench.place(bench.call.tried[0])
    pass_time(bench, 2 * base.SECOND)
    assert withdrawn == [] and bench.responder.ends == []
    bench.place("u1", "u2")
    pass_time(bench, 2 * base.SECOND)
    assert len(withdrawn) == 1 and len(bench.pool.sent) == 2


def test_an_answer_that_breaks_off_without_a_retry_is_cut() -> None:
    bench = stream(1, **NO_RETRY)
    bench.receiver.answer_failed(exchanges.Failure.BROKEN)
    pass_time(bench, base.SECOND)
    assert bench.responder.ends == ["cut"] and bench.idle()


def test_a_stopping_entry_cuts_what_is_in_progress_at_its_end() -> None:
    bench = stream(1)
    bench.forwarder.end_calls()
    assert bench.responder.ends == ["cut"] and bench.idle()


def test_an_entry_that_was_late_does_not_judge_alone(monkeypatch) -> None:
    """Messages of the leader lay unread."""
    bench = stream(1)
    heard: list[bool] = []
    guard = type(bench.forwarder.guard)
    monkeypatch.setattr(
        guard, "judge_alone", lambda _, hears, now: heard.append(hears) or []
    )
    for pause in (0 * MS, TICK, 2 * base.SECOND, TICK):
        bench.clock.time += pause
        if pause == TICK:
            bench.forwarder.permits.keeper_heard("k", 1, bench.clock.now())
        bench.forwarder.tick()
    assert heard[2:] == [True, True]


def test_a_crash_of_a_resumption_waits_for_its_ruling(monkeypatch) -> None:
    """A silent stream was repeated though it may have crashed a resumption."""
    bench = stream(1, attempts=3)
    bench.place("u1", "u2", "u3")
    guard = type(bench.forwarder.guard)
    monkeypatch.setattr(guard, "may_be_blamed", lambda *_: True)
    monkeypatch.setattr(
        type(bench.forwarder), "_report_crashes", lambda *_: None
    )
    pass_time(bench, 900 * MS)
    assert len(bench.pool.sent) == 2
    crashed = bench.call.tried[1]
    bench.receiver.answer_failed(exchanges.Failure.BROKEN)
    pass_time(bench, 180 * MS)
    assert len(bench.pool.sent) == 2
    bench.call.crash_ruled(crashed, 1, blamed=True)
    pass_time(bench, base.SECOND)
    assert len(bench.pool.sent) == 2 and bench.responder.ends == []


def test_a_silent_stream_without_a_retry_looks_for_no_target(
    monkeypatch,
) -> None:
    """All targets are weighed each time: 0.7 ms with 400 of them."""
    searches: list[object] = []
    forwarder = base.forwarders.Forwarder
    search = forwarder.has_alternative_target

    def count(self, call) -> bool:
        searches.append(call)
        return search(self, call)

    monkeypatch.setattr(forwarder, "has_alternative_target", count)
    bench = stream(1, **NO_RETRY)
    pass_time(bench, 4 * base.SECOND)
    assert len(searches) <= 2


def test_a_cut_answer_without_an_attempt_left_is_logged_so() -> None:
    """The line says that a retry and a target were left, as if both failed."""
    bench = stream(1, attempts=1)
    with logbook.TestHandler() as logged:
        bench.receiver.answer_failed(exchanges.Failure.BROKEN)
    (line,) = [item for item in logged.records if item.msg == "answer cut"]
    assert not (line.kwargs["retry_left"] and line.kwargs["target_left"])


def test_a_break_beside_a_resumption_is_logged() -> None:
    """Only its start was logged, as the end of an attempt that went on."""
    bench = stream(1)
    source = bench.receiver
    pass_time(bench, 900 * MS)
    with logbook.TestHandler() as logged:
        source.answer_failed(exchanges.Failure.BROKEN)
        bench.answer(200, base.event(2), base.event(3), streamed=True)
    assert [
        item.kwargs["upstream"]
        for item in logged.records
        if item.kwargs.get("cause") == "answer broken"
    ] == bench.call.tried[:1]


def test_a_resumption_whose_events_have_equal_ids_takes_over() -> None:
    """Its events were dropped, as none changed the position."""
    same = b"id: x\ndata: 1\n\n"
    bench = base.Bench(routes.RetryMode.STREAM, resumable=True).begin()
    bench.answer(200, same, streamed=True)
    pass_time(bench, 900 * MS)
    resumption = bench.receiver
    bench.answer(200, same, streamed=True)
    complete(bench, resumption)
    assert bench.responder.body == same + same
    assert bench.responder.ends == ["whole"] and bench.idle()
