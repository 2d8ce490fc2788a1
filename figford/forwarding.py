"""One caller's request on its way to an upstream and back.

The call is a small state machine. It ends in exactly one of: an answer
passed on, an upstream's failure passed on, a refusal of this entry, or a
connection that is cut because an answer that had begun can't be ended.
"""

from __future__ import annotations

import datetime
import enum
import typing

import attrs

from figford import errors
from figford import eventstream
from figford import exchanges
from figford import placement
from figford import routes
from figford import wire

if typing.TYPE_CHECKING:
    from figford import forwarder as forwarders

# A group that sends nothing on any stream for this long stands still.
GROUP_STILL = datetime.timedelta(milliseconds=800)
# One stream may pause this long while its group still works.
STREAM_STILL = datetime.timedelta(milliseconds=1700)
# An idempotent call that took this part of its objective is tried again
# elsewhere, while the objective can still be met.
SECOND_TRY = 0.6
LEAST_SECOND_TRY = datetime.timedelta(milliseconds=80)
# Too little is left for an upstream to do anything.
LEAST_REMAINING = datetime.timedelta(milliseconds=15)
# A connection used this lately is taken for calls that may not be
# repeated; an older one may be dead, and then the outcome is unknown.
FRESH_CONNECTION = datetime.timedelta(seconds=1)
GROUP_STANDS_STILL = "group stands still"
BUFFER_LIMIT_BYTES = 8 << 20


class State(enum.Enum):
    """Where a call is."""

    WAITING = "waiting"
    SENT = "sent"
    OVER = "over"


class Responder(typing.Protocol):
    """The caller's side."""

    def begin(self, status: int, headers: wire.HeaderList) -> None:
        """Sends status and headers."""

    def write(self, data: bytes) -> None:
        """Sends a part of the body."""

    def finish(self) -> None:
        """Ends the answer."""

    def refuse(self, refusal: errors.Refusal) -> None:
        """Sends a refusal as the whole answer."""

    def abort(self) -> None:
        """Cuts the connection, so that the answer does not look whole."""


