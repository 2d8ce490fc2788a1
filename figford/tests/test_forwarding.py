"""Forwarded calls: retries, aborted streams, deadlines and queueing.

Each call ends exactly once, and no refusal states that a call did not run
if it may have.
"""

import datetime
import random

import attrs
import hypothesis
from hypothesis import strategies
import logbook
import pytest

from figford import crashes
from figford import errors
from figford import exchanges
from figford import fleet as fleets
from figford import fleetmessages
from figford import forwarder as forwarders
from figford import forwarding
from figford import metrics
from figford import placement
from figford import routes
from figford import sharedbudget
from figford import wire

MS = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
SEAT = fleetmessages.FleetSeat("g", 1, 0, fleetmessages.SeatState.OPEN)
ENGINE = routes.Engine(
    slots=13, models=(routes.Model("m", 1, 1.0, 1.0, SECOND, SECOND),)
)


@attrs.define
class Clock:
    """A clock whose time tests set."""

    time: datetime.timedelta = 100 * SECOND

    def now(self) -> datetime.timedelta:
        """Returns the time that was set."""
        return self.time


class Dialect:
    """A dialect that ignores the caller's headers."""

    def request_headers(
        self, headers: wire.HeaderList, outgoing: wire.Outgoing
    ) -> wire.HeaderList:
        """Returns the added values as one header, for tests to inspect."""
        return [(b"outgoing", repr(outgoing).encode())]


@attrs.define
class Pool:
    """A pool that records exchanges, which tests answer."""

    sent: list = attrs.field(factory=list)
    max_idle_times: list = attrs.field(factory=list)
    dropped: list = attrs.field(factory=list)
    probe_result: exchanges.ProbeResult = exchanges.ProbeResult.UNREACHABLE

    def probe(self, address, report) -> None:
        """Reports the result that the test set, at once."""
        report(self.probe_result)

    def send(self, address, exchange, max_idle=None) -> None:
        """Records an exchange."""
        exchange.sent = True
        self.sent.append((address, exchange))
        self.max_idle_times.append(max_idle)

    def is_connected(self, address: str) -> bool:
        """Returns whether an exchange with an address is in progress."""
        return any(
            sent_to == address and exchange.receiver is not None
            for sent_to, exchange in self.sent
        )

    def drop(self, address: str) -> None:
        """Records an address that is no longer used."""
        self.dropped.append(address)


@attrs.define
class Responder:
    """Records what a caller received."""

    status: int = 0
    body: bytes = b""
    ends: list = attrs.field(factory=list)
    refusal: errors.Refusal | None = None

    def begin(self, status: int, headers: wire.HeaderList) -> None:
        """Records the status."""
        self.status = status

    def write(self, data: bytes) -> None:
        """Records a part of the body."""
        self.body += data

    def finish(self) -> None:
        """Records a complete answer."""
        self.ends.append("whole")

    def refuse(self, refusal: errors.Refusal) -> None:
        """Records a refusal."""
        self.refusal = refusal
        self.ends.append("refused")

    def abort(self) -> None:
        """Records an aborted connection."""
        self.ends.append("cut")


