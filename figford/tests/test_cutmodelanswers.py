"""Model answers that have begun end early only if no group goes on."""

import datetime
import random

import attrs
import pytest

from figford import answers
from figford import dispatch
from figford import errors
from figford import gateway as gateways
from figford import membership
from figford import messages
from figford import metrics
from figford import modelcalls
from figford import node as nodes
from figford import operators
from figford import routing
from figford import settings
from figford import upstreams

SECOND = datetime.timedelta(seconds=1)
TICK = SECOND / 10
NOW = 100 * SECOND
LIMITS = settings.Limits()
SILENCE = LIMITS.between_token_timeout + SECOND
SERVING_GROUP = operators.ServingGroup(
    name="chat",
    model="m",
    replicas={"north": 2},
    shape=operators.Replica(instances=1),
    concurrency=2,
)


@attrs.define
class Clock:
    """A clock whose time tests set."""

    time: datetime.timedelta = NOW

    def now(self) -> datetime.timedelta:
        """Returns the time that was set."""
        return self.time


@attrs.define(eq=False)
class Attempt:
    """One stream of an upstream."""

    address: str
    receiver: upstreams.StreamReceiver
    resume_from: int
    cancelled: bool = False

    def cancel(self) -> None:
        """Records that the entry cancelled the attempt."""
        self.cancelled = True

    def pause(self) -> None:
        """Does nothing."""

    def resume(self) -> None:
        """Does nothing."""

    def send(self, request: str, *positions: int, last: bool = False) -> None:
        """Sends pieces of the answer, the last one of them as its end."""
        assert not self.cancelled
        for position in positions:
            is_end = last and position == positions[-1]
            self.receiver.stream_data(piece(request, position, is_end))

    def fail(self, error: errors.FigfordError | None = None) -> None:
        """Breaks the stream off."""
        self.receiver.stream_ended(error or upstreams.BrokenAnswerError("x"))


def piece(request: str, position: int, is_end: bool = False) -> bytes:
    data = "[DONE]" if is_end else f"{position}"
    event = f"id: {request}:{position}\ndata: {data}".encode()
    return event + answers.SEPARATOR


@attrs.define(eq=False)
class Responder:
    """Records what a caller received."""

    request: str
    body: bytes = b""
    end: str = ""
    refusal: errors.Refusal | None = None

    def begin(self, status: int, headers: dict[bytes, bytes]) -> None:
        """Does nothing."""

    def write(self, data: bytes) -> None:
        """Appends a part of the body."""
        self.body += data

    def finish(self) -> None:
        """Records the end of the answer, whole or with an error."""
        self.end = "error" if b"event: error" in self.body else "whole"

    def refuse(self, refusal: errors.Refusal) -> None:
        """Records a refusal."""
        self.end = "refused"
        self.refusal = refusal

    def abort(self) -> None:
        """Records that the connection was aborted."""
        self.end = "aborted"