@attrs.define(eq=False)
class ForwardedCall:
    """The state of one request; its own events drive it."""

    owner: forwarders.Forwarder
    route: routes.Route
    account: routes.Account | None
    head: wire.CallHead
    method: bytes
    target: bytes
    headers: wire.HeaderList
    body: bytes
    responder: Responder
    arrived_at: datetime.timedelta
    deadline: datetime.timedelta
    service: str = ""
    state: State = State.WAITING
    tried: list[str] = attrs.field(factory=list)
    # Upstreams that could not be connected, so that nothing reached them.
    unreached: list[str] = attrs.field(factory=list)
    # Whether any attempt may have run; cleared by no later answer.
    may_have_run: bool = False
    repeats: int = 0
    first_at: datetime.timedelta | None = None
    cause: str = ""
    _attempt: _Attempt | None = None
    _began: bool = False
    _events: eventstream.EventSplitter = attrs.field(
        factory=eventstream.EventSplitter
    )

    # ---- From the owner -------------------------------------------------

    @property
    def priority(self) -> int:
        """Returns the rank of the request; 0 comes first."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def avoided(self) -> list[str]:
        """Returns the upstreams that this call does not go to again."""
        return self.tried + self.unreached

    def start(self, target: placement.Target) -> None:
        """Sends the request, or the rest of it, to a target."""
        now = self.owner.clock.now()
        self.state = State.SENT
        self.tried.append(target.upstream)
        self._events.restart()
        attempt = _Attempt(self, target, now)
        self._attempt = attempt
        resume_after = self._events.last_id if self._began else None
        outgoing = wire.Outgoing(
            remaining=self.deadline - now,
            upstream=target.upstream,
            account=self.account.name if self.account else None,
            resume_after=resume_after,
        )
        attempt.exchange = exchanges.Exchange(
            self.method,
            self.target,
            self.owner.dialect.request_headers(self.headers, outgoing),
            self.body,
            attempt,
            attempt=self.head.attempt,
        )
        once = not self.route.repeatable
        self.owner.pool.send(
            target.address,
            attempt.exchange,
            FRESH_CONNECTION if once else None,
        )

    def refuse(self, refusal: errors.Refusal) -> None:
        """Ends the call without an answer of an upstream."""
        if self.state is State.OVER:
            return
        self._drop_attempt()
        if self._began:
            self._end("broken", 0, refusal.kind)
            self.responder.abort()
            return
        self._end("refused", refusal.status, refusal.kind)
        self.responder.refuse(refusal)

    def caller_left(self) -> None:
        """Stops the work of an upstream for a caller that is gone."""
        if self.state is State.OVER:
            return
        self._drop_attempt()
        self._end("caller left", 0, "")

    def check(self, now: datetime.timedelta) -> None:
        """Does what time makes due."""
        if self.state is State.OVER:
            return
        if now >= self.deadline:
            self._past_deadline()
            return
        if self._attempt is None:
            return
        why = self._stands_still(self._attempt, now)
        if why and self._may_go_on(now):
            target = self._attempt.target
            self.owner.placement.failed(target, now)
            if why == GROUP_STANDS_STILL:
                self.owner.placement.eject(target, now)
            self._drop_attempt()
            self._go_on(why, errors.UpstreamFailed(why))

    def _past_deadline(self) -> None:
        if self._attempt is not None and not self._began:
            now = self.owner.clock.now()
            self.owner.placement.failed(self._attempt.target, now)
        if self.may_have_run or self._attempt is not None:
            self.refuse(
                errors.DeadlineMissed(
                    "not answered by its deadline",
                    run_state=errors.RunState.UNKNOWN,
                )
            )
        else:
            self.refuse(self.owner.no_capacity("deadline passed in queue"))

    def _stands_still(self, attempt: _Attempt, now: datetime.timedelta) -> str:
        """Returns why an attempt is given up, if it is."""
        if not self.route.repeatable:
            return ""
        quiet = now - attempt.active_at
        if self.route.repeat is not routes.Repeat.STREAM:
            limit = max(self.route.objective * SECOND_TRY, LEAST_SECOND_TRY)
            return "slow upstream" if quiet >= limit else ""
        target_state = self.owner.placement.target_state(
            attempt.target.upstream
        )
        if (
            quiet >= GROUP_STILL
            and now - target_state.active_at >= GROUP_STILL
        ):
            return GROUP_STANDS_STILL
        if quiet >= STREAM_STILL:
            return "stream stands still"
        return ""

    # ---- From the upstream ----------------------------------------------

    def answer_began(self, attempt: _Attempt, head: wire.AnswerHead) -> None:
        """Takes the head of an answer."""
        now = self.owner.clock.now()
        attempt.head = head
        attempt.active_at = now
        target = attempt.target
        self.owner.placement.active(target, now)
        if head.load is not None:
            total = head.load.running + head.load.waiting
            self.owner.placement.loaded(target, total, now)
        if head.not_run:
            self._not_run(attempt, head, now)
        elif 200 <= head.status < 300 and (not head.signed or head.encoded):
            # Not the upstream's own whole answer.
            self._attempt_broke(attempt, "unsigned answer")

    def _not_run(
        self,
        attempt: _Attempt,
        head: wire.AnswerHead,
        now: datetime.timedelta,
    ) -> None:
        """Goes on after an upstream's word that it ran nothing."""
        self._drop_attempt(read_on=True, ran=False)
        if head.status == 421:
            self.owner.misdirected(attempt.target)
        else:
            self.owner.placement.failed(attempt.target, now)
        self._go_on(
            f"not run: {head.status}",
            self.owner.no_capacity("the upstreams tried are full"),
        )

    def answer_data(self, attempt: _Attempt, data: bytes) -> None:
        """Passes whole events on; keeps other bodies until they are whole."""
        now = self.owner.clock.now()
        attempt.active_at = now
        self.owner.placement.active(attempt.target, now)
        head = attempt.head
        if head is None:
            return
        if not self._is_stream(head):
            attempt.parts.append(data)
            attempt.size += len(data)
            if attempt.size > BUFFER_LIMIT_BYTES:
                self._attempt_broke(attempt, "answer too large")
            return
        try:
            events = self._events.feed(data)
        except eventstream.EventOrderError as error:
            self._attempt_broke(attempt, str(error))
            return
        if events:
            self._pass_on(head, b"".join(events), now)

    def _is_stream(self, head: wire.AnswerHead) -> bool:
        return head.streamed and 200 <= head.status < 300

    def _pass_on(
        self, head: wire.AnswerHead, data: bytes, now: datetime.timedelta
    ) -> None:
        if not self._began:
            self._began = True
            self.first_at = now
            self.responder.begin(head.status, head.headers)
        self.responder.write(data)

    def answer_ended(self, attempt: _Attempt) -> None:
        """Ends the answer to the caller."""
        head = attempt.head
        if head is None:
            self._attempt_broke(attempt, "no answer")
            return
        now = self.owner.clock.now()
        if self._is_stream(head):
            if self._events.pending or not self._began:
                self._attempt_broke(attempt, "stream ended within an event")
                return
            self._release(attempt)
            self.owner.placement.succeeded(attempt.target)
            self._end("answered", head.status, "")
            self.responder.finish()
            return
        if head.status >= 500:
            self._upstream_failed(attempt, head, now)
            return
        self._deliver(attempt, head)

    def _upstream_failed(
        self,
        attempt: _Attempt,
        head: wire.AnswerHead,
        now: datetime.timedelta,
    ) -> None:
        self.owner.placement.failed(attempt.target, now)
        if self._may_go_on(now):
            self._release(attempt)
            self.may_have_run = True
            self._go_on(
                f"upstream status {head.status}",
                errors.UpstreamFailed(f"upstream status {head.status}"),
            )
            return
        if self._began:
            self._attempt_broke(attempt, f"upstream status {head.status}")
            return
        self._deliver(attempt, head)

    def _deliver(self, attempt: _Attempt, head: wire.AnswerHead) -> None:
        """Passes a whole answer on, success or failure."""
        if self._began:
            self._attempt_broke(attempt, f"resumed with {head.status}")
            return
        self._release(attempt)
        if head.status < 500:
            self.owner.placement.succeeded(attempt.target)
        self.first_at = self.owner.clock.now()
        body = b"".join(attempt.parts)
        self._end("answered", head.status, "")
        length = (b"Content-Length", str(len(body)).encode())
        self.responder.begin(head.status, [*head.headers, length])
        if body:
            self.responder.write(body)
        self.responder.finish()

    def answer_failed(
        self, attempt: _Attempt, failure: exchanges.Failure
    ) -> None:
        """Goes on, or gives up, after an attempt that broke."""
        if failure is exchanges.Failure.NOT_SENT:
            now = self.owner.clock.now()
            self.owner.placement.failed(attempt.target, now)
            self._drop_attempt(ran=False)
            self.tried.remove(attempt.target.upstream)
            self.unreached.append(attempt.target.upstream)
            self._go_on(
                "not connected",
                self.owner.no_capacity("no upstream can be reached"),
                arrived=False,
            )
            return
        self._attempt_broke(attempt, f"answer {failure.value}")

    def _attempt_broke(self, attempt: _Attempt, why: str) -> None:
        now = self.owner.clock.now()
        self.cause = why
        self.owner.placement.failed(attempt.target, now)
        self._drop_attempt()
        refusal = errors.UpstreamFailed(why, run_state=errors.RunState.UNKNOWN)
        if self.route.repeatable:
            self._go_on(why, refusal)
        else:
            self.refuse(refusal)

    # ---- Going on -------------------------------------------------------

    def _may_go_on(self, now: datetime.timedelta) -> bool:
        return (
            self.route.repeatable
            and len(set(self.tried)) < self.route.attempts
            and self.deadline - now > LEAST_REMAINING
            and self.owner.could_go_on(self)
        )

    def _go_on(
        self, why: str, refusal: errors.Refusal, arrived: bool = True
    ) -> None:
        """Tries another target, or ends with the refusal.

        `arrived` is whether the attempt counts against the budget of
        repeats and the attempts of the route.
        """
        now = self.owner.clock.now()
        self.cause = why
        self.state = State.WAITING
        allowed = self.deadline - now > LEAST_REMAINING
        if arrived:
            allowed = allowed and (
                len(set(self.tried)) < self.route.attempts
                and self.owner.take_repeat(self, now)
            )
        if self.may_have_run and not self.route.repeatable:
            allowed = False
        if not allowed:
            self._refuse_after(refusal)
            return
        self.repeats += arrived
        self.owner.attempt_ended(self, why)
        if not self.owner.place_again(self, now):
            self._refuse_after(refusal)

    def _refuse_after(self, refusal: errors.Refusal) -> None:
        """Refuses; what may have run is never called not run."""
        if self.may_have_run and refusal.status in (503, 429):
            refusal = errors.UpstreamFailed(
                refusal.detail, run_state=errors.RunState.UNKNOWN
            )
        self.refuse(refusal)

    # ---- Ending ---------------------------------------------------------

    def _release(self, attempt: _Attempt) -> None:
        """Gives the place at a target back, once."""
        if attempt is self._attempt:
            self._attempt = None
            self.owner.placement.finished(attempt.target)

    def _drop_attempt(self, read_on: bool = False, ran: bool = True) -> None:
        """Leaves the present attempt; `read_on` keeps its connection."""
        attempt = self._attempt
        if attempt is None:
            return
        self._release(attempt)
        exchange = attempt.exchange
        if exchange is None:
            return
        if ran and exchange.sent:
            self.may_have_run = True
        if read_on:
            exchange.receiver = None
        else:
            exchange.cancel()

    def _end(self, outcome: str, status: int, kind: str) -> None:
        self.state = State.OVER
        self.owner.call_ended(self, outcome, status, kind)


@attrs.define(eq=False)
class _Attempt:
    """One try at one target; passes its events on while it is current."""

    call: ForwardedCall
    target: placement.Target
    active_at: datetime.timedelta
    exchange: exchanges.Exchange | None = None
    head: wire.AnswerHead | None = None
    parts: list[bytes] = attrs.field(factory=list)
    size: int = 0

    def __attrs_post_init__(self) -> None:
        """Counts the try at its target."""
        self.call.owner.placement.started(self.target, self.active_at)

    def answer_began(self, head: wire.AnswerHead) -> None:
        """Takes status and headers."""
        if self.call._attempt is self:
            self.call.answer_began(self, head)

    def answer_data(self, data: bytes) -> None:
        """Takes a part of the body."""
        if self.call._attempt is self:
            self.call.answer_data(self, data)

    def answer_ended(self) -> None:
        """Notes that the answer is whole."""
        if self.call._attempt is self:
            self.call.answer_ended(self)

    def answer_failed(self, failure: exchanges.Failure) -> None:
        """Notes that there will be no whole answer."""
        if self.call._attempt is self:
            self.call.answer_failed(self, failure)