@attrs.define
class Bench:
    """A forwarder with two upstreams that the test simulates."""

    retry_mode: routes.RetryMode
    resumable: bool = False
    attempts: int = 2
    # The entries that it was told share the retry budget.
    entries: int | None = 1
    clock: Clock = attrs.field(factory=Clock)
    pool: Pool = attrs.field(factory=Pool)
    responder: Responder = attrs.field(factory=Responder)
    forwarder: forwarders.Forwarder = attrs.field(init=False)
    call: forwarding.ForwardedCall = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Adds two upstreams and creates one call."""
        rng = random.Random(1)
        # The entry has run for a while, so that it may use the reserve.
        began_at = self.clock.time
        self.clock.time -= 60 * SECOND
        self.forwarder = forwarders.Forwarder(
            self.clock,
            self.pool,
            Dialect(),
            placement.Placement("dc", rng),
            metrics.Metrics(),
            sharedbudget.BudgetSettings(0.2, 100, 10 * SECOND),
            rng,
            entries=self.entries,
        )
        self.clock.time = began_at
        route = routes.Route(
            "r", "h", "/", self.retry_mode, 8 * SECOND, 500 * MS,
            (routes.Share("s", 1),),
            attempts=self.attempts, resumable=self.resumable,
            token_gap_target=300 * MS,
        )  # fmt: skip
        service = routes.Service("s", 10, ENGINE)
        self.forwarder.apply_route_table(
            routes.RouteTable(1, (route,), (service,))
        )
        self.place("u1", "u2")
        self.call = self.make_call("a1", self.responder)

    def make_call(
        self, attempt: str, responder: Responder
    ) -> forwarding.ForwardedCall:
        """Returns a call on the only route."""
        return forwarding.ForwardedCall(
            self.forwarder, self.forwarder.table.routes[0], None,
            wire.CallHead(attempt, 6 * SECOND, None, model="m"),
            b"POST", b"/x", [], b"body", responder,
            self.clock.now(), self.clock.now() + 6 * SECOND,
        )  # fmt: skip

    def place(self, *names: str, group: str = SEAT.group) -> None:
        """Replaces the fleet by heads of groups with this name."""
        fleet = fleets.FleetTable()
        for name in names:
            fleet.report(fleetmessages.Registration(
                name,
                1,
                1,
                "s",
                f"{name}:1",
                "dc",
                13,
                models=["m"],
                seat=attrs.evolve(SEAT, group=group),
                ),  # fmt: skip
                self.clock.now(),
            )
        self.forwarder.fleet_changed(fleet)

    def begin(self) -> "Bench":
        """Begins the call."""
        self.forwarder.begin(self.call)
        return self

    @property
    def receiver(self):
        """Returns the receiver of the newest attempt."""
        return self.pool.sent[-1][1].receiver

    def answer(self, status: int, *parts: bytes, **head: object) -> None:
        """Answers the newest attempt without ending the answer."""
        receiver = self.receiver
        fields: dict = {"signed": True, "attempt": "a1"}
        receiver.answer_began(wire.AnswerHead(status, [], **(fields | head)))
        for part in parts:
            receiver.answer_data(part)

    def take_crashes(self) -> list[crashes.Crash | crashes.Reset]:
        """Returns the crashes that the forwarder would report a while on."""
        return self.forwarder.guard.take_settled(
            self.pool.is_connected, self.clock.now() + SECOND
        )

    def idle(self) -> bool:
        """Returns whether no call is counted as in progress."""
        target_states = self.forwarder.placement.state_by_upstream.values()
        return not self.forwarder.calls and not any(
            target_state.in_progress for target_state in target_states
        )


def event(number: int) -> bytes:
    return f"id: {number}\ndata: x\n\n".encode()


def test_a_whole_answer_is_passed_on_once() -> None:
    bench = Bench(routes.RetryMode.ONCE).begin()
    receiver = bench.receiver
    bench.answer(200, b"ab", b"cd")
    assert bench.responder.status == 0
    receiver.answer_ended()
    assert bench.responder.status == 200
    assert bench.responder.body == b"abcd"
    assert bench.responder.ends == ["whole"] and bench.idle()


def test_a_success_without_its_signature_is_not_passed_on() -> None:
    bench = Bench(routes.RetryMode.ONCE).begin()
    bench.answer(200, b"forged", signed=False)
    assert bench.responder.refusal.status == 502
    assert bench.responder.body == b"" and bench.idle()


def size_table(bench: Bench, size: int) -> routes.RouteTable:
    """Returns a newer table in which the model has another size."""
    (model,) = ENGINE.models
    engine = attrs.evolve(ENGINE, models=(attrs.evolve(model, size=size),))
    return routes.RouteTable(
        bench.forwarder.table.version + 1,
        bench.forwarder.table.routes,
        (routes.Service("s", 10, engine),),
    )


def test_no_request_begins_in_a_group_of_another_size() -> None:
    """A table changed the size; its groups went on to get requests."""
    bench = Bench(routes.RetryMode.STREAM, resumable=True)
    bench.place("u1", "u2", group="g1-1")
    bench.begin()
    assert len(bench.pool.sent) == 1
    receiver = bench.receiver
    bench.forwarder.apply_route_table(size_table(bench, 2))
    late = Responder()
    bench.forwarder.begin(bench.make_call("a2", late))
    assert late.refusal.status == 503
    assert late.refusal.run_state is errors.RunState.NOT_RUN
    assert late.refusal.retry_after < forwarders.UNSERVABLE_RETRY_AFTER
    # What had begun is finished where it began.
    bench.answer(200, event(1), streamed=True)
    receiver.answer_ended()
    assert bench.responder.ends == ["whole"]
    assert len(bench.pool.sent) == 1


def test_a_retry_is_not_sent_to_a_group_of_another_size() -> None:
    bench = Bench(routes.RetryMode.IDEMPOTENT)
    bench.place("u1", "u2", group="g1-1")
    bench.begin()
    bench.forwarder.apply_route_table(size_table(bench, 2))
    bench.answer(503, not_run=True, signed=False)
    assert len(bench.pool.sent) == 1
    assert bench.responder.refusal.status == 503 and bench.idle()


def test_queued_calls_are_refused_once_no_group_may_serve_them() -> None:
    """They waited for a slot of groups that get no request any more."""
    bench = Bench(routes.RetryMode.STREAM)
    bench.place("u1", group="g1-1")
    for number in range(13):
        bench.forwarder.begin(bench.make_call(f"b{number}", Responder()))
    bench.begin()
    assert bench.call.state is forwarding.State.WAITING
    bench.forwarder.apply_route_table(size_table(bench, 2))
    assert bench.responder.refusal.status == 503


@pytest.mark.parametrize("size", [3, None])
def test_callers_are_told_to_come_back_late_for_what_no_group_can_serve(
    size: int | None,
) -> None:
    """The fleet has two instances, or the model is not configured."""
    bench = Bench(routes.RetryMode.STREAM)
    if size is None:
        bench.call.head = attrs.evolve(bench.call.head, model="other")
    else:
        bench.forwarder.apply_route_table(size_table(bench, size))
        bench.place("u1", "u2", group="g1-1")
    bench.begin()
    refusal = bench.responder.refusal
    assert (refusal.status, refusal.run_state) == (
        503,
        errors.RunState.NOT_RUN,
    )
    assert refusal.retry_after >= forwarders.UNSERVABLE_RETRY_AFTER
    assert not bench.pool.sent and bench.idle()


def test_non_repeatable_call_that_may_have_run_is_not_retried() -> None:
    bench = Bench(routes.RetryMode.ONCE).begin()
    bench.receiver.answer_failed(exchanges.Failure.BROKEN)
    assert len(bench.pool.sent) == 1
    assert bench.responder.refusal.status == 502
    assert bench.idle()


def test_call_that_did_not_run_is_retried() -> None:
    bench = Bench(routes.RetryMode.ONCE).begin()
    bench.answer(503, not_run=True, signed=False)
    assert len(bench.pool.sent) == 2
    bench.answer(503, not_run=True, signed=False)
    # Neither upstream ran the call, so the refusal may state that.
    assert bench.responder.refusal.status == 503
    assert bench.responder.refusal.retry_after is not None
    assert bench.idle()


def test_idempotent_call_is_retried_at_another_upstream() -> None:
    bench = Bench(routes.RetryMode.IDEMPOTENT).begin()
    bench.receiver.answer_failed(exchanges.Failure.BROKEN)
    receiver = bench.receiver
    assert bench.pool.sent[0][0] != bench.pool.sent[1][0]
    bench.answer(200, b"ok")
    receiver.answer_ended()
    assert bench.responder.body == b"ok" and bench.idle()


def test_call_that_may_have_run_is_not_reported_as_not_run() -> None:
    bench = Bench(routes.RetryMode.IDEMPOTENT).begin()
    bench.receiver.answer_failed(exchanges.Failure.BROKEN)
    bench.answer(503, not_run=True, signed=False)
    assert bench.responder.refusal.status == 502


def test_an_upstreams_failure_keeps_its_status() -> None:
    bench = Bench(routes.RetryMode.ONCE).begin()
    receiver = bench.receiver
    bench.answer(500, b"broken")
    receiver.answer_ended()
    assert bench.responder.status == 500 and bench.idle()


@pytest.mark.parametrize("status", sorted(errors.NOT_RUN_STATUSES))
@pytest.mark.parametrize(
    "mode, resumable",
    [(routes.RetryMode.ONCE, False), (routes.RetryMode.STREAM, False)],
)
@pytest.mark.parametrize("first", [None, exchanges.Failure.NOT_SENT])
def test_an_upstreams_own_status_does_not_say_that_a_call_was_not_run(
    status: int,
    mode: routes.RetryMode,
    resumable: bool,
    first: exchanges.Failure | None,
) -> None:
    """A booking that ran and was answered with 503 was made twice."""
    bench = Bench(mode, resumable=resumable).begin()
    if first is not None:
        bench.receiver.answer_failed(first)
    sent = len(bench.pool.sent)
    receiver = bench.receiver
    bench.answer(status, b"not run", pause=SECOND)
    receiver.answer_ended()
    assert len(bench.pool.sent) == sent
    refusal = bench.responder.refusal
    assert (refusal.status, refusal.run_state) == (
        502,
        errors.RunState.UNKNOWN,
    )
    assert "not run" not in refusal.detail and refusal.retry_after is None
    # Nothing of the upstream's answer, and so not its signature either.
    assert (bench.responder.status, bench.responder.body) == (0, b"")
    assert bench.responder.ends == ["refused"] and bench.idle()


@pytest.mark.parametrize("status", sorted(errors.NOT_RUN_STATUSES))
def test_a_rejection_that_breaks_off_does_not_say_not_run(
    status: int,
) -> None:
    bench = Bench(routes.RetryMode.ONCE).begin()
    receiver = bench.receiver
    bench.answer(status, b"not")
    receiver.answer_failed(exchanges.Failure.BROKEN)
    assert bench.responder.refusal.status == 502 and bench.idle()


def test_an_upstreams_own_503_still_pauses_it() -> None:
    """Its Retry-After holds though the caller does not get its answer."""
    bench = Bench(routes.RetryMode.ONCE).begin()
    paused, receiver = bench.pool.sent[-1][0], bench.receiver
    bench.answer(503, b"full", pause=60 * SECOND)
    receiver.answer_ended()
    for number in range(8):
        bench.forwarder.begin(bench.make_call(f"b{number}", Responder()))
    assert paused not in [address for address, _ in bench.pool.sent[1:]]
    assert len(bench.pool.sent) > 1


@pytest.mark.parametrize("status", sorted(errors.NOT_RUN_STATUSES - {421}))
def test_an_upstreams_own_status_is_kept_where_a_repeat_does_no_harm(
    status: int,
) -> None:
    bench = Bench(routes.RetryMode.IDEMPOTENT, attempts=1).begin()
    receiver = bench.receiver
    bench.answer(status, b"busy")
    receiver.answer_ended()
    assert (bench.responder.status, bench.responder.body) == (status, b"busy")


def test_answers_without_end_take_no_room_from_others() -> None:
    """The answer that reached the limit of all was cut, whatever its size."""
    bench = Bench(routes.RetryMode.ONCE).begin()
    small, receiver = bench.responder, bench.receiver
    bench.answer(200, b"ok")
    # Together with the small answer, two bytes less than the limit of all.
    largest = forwarding.BUFFER_LIMIT_BYTES
    others = [Responder() for _ in range(4)]
    for number, size in enumerate((*[largest] * 3, largest - 4)):
        bench.forwarder.begin(bench.make_call(f"b{number}", others[number]))
        bench.answer(200, b"x" * size)
    receiver.answer_data(b"ok" * 2)
    receiver.answer_ended()
    assert (small.ends, small.body) == (["whole"], b"ok" * 3)
    assert [other.ends for other in others].count(["refused"]) == 1
    assert bench.forwarder.buffers.size <= 4 * largest


def test_attempts_end_at_the_limit_of_the_route() -> None:
    bench = Bench(routes.RetryMode.IDEMPOTENT, attempts=1).begin()
    bench.receiver.answer_failed(exchanges.Failure.BROKEN)
    assert len(bench.pool.sent) == 1 and bench.responder.ends == ["refused"]


def test_broken_stream_resumes_after_its_last_complete_event() -> None:
    bench = Bench(routes.RetryMode.STREAM, resumable=True).begin()
    bench.answer(200, event(1), event(2)[:4], streamed=True)
    bench.receiver.answer_failed(exchanges.Failure.BROKEN)
    _, second = bench.pool.sent[-1]
    assert b"resume_after='1'" in second.headers[0][1]
    receiver = bench.receiver
    bench.answer(200, event(2), event(3), streamed=True)
    receiver.answer_ended()
    assert bench.responder.body == event(1) + event(2) + event(3)
    assert bench.responder.ends == ["whole"] and bench.idle()


def test_stream_that_may_not_be_resumed_is_aborted() -> None:
    bench = Bench(routes.RetryMode.STREAM).begin()
    bench.answer(200, event(1), streamed=True)
    bench.receiver.answer_failed(exchanges.Failure.BROKEN)
    assert len(bench.pool.sent) == 1
    assert bench.responder.ends == ["cut"] and bench.idle()


def test_stream_with_a_missing_event_is_aborted() -> None:
    bench = Bench(routes.RetryMode.STREAM).begin()
    bench.answer(200, event(1), event(3), streamed=True)
    assert bench.responder.body == event(1)
    assert bench.responder.ends == ["cut"]


def test_events_before_one_out_of_order_are_not_lost() -> None:
    """They were dropped, and the stream was resumed after them."""
    bench = Bench(routes.RetryMode.STREAM, resumable=True).begin()
    bench.answer(200, event(1), event(2) + event(4), streamed=True)
    receiver = bench.receiver
    bench.answer(200, event(2), event(3), streamed=True)
    receiver.answer_ended()
    assert bench.responder.body == event(1) + event(2) + event(3)
    assert bench.responder.ends == ["whole"]


def test_stream_that_ends_within_an_event_is_aborted() -> None:
    bench = Bench(routes.RetryMode.STREAM).begin()
    receiver = bench.receiver
    bench.answer(200, event(1), b"id: 2\nda", streamed=True)
    receiver.answer_ended()
    assert bench.responder.ends == ["cut"]


@pytest.mark.parametrize("data", [b"x", b": x"])
def test_a_stream_that_sends_a_byte_now_and_then_is_retried(data) -> None:
    """Parts of an event that never ends kept it from counting as stalled."""
    bench = Bench(routes.RetryMode.STREAM, resumable=True).begin()
    bench.answer(200, event(1), streamed=True)
    receiver = bench.receiver
    for _ in range(20):
        bench.clock.time += 100 * MS
        receiver.answer_data(data)
        bench.forwarder.tick()
    assert len(bench.pool.sent) == 2


def test_an_answer_that_is_cut_is_logged_with_what_was_known() -> None:
    """Logs did not tell an upstream's silence from that of the entry."""
    bench = Bench(routes.RetryMode.STREAM, resumable=True, entries=None)
    bench.begin()
    bench.answer(200, event(1), streamed=True)
    bench.forwarder.tick()
    bench.clock.time += 40 * MS
    bench.forwarder.tick()
    bench.clock.time += 2 * SECOND
    with logbook.TestHandler() as logged:
        bench.receiver.answer_failed(exchanges.Failure.BROKEN)
    (line,) = [item for item in logged.records if item.msg == "answer cut"]
    assert line.kwargs["silent_ms"] == 2040
    assert line.kwargs["tick_ms"] == 40
    assert line.kwargs["remaining_ms"] == 3960
    assert line.kwargs["cause"] == "answer broken"
    assert line.kwargs["target_left"] and not line.kwargs["retry_left"]