class Bench:
    """A gateway with groups of one member each and a fake client."""

    def __init__(self, *names: str) -> None:
        self.clock = Clock()
        self.attempts: list[Attempt] = []
        self.names = names
        self.count = 0
        self.load = messages.Load()
        me = messages.Peer("e1", 1, 0, "north", "127.0.0.1:1")
        rng = random.Random(1)
        self.node = nodes.Node(membership.PeerTable(me), rng, NOW)
        self.dispatcher = dispatch.Dispatcher(
            self.node.group_table,
            routing.Router(rng),
            started_at=NOW - 60 * SECOND,
        )
        self.gateway = gateways.Gateway(
            self.node,
            self.dispatcher,
            self,
            metrics.Metrics(),
            self.clock,
            LIMITS,
            None,
            rng,
            lambda failure: failure.raiseException(),
        )
        self.announce()

    def announce(self, **changes: object) -> None:
        """Announces the members of all groups."""
        self.count += 1
        changes.setdefault("state", messages.UpstreamState.SERVING)
        changes.setdefault("incarnation", 1)
        for name in self.names:
            self.node.announce(
                messages.Announcement(
                    upstream=f"engine-{name}",
                    sequence=self.count,
                    data_centre="north",
                    fabric_domain="f",
                    address=name,
                    kind=messages.UpstreamKind.ENGINE,
                    seat=messages.Seat(name, "chat", 1, 0, 1),
                    load=self.load,
                    **changes,
                ),
                self.clock.time,
            )

    def stream(self, address, headers, body, receiver) -> Attempt:
        """Records an attempt."""
        position = int(headers[b"figford-resume-from"])
        self.attempts.append(Attempt(address, receiver, position))
        return self.attempts[-1]

    def ask(
        self,
        account: str = "a",
        seconds: float = 30.0,
        streaming: bool = True,
    ) -> Responder:
        """Submits a request for a stream, or for an answer in one."""
        responder = Responder(self.gateway.new_request_id())
        request = dispatch.ModelRequest(
            responder.request,
            operators.ClientAccount(name=account, key_digest=account),
            operators.RequestClass.CHAT,
            SERVING_GROUP,
            7,
            self.clock.time + datetime.timedelta(seconds=seconds),
        )
        call = modelcalls.ModelCall(
            self.gateway, request, b"{}", streaming, responder,
            self.clock.time,
        )  # fmt: skip
        self.gateway.begin_model_call(call)
        return responder

    def pass_time(self, duration: datetime.timedelta) -> None:
        """Lets time pass; members announce themselves each second."""
        end = self.clock.time + duration
        while self.clock.time < end:
            before = self.clock.time
            self.clock.time = min(end, before + TICK)
            if before // SECOND != self.clock.time // SECOND:
                self.announce()
            self.tick()

    def tick(self) -> None:
        """Runs the periodic tasks, that of the gateway first."""
        self.gateway.tick()
        self.node.tick(self.clock.time)

    def spend_retries(self) -> None:
        """Leaves no retry, also in the near future."""
        self.dispatcher.budget.set_entries(None, self.clock.time)
        while self.dispatcher.budget.try_withdraw(self.clock.time):
            pass


def begun(*names: str) -> tuple[Bench, Responder, Attempt]:
    """Returns a bench, and a call that has received two pieces."""
    bench = Bench(*names)
    responder = bench.ask()
    (source,) = bench.attempts
    source.send(responder.request, 0, 1)
    return bench, responder, source


def whole(request: str, count: int) -> bytes:
    return b"".join(
        piece(request, position, position == count - 1)
        for position in range(count)
    )


def no_retry(bench: Bench) -> None:
    """Leaves no retry."""
    bench.spend_retries()


def other_group_full(bench: Bench) -> None:
    """Occupies the places of all other groups."""
    for _ in range(3):
        bench.ask()
    bench.load = messages.Load(running=SERVING_GROUP.concurrency)
    bench.announce()


def no_other_group(bench: Bench) -> None:
    """Removes the other groups."""
    address = bench.attempts[0].address
    bench.names = (address,)
    bench.pass_time(5 * SECOND)


@pytest.mark.parametrize(
    "prevent", [no_retry, other_group_full, no_other_group]
)
def test_a_silent_answer_is_kept_while_it_can_t_be_resumed(prevent) -> None:
    """It ended with an error when its upstream paused for 10 s."""
    bench, responder, source = begun("g1", "g2")
    prevent(bench)
    bench.pass_time(2 * SILENCE)
    assert responder.end == "" and not source.cancelled
    source.send(responder.request, 2, 3, last=True)
    assert responder.end == "whole"
    assert responder.body == whole(responder.request, 4)


def test_a_silent_answer_is_resumed_at_another_group() -> None:
    bench, responder, source = begun("g1", "g2")
    bench.pass_time(SILENCE)
    assert len(bench.attempts) == 2
    assert bench.attempts[1].address != source.address
    bench.attempts[1].send(responder.request, 2, last=True)
    assert responder.body == whole(responder.request, 3)