def test_a_slow_stream_that_sends_events_is_not_cut() -> None:
    bench = Bench(routes.RetryMode.STREAM, resumable=True).begin()
    bench.answer(200, streamed=True)
    for number in range(1, 4):
        bench.clock.time += 700 * MS
        bench.forwarder.tick()
        bench.receiver.answer_data(event(number))
    assert len(bench.pool.sent) == 1


def test_stream_of_a_stalled_group_is_retried_at_another() -> None:
    bench = Bench(routes.RetryMode.STREAM, resumable=True).begin()
    bench.answer(200, event(1), streamed=True)
    bench.clock.time += forwarding.GROUP_STALL_TIMEOUT
    bench.forwarder.tick()
    assert len(bench.pool.sent) == 2
    assert bench.responder.ends == []
    bench.answer(200, event(2), streamed=True)
    assert bench.pool.sent[0][1].receiver is None
    assert bench.pool.sent[1][1].receiver is not None
    assert bench.responder.body == event(1) + event(2)


def test_a_stream_that_did_not_begin_is_retried_at_another() -> None:
    bench = Bench(routes.RetryMode.STREAM, resumable=True).begin()
    bench.clock.time += forwarding.GROUP_STALL_TIMEOUT
    bench.forwarder.tick()
    assert len(bench.pool.sent) == 2
    assert bench.pool.sent[0][1].receiver is None


def test_attempt_is_cancelled_when_the_caller_disconnects() -> None:
    bench = Bench(routes.RetryMode.STREAM, resumable=True).begin()
    bench.answer(200, event(1), streamed=True)
    bench.call.caller_left()
    assert bench.pool.sent[0][1].receiver is None
    assert bench.responder.ends == [] and bench.idle()


@pytest.mark.parametrize("sent", [True, False])
def test_at_the_deadline_only_what_was_not_sent_is_not_run(
    sent: bool,
) -> None:
    bench = Bench(routes.RetryMode.ONCE)
    if not sent:
        for name in ("u1", "u2"):
            target_state = bench.forwarder.placement.target_state(name)
            (
                target_state.others_in_progress,
                target_state.others_reported_at,
            ) = (1e9, bench.clock.now())
    bench.begin()
    bench.clock.time += 6 * SECOND
    bench.call.check(bench.clock.now(), bench.clock.now())
    assert bench.responder.refusal.status == (504 if sent else 503)
    assert bench.idle()


def test_an_upstream_that_can_t_be_reached_was_sent_nothing() -> None:
    bench = Bench(routes.RetryMode.ONCE).begin()
    bench.receiver.answer_failed(exchanges.Failure.NOT_SENT)
    assert len(bench.pool.sent) == 2
    bench.receiver.answer_failed(exchanges.Failure.NOT_SENT)
    assert bench.responder.refusal.status == 503 and bench.idle()