def test_an_answer_that_has_not_begun_is_refused_after_its_time() -> None:
    bench = Bench("g1")
    responder = bench.ask()
    bench.spend_retries()
    bench.pass_time(LIMITS.first_token_timeout + SECOND)
    assert responder.end == "refused" and bench.attempts[0].cancelled


@pytest.mark.parametrize("pause", [1.5, 2.5, 4.0, 12.0, 40.0])
def test_an_entry_that_was_late_takes_no_upstream_for_silent(pause) -> None:
    """Pieces and announcements lay unread when its timers ran."""
    bench, responder, source = begun("g1", "g2")
    bench.pass_time(2 * SECOND)
    bench.clock.time += pause * SECOND
    bench.tick()
    assert not source.cancelled
    bench.announce()
    source.send(responder.request, 2)
    bench.pass_time(5 * SECOND)
    assert len(bench.attempts) == 1 and not source.cancelled
    source.send(responder.request, 3, last=True)
    assert responder.body == whole(responder.request, 4)


def test_an_entry_that_was_late_takes_no_caller_for_stalled() -> None:
    """Its caller had read all, but it had not written again."""
    bench, responder, source = begun("g1")
    source.receiver.call.pause()
    bench.pass_time(SECOND)
    bench.clock.time += LIMITS.stalled_caller_timeout
    bench.tick()
    assert responder.end == ""
    source.receiver.call.resume()
    bench.pass_time(SECOND)
    source.send(responder.request, 2, last=True)
    assert responder.end == "whole"


def test_a_caller_that_reads_nothing_is_aborted() -> None:
    bench, responder, source = begun("g1")
    source.receiver.call.pause()
    bench.pass_time(LIMITS.stalled_caller_timeout + SECOND)
    assert responder.end == "aborted" and source.cancelled


@pytest.mark.parametrize("pause", [0.0, 4.0])
def test_a_member_that_is_silent_while_the_entry_runs_ends_its_attempt(
    pause,
) -> None:
    bench, responder, source = begun("g1", "g2")
    bench.clock.time += pause * SECOND
    bench.tick()
    bench.names = tuple(set(bench.names) - {source.address})
    bench.pass_time(membership.UPSTREAM_SILENCE_TIMEOUT + 4 * TICK)
    assert source.cancelled and len(bench.attempts) == 2
    bench.attempts[1].send(responder.request, 2, last=True)
    assert responder.body == whole(responder.request, 3)


def test_a_member_that_restarted_while_the_entry_was_late_is_lost() -> None:
    bench, responder, source = begun("g1", "g2")
    bench.clock.time += 2 * SECOND
    bench.tick()
    bench.announce(incarnation=2)
    bench.gateway.tick()
    assert source.cancelled


def queued_to_be_resumed(seconds: float) -> tuple[Bench, Responder, Responder]:
    """Returns an answer that broke off, and one that has the last place.

    The first one's deadline for its first token is in so many seconds.
    """
    bench = Bench("g1", "g2")
    other = bench.ask("b")
    bench.attempts[0].send(other.request, 0)
    bench.names = (bench.attempts[0].address,)
    bench.load = messages.Load(running=SERVING_GROUP.concurrency)
    bench.ask("b")
    bench.names = ("g1", "g2")
    bench.announce()
    responder = bench.ask(seconds=seconds)
    bench.attempts[2].send(responder.request, 0, 1)
    assert bench.attempts[2].address != bench.attempts[0].address
    return bench, responder, other


def assert_resumed(bench: Bench, responder: Responder) -> None:
    """Ends the answer at the group that was asked last, and checks it."""
    assert responder.end == ""
    bench.attempts[-1].send(responder.request, 2, last=True)
    assert responder.body == whole(responder.request, 3)


@pytest.mark.parametrize("seconds", [1.0, 4.0])
def test_a_begun_answer_waits_for_another_group(seconds) -> None:
    """It was refused by the deadline for its first token, which had come."""
    bench, responder, other = queued_to_be_resumed(seconds)
    bench.pass_time(2 * SECOND)
    bench.attempts[2].fail()
    bench.pass_time(6 * SECOND)
    assert responder.end == "" and len(bench.attempts) == 3
    bench.attempts[0].send(other.request, 1, last=True)
    assert_resumed(bench, responder)