def test_calls_that_may_not_be_repeated_take_fresh_connections() -> None:
    assert Bench(routes.RetryMode.ONCE).begin().pool.max_idle_times == [
        forwarding.FRESH_CONNECTION_MAX_IDLE
    ]
    assert Bench(routes.RetryMode.IDEMPOTENT).begin().pool.max_idle_times == [
        None
    ]


def test_without_a_group_a_request_is_refused_at_once() -> None:
    bench = Bench(routes.RetryMode.STREAM)
    bench.place()
    bench.begin()
    assert bench.responder.refusal.status == 503
    assert bench.responder.refusal.retry_after is not None


def test_queued_call_starts_when_a_slot_becomes_free() -> None:
    bench = Bench(routes.RetryMode.STREAM)
    bench.place("u1")
    target_state = bench.forwarder.placement.target_state("u1")
    target_state.in_progress = 13
    bench.begin()
    assert not bench.pool.sent and not bench.responder.ends
    target_state.in_progress = 12
    bench.forwarder.tick()
    assert len(bench.pool.sent) == 1


def test_call_queued_too_long_is_refused_as_not_run() -> None:
    bench = Bench(routes.RetryMode.STREAM)
    bench.place("u1")
    bench.forwarder.placement.target_state("u1").in_progress = 13
    bench.begin()
    bench.clock.time += 500 * MS
    bench.forwarder.tick()
    assert bench.responder.refusal.status == 503