def test_a_begun_answer_is_not_refused_by_the_limit_of_the_queue() -> None:
    bench, responder, other = queued_to_be_resumed(30.0)
    queue = bench.dispatcher._queue(SERVING_GROUP.name)
    queue.limit_per_account = 0
    bench.attempts[2].fail()
    bench.attempts[0].send(other.request, 1, last=True)
    assert_resumed(bench, responder)


def test_a_begun_answer_waits_until_an_entry_that_was_late_hears_groups():
    """No group counted as complete; the answer ended with an error."""
    bench, responder, source = begun("g1", "g2")
    bench.clock.time += 4 * SECOND
    bench.tick()
    bench.announce()
    source.fail()
    bench.pass_time(3 * SECOND)
    assert len(bench.attempts) == 2
    assert_resumed(bench, responder)


def test_a_begun_answer_ends_with_an_error_if_no_group_goes_on() -> None:
    bench, responder, _ = queued_to_be_resumed(1.0)
    bench.attempts[2].fail()
    bench.pass_time(dispatch.RESUMPTION_TIMEOUT - SECOND)
    assert responder.end == ""
    bench.pass_time(2 * SECOND)
    assert responder.end == "error" and bench.dispatcher.queued == 0


def test_an_answer_that_waits_for_another_group_delays_no_request() -> None:
    """It had tried the only group, where there is a place."""
    bench, responder, source = begun("g1")
    source.fail()
    assert bench.dispatcher.queued == 1
    other = bench.ask()
    bench.pass_time(SECOND)
    assert len(bench.attempts) == 2
    bench.attempts[1].send(other.request, 0, last=True)
    assert other.end == "whole" and responder.end == ""


def test_calls_are_refused_or_end_with_an_error_as_the_process_ends() -> None:
    """They were reset."""
    bench, begun_answer, _ = begun("g1")
    sent = bench.ask()
    bench.load = messages.Load(running=SERVING_GROUP.concurrency)
    bench.announce()
    queued = bench.ask()
    assert bench.dispatcher.queued == 1
    assert bench.gateway.end_calls() == 3
    assert begun_answer.end == "error"
    assert sent.refusal.run_state is errors.RunState.UNKNOWN
    assert queued.refusal.run_state is errors.RunState.NOT_RUN
    assert len(bench.attempts) == 2
    assert all(attempt.cancelled for attempt in bench.attempts)
    assert bench.gateway.in_progress == bench.dispatcher.in_progress == 0


@pytest.mark.parametrize(
    "invalid", [b"event: error\ndata: {}", b"id: e1-1-1:x\ndata: x"]
)
def test_a_piece_before_an_invalid_one_reaches_the_caller(invalid) -> None:
    """The next group was asked for the piece after it."""
    bench, responder, source = begun("g1", "g2")
    data = piece(responder.request, 2) + invalid + answers.SEPARATOR
    source.receiver.stream_data(data)
    assert bench.attempts[1].resume_from == 2
    bench.attempts[1].send(responder.request, 2, 3, last=True)
    assert responder.body == whole(responder.request, 4)


def silent_and_resumed() -> tuple[Bench, Responder, Attempt, Attempt]:
    """Returns an answer whose attempt is silent, and its resumption."""
    bench, responder, source = begun("g1", "g2")
    bench.pass_time(SILENCE)
    _, resumption = bench.attempts
    assert not source.cancelled and resumption.resume_from == 2
    return bench, responder, source, resumption


def assert_idle(bench: Bench) -> None:
    """Checks that no place at a group is held."""
    assert bench.gateway.in_progress == bench.dispatcher.in_progress == 0
    for name in bench.names:
        assert bench.dispatcher.router.in_progress(name, 1) == 0