@pytest.mark.parametrize(
    "events, cause", [(0, True), (1, True), (2, False), (3, False)]
)
def test_only_requests_that_were_beginning_are_suspects_of_a_crash(
    events: int, cause: bool
) -> None:
    bench = Bench(routes.RetryMode.STREAM).begin()
    name = bench.call.tried[0]
    pieces = [event(number + 1) for number in range(events)]
    bench.answer(200, *pieces, streamed=True)
    bench.receiver.answer_failed(exchanges.Failure.BROKEN)
    [crash] = bench.take_crashes()
    assert crash.report.upstream == name
    assert len(crash.report.suspects) == cause
    assert crash.answering == (not cause)


def test_a_stream_that_ends_within_its_first_event_is_a_suspect() -> None:
    bench = Bench(routes.RetryMode.STREAM).begin()
    bench.answer(200, b"id: 1\nda", streamed=True)
    bench.receiver.answer_ended()
    [crash] = bench.take_crashes()
    assert len(crash.report.suspects) == 1


def test_limits_that_answers_name_or_end_are_known() -> None:
    bench = Bench(routes.RetryMode.ONCE).begin()
    name = bench.call.tried[0]
    bench.answer(200, limit=wire.LimitNotice(1.5))
    table = bench.forwarder.permits.table
    assert table.rate(name, 1) == 1.5
    # An answer whose limit can't be read does not end the limit.
    bench.answer(200, limit=None)
    assert bench.forwarder.permits.table.rate(name, 1) == 1.5
    bench.answer(200, limit=wire.LimitNotice(None))
    assert bench.forwarder.permits.table.rate(name, 1) is None


def test_another_upstreams_answer_says_nothing_of_the_limit() -> None:
    bench = Bench(routes.RetryMode.ONCE).begin()
    name = bench.call.tried[0]
    bench.answer(421, not_run=True, limit=wire.LimitNotice(1.0))
    assert bench.forwarder.permits.table.rate(name, 1) is None


def test_an_entry_that_was_not_told_of_others_uses_no_reserve() -> None:
    """After a restart of all, each entry took the whole reserve."""
    for told, repeated in ((False, False), (True, True)):
        bench = Bench(routes.RetryMode.IDEMPOTENT, entries=None)
        if told:
            bench.forwarder.apply_fleet_status(
                fleetmessages.FleetStatus([], 6)
            )
        bench.clock.time += 2 * SECOND
        bench.begin().receiver.answer_failed(exchanges.Failure.BROKEN)
        assert (len(bench.pool.sent) == 2) is repeated
        if not repeated:
            assert bench.responder.refusal.status == 502


def test_a_restarted_entry_has_no_reserve_when_it_is_told_of_others() -> None:
    """Each restart gave it its part of the reserve once more."""
    bench = Bench(routes.RetryMode.IDEMPOTENT, entries=None)
    bench.forwarder.apply_fleet_status(fleetmessages.FleetStatus([], 6))
    bench.begin().receiver.answer_failed(exchanges.Failure.BROKEN)
    assert len(bench.pool.sent) == 1
    assert bench.responder.refusal.status == 502