def break_off(bench: Bench, resumption: Attempt) -> None:
    """Breaks the resumption off."""
    resumption.fail()


def refuse(bench: Bench, resumption: Attempt) -> None:
    """Refuses the resumption as not run."""
    resumption.fail(upstreams.NothingSentError("not in the group"))


def report_error(bench: Bench, resumption: Attempt) -> None:
    """Reports an error in place of a piece."""
    resumption.receiver.stream_data(b"event: error\ndata: {}\n\n")


def stay_silent(bench: Bench, resumption: Attempt) -> None:
    """Sends nothing for longer than an attempt may."""
    bench.pass_time(SILENCE)


def lose_member(bench: Bench, resumption: Attempt) -> None:
    """Loses the member of the resumption's group."""
    bench.names = tuple(set(bench.names) - {resumption.address})
    bench.pass_time(4 * SECOND)


@pytest.mark.parametrize(
    "fail", [break_off, refuse, report_error, stay_silent, lose_member]
)
def test_a_failed_resumption_does_not_end_a_silent_answer(fail) -> None:
    """The silent attempt was dropped before another one had a piece."""
    bench, responder, source, resumption = silent_and_resumed()
    bench.spend_retries()
    fail(bench, resumption)
    bench.pass_time(SECOND)
    assert responder.end == "" and resumption.cancelled
    source.send(responder.request, 2, last=True)
    assert responder.body == whole(responder.request, 3)
    assert_idle(bench)


def test_an_attempt_that_sends_again_ends_its_resumption() -> None:
    bench, responder, source, resumption = silent_and_resumed()
    source.send(responder.request, 2)
    assert resumption.cancelled
    bench.pass_time(SECOND)
    source.send(responder.request, 3, last=True)
    assert responder.body == whole(responder.request, 4)
    assert_idle(bench)


def test_a_resumption_takes_over_with_its_first_piece() -> None:
    bench, responder, source, resumption = silent_and_resumed()
    resumption.receiver.stream_data(piece(responder.request, 2)[:-1])
    assert not source.cancelled
    resumption.receiver.stream_data(piece(responder.request, 2)[-1:])
    assert source.cancelled
    resumption.send(responder.request, 3, last=True)
    assert responder.body == whole(responder.request, 4)
    assert_idle(bench)


@pytest.mark.parametrize("fail", [break_off, report_error, lose_member])
def test_a_resumption_goes_on_for_an_attempt_that_fails(fail) -> None:
    bench, responder, source, resumption = silent_and_resumed()
    bench.spend_retries()
    fail(bench, source)
    assert source.cancelled and responder.end == ""
    resumption.send(responder.request, 2, last=True)
    assert responder.body == whole(responder.request, 3)
    assert_idle(bench)


def test_both_attempts_end_with_their_caller() -> None:
    bench, _, source, resumption = silent_and_resumed()
    source.receiver.call.caller_left()
    assert source.cancelled and resumption.cancelled
    assert_idle(bench)


def test_both_attempts_end_with_the_process() -> None:
    bench, responder, source, resumption = silent_and_resumed()
    assert bench.gateway.end_calls() == 1
    assert source.cancelled and resumption.cancelled
    assert responder.end == "error"
    assert_idle(bench)


def test_an_answer_without_end_is_given_up_where_it_is_not_streamed() -> None:
    """All its pieces were kept until its deadline."""
    bench = Bench("g1", "g2")
    responder = bench.ask(streaming=False)
    other = bench.ask(account="b", streaming=False)
    data = b"data: " + b"x" * 65536
    for position in range(1000):
        if responder.end:
            break
        head = f"id: {responder.request}:{position}\n".encode()
        bench.attempts[0].receiver.stream_data(head + data + answers.SEPARATOR)
    assert responder.end == "refused"
    assert responder.refusal.run_state is errors.RunState.UNKNOWN
    assert position * 65536 <= LIMITS.answer_bytes
    assert bench.attempts[0].cancelled and bench.gateway.buffers.size == 0
    assert other.end == "" and not bench.attempts[1].cancelled