@pytest.mark.parametrize("silence, repeated", [(4, 1), (6, 0)])
def test_an_entry_isolated_for_long_uses_no_reserve(silence, repeated) -> None:
    """The others use its part after five minutes."""
    bench = Bench(routes.RetryMode.IDEMPOTENT)
    permits = bench.forwarder.permits
    permits.keeper_heard("c1", 1, bench.clock.time - silence * 60 * SECOND)
    bench.forwarder.tick()
    bench.begin().receiver.answer_failed(exchanges.Failure.BROKEN)
    assert len(bench.pool.sent) == 1 + repeated


@pytest.mark.parametrize("entries, kept", [(1, 24), (6, 4), (84, 1)])
def test_all_entries_together_keep_no_more_idle_connections_than_accepted(
    entries: int, kept: int
) -> None:
    bench = Bench(routes.RetryMode.ONCE)
    service = routes.Service("s", 48, ENGINE)
    bench.forwarder.apply_route_table(
        attrs.evolve(bench.forwarder.table, services=(service,))
    )
    bench.forwarder.apply_fleet_status(fleetmessages.FleetStatus([], entries))
    bench.begin()
    exchange = bench.pool.sent[0][1]
    assert exchange.max_idle_connections == kept


class BrokenPool(Pool):
    """A pool that raises an unexpected error."""

    def send(self, address, exchange, max_idle=None) -> None:
        """Raises an error."""
        raise ValueError("no such address")


def test_an_unexpected_error_ends_one_call_only() -> None:
    """It used to end the process, and the caller went on to the next one."""
    bench = Bench(routes.RetryMode.ONCE, pool=BrokenPool())
    bench.begin()
    assert bench.responder.refusal.status in (502, 503)
    assert bench.idle()


def test_an_error_while_a_queued_call_starts_ends_one_call_only() -> None:
    bench = Bench(routes.RetryMode.STREAM, pool=BrokenPool())
    bench.place("u1")
    target_state = bench.forwarder.placement.target_state("u1")
    target_state.in_progress = 13
    bench.begin()
    target_state.in_progress = 0
    bench.forwarder.tick()
    assert bench.responder.ends == ["refused"] and bench.idle()


def test_an_error_in_the_check_of_a_call_ends_one_call_only() -> None:
    bench = Bench(routes.RetryMode.ONCE).begin()
    bench.call.deadline = None
    bench.forwarder.tick()
    assert bench.responder.ends == ["refused"] and bench.idle()


def test_a_broken_invariant_still_ends_the_process() -> None:
    bench = Bench(routes.RetryMode.ONCE).begin()
    target_state = bench.forwarder.placement.target_state(bench.call.tried[0])
    target_state.in_progress = 0
    bench.clock.time = bench.call.deadline
    with pytest.raises(AssertionError):
        bench.forwarder.tick()


@pytest.fixture(name="withdrawn")
def fixture_withdrawn(monkeypatch) -> list[datetime.timedelta]:
    """Returns when retries were withdrawn from budgets."""
    times: list[datetime.timedelta] = []
    withdraw = sharedbudget.SharedBudget.try_withdraw

    def record(budget, now: datetime.timedelta) -> bool:
        times.append(now)
        return withdraw(budget, now)

    monkeypatch.setattr(sharedbudget.SharedBudget, "try_withdraw", record)
    return times


def test_a_retry_without_an_upstream_takes_nothing_from_the_budget(
    withdrawn,
) -> None:
    """Retries were spent on calls that could not be placed again."""
    bench = Bench(routes.RetryMode.ONCE)
    bench.place("u1")
    bench.begin()
    bench.answer(503, not_run=True, signed=False)
    assert bench.responder.refusal.status == 503
    assert withdrawn == []


def test_a_call_that_may_not_run_again_takes_nothing_from_the_budget(
    withdrawn,
) -> None:
    bench = Bench(routes.RetryMode.ONCE).begin()
    bench.call.may_have_run = True
    bench.answer(503, not_run=True, signed=False)
    assert bench.responder.refusal.status == 502
    assert withdrawn == []


def test_a_slow_call_goes_on_while_no_retry_is_left() -> None:
    """It was given up and its caller refused, though it might answer."""
    bench = Bench(routes.RetryMode.IDEMPOTENT, entries=None).begin()
    receiver = bench.receiver
    bench.clock.time += 3 * SECOND
    bench.forwarder.tick()
    assert bench.responder.ends == []
    state = bench.forwarder.placement.target_state(bench.call.tried[0])
    failures = state.failures
    bench.forwarder.tick()
    # Its target is doubted, once.
    assert state.failures == failures > 0
    bench.answer(200, b"late")
    receiver.answer_ended()
    assert bench.responder.body == b"late"


def test_a_stream_that_stands_still_is_given_up_without_a_retry() -> None:
    """It would hold a place at its group in an overload."""
    bench = Bench(routes.RetryMode.STREAM, resumable=True, entries=None)
    bench.begin()
    bench.clock.time += 3 * SECOND
    bench.forwarder.tick()
    assert bench.responder.refusal.status == 502 and bench.idle()


def test_an_upstreams_failure_keeps_its_status_when_no_retry_is_left() -> None:
    bench = Bench(routes.RetryMode.IDEMPOTENT, entries=None).begin()
    receiver = bench.receiver
    bench.answer(500, b"broken")
    receiver.answer_ended()
    assert bench.responder.status == 500 and bench.idle()


# ---- Streams that broke off and are resumed -----------------------------


def resumed(attempts: int = 2, *parts: bytes) -> Bench:
    """Returns a call whose stream broke off after some parts."""
    bench = Bench(routes.RetryMode.STREAM, resumable=True, attempts=attempts)
    bench.begin()
    bench.answer(200, *(parts or (event(1), event(2))), streamed=True)
    bench.receiver.answer_failed(exchanges.Failure.BROKEN)
    return bench


@pytest.mark.parametrize(
    "parts", [(), (event(1), event(2)), (event(1),), (b": comment\n\n",)]
)
def test_an_empty_resumption_does_not_complete_a_stream(parts) -> None:
    """The stream ended as complete before its last event."""
    bench = resumed()
    receiver = bench.receiver
    bench.answer(200, *parts, streamed=True)
    receiver.answer_ended()
    assert bench.responder.ends == ["cut"] and bench.idle()


@pytest.mark.parametrize("status", [200, 204, 400, 404, 429, 500, 502, 503])
@pytest.mark.parametrize("streamed", [False, True])
@pytest.mark.parametrize("not_run", [False, True])
def test_an_error_is_never_part_of_a_stream_that_began(
    status: int, streamed: bool, not_run: bool
) -> None:
    bench = resumed()
    receiver = bench.receiver
    bench.answer(
        status, b"event: error\ndata: broken\n\n", streamed=streamed,
        not_run=not_run,
    )  # fmt: skip
    receiver.answer_ended()
    assert bench.responder.body == event(1) + event(2)
    assert bench.responder.ends == ["cut"] and bench.idle()


def test_a_stream_without_ids_is_not_resumed() -> None:
    """The second run began anew in the middle of the first one's answer."""
    bench = resumed(2, b"data: a\n\n")
    assert len(bench.pool.sent) == 1
    assert bench.responder.ends == ["cut"] and bench.idle()


def test_a_caller_that_resumes_gets_what_follows_its_last_event() -> None:
    """An upstream that begins anew gave it events twice."""
    bench = Bench(routes.RetryMode.STREAM, resumable=True)
    bench.call.head = attrs.evolve(bench.call.head, resume_after="2")
    bench.begin()
    receiver = bench.receiver
    bench.answer(200, event(1), event(2), event(3), streamed=True)
    receiver.answer_ended()
    assert bench.responder.body == event(3)
    assert bench.responder.ends == ["whole"]


def test_a_caller_that_resumes_misses_no_event() -> None:
    bench = Bench(routes.RetryMode.STREAM, resumable=True)
    bench.call.head = attrs.evolve(bench.call.head, resume_after="2")
    bench.begin()
    bench.answer(200, event(4), streamed=True)
    assert bench.responder.body == b""


ENDS_OF_ATTEMPTS = ["refused", "misdirected", "failed", "broken", "not sent"]


@hypothesis.given(
    mode=strategies.sampled_from(list(routes.RetryMode)),
    ends=strategies.lists(
        strategies.sampled_from(ENDS_OF_ATTEMPTS), min_size=1, max_size=8
    ),
)
def test_no_call_goes_twice_to_one_upstream(mode, ends) -> None:
    """An earlier refusal could be taken for the answer to the second one."""
    bench = Bench(mode, resumable=True, attempts=9)
    bench.place(*(f"u{number}" for number in range(6)))
    bench.begin()
    for end in ends:
        if bench.call.state is not forwarding.State.SENT:
            break
        receiver = bench.receiver
        match end:
            case "refused":
                bench.answer(503, not_run=True, signed=False)
            case "misdirected":
                bench.answer(421, not_run=True, signed=False)
            case "failed":
                bench.answer(500, b"error")
                receiver.answer_ended()
            case "broken":
                receiver.answer_failed(exchanges.Failure.BROKEN)
                bench.clock.time += SECOND
                bench.forwarder.tick()
            case "not sent":
                receiver.answer_failed(exchanges.Failure.NOT_SENT)
    addresses = [address for address, _ in bench.pool.sent]
    assert len(addresses) == len(set(addresses))
    assert len(bench.responder.ends) <= 1
