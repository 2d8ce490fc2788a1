"""Forwards one caller's request to upstreams and returns the answer.

The call is a small state machine. Unless the caller disconnects first, it
ends in exactly one of four ways: an answer is forwarded, an upstream's error
is forwarded, this entry refuses the request, or the caller's connection is
aborted because an answer was sent in part and can't be completed. `endings`
says when that is allowed.

A stream that stands still keeps its attempt while it is resumed elsewhere. The
one of the two that sends the next event goes on; the other one is cancelled.
"""

from __future__ import annotations

import datetime
import enum
import typing

import attrs

from figford import attempts
from figford import crashes
from figford import endings
from figford import errors
from figford import eventstream
from figford import exchanges
from figford import fleetmessages
from figford import placement
from figford import routes
from figford import wire

if typing.TYPE_CHECKING:
    from figford import forwarder as forwarders

# A group that sends nothing on any stream for this long has stalled.
GROUP_STALL_TIMEOUT = datetime.timedelta(milliseconds=800)
# One stream may pause this long while its group sends on other streams.
STREAM_STALL_TIMEOUT = datetime.timedelta(milliseconds=1700)
# An idempotent call that is unanswered after this fraction of its latency
# objective is retried elsewhere, while the objective can still be met.
ATTEMPT_TIMEOUT_FRACTION = 0.6
MIN_ATTEMPT_TIMEOUT = datetime.timedelta(milliseconds=80)
# No retry is started with less time to the deadline: it is too little
# for an upstream to do anything.
MIN_REMAINING_TIME = datetime.timedelta(milliseconds=15)
# Calls that may not be repeated reuse only connections that were idle for
# at most this long: an older one may be dead, and then the outcome of the
# call would be unknown.
FRESH_CONNECTION_MAX_IDLE = datetime.timedelta(seconds=1)
GROUP_STALLED = "group stands still"
# Whether a stream that stands still can be resumed is looked up this often.
RESUMPTION_INTERVAL = datetime.timedelta(milliseconds=150)
# The leader rules on a crash within this time; without a ruling, a request
# that may have caused it is not repeated.
RULING_TIMEOUT = datetime.timedelta(milliseconds=250)
# Of one answer that is not a stream.
BUFFER_LIMIT_BYTES = 8 << 20
# The status of an answer by another upstream than the expected one.
MISDIRECTED = 421


class State(enum.Enum):
    """The phase of a call."""

    WAITING = "waiting"
    SENT = "sent"
    ENDED = "over"


@attrs.frozen
class _HeldRetry:
    """A retry that waits until it is known who is blamed for a crash."""

    upstream: str
    incarnation: int
    reason: str
    until: datetime.timedelta


class Responder(typing.Protocol):
    """The connection to the caller."""

    def begin(self, status: int, headers: wire.HeaderList) -> None:
        """Sends status and headers."""

    def write(self, data: bytes) -> None:
        """Sends a part of the body."""

    def finish(self) -> None:
        """Completes the answer."""

    def refuse(self, refusal: errors.Refusal) -> None:
        """Sends a refusal as the whole answer."""

    def abort(self) -> None:
        """Aborts the connection, so that the answer looks incomplete."""


@attrs.define(eq=False)
class ForwardedCall:
    """The state of one request, driven by events and by `check`."""

    forwarder: forwarders.Forwarder
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
    # Upstreams to which no connection could be made; they received nothing.
    unreachable: list[str] = attrs.field(factory=list)
    # Whether any attempt may have run; no later answer resets this.
    may_have_run: bool = False
    retry_count: int = 0
    first_data_at: datetime.timedelta | None = None
    last_data_at: datetime.timedelta | None = None
    # Why the last attempt ended, or is resumed elsewhere.
    cause: str = ""
    # The convicted trait that this request tests.
    probed_trait: str | None = None
    _attempt: attempts.Attempt | None = None
    # Resumes the stream elsewhere while `_attempt` stands still.
    _resumption: attempts.Attempt | None = None
    _resumable_at: datetime.timedelta = datetime.timedelta(0)
    # Set by an unexpected error; only the deadline is applied from then on.
    _unchecked: bool = False
    _held_retry: _HeldRetry | None = None
    # Whether a crash is blamed on this request.
    _blamed: bool = False
    _suspect: fleetmessages.Suspect | None = None
    _response_started: bool = False
    _paused: bool = False
    # The id of the last event that the caller received.
    _last_event_id: str | None = None

    # ---- Called by the forwarder ----------------------------------------

    @property
    def priority(self) -> int:
        """Returns the priority of the request; 0 is the most urgent."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def excluded_upstreams(self) -> list[str]:
        """Returns the upstreams that are not tried again for this call."""
        return self.tried + self.unreachable

    def suspect(self) -> fleetmessages.Suspect:
        """Returns what identifies this request in crashes of upstreams."""
        if self._suspect is None:
            caller = self.account.name if self.account else self.head.key
            self._suspect = fleetmessages.Suspect(
                crashes.request_digest(
                    crashes.RequestIdentity(
                        caller=caller or "",
                        host=crashes.host_of(self.headers),
                        method=self.method,
                        target=self.target,
                        parts=self.head.parts,
                        body=self.body,
                    )
                ),
                crashes.part_names(self.head),
            )
        return self._suspect

    @property
    def is_beginning(self) -> bool:
        """Returns whether an upstream may be about to begin the answer."""
        return any(not attempt.has_begun for attempt in self._attempts)

    @property
    def _attempts(self) -> list[attempts.Attempt]:
        """Returns the attempts in progress."""
        both = (self._attempt, self._resumption)
        return [attempt for attempt in both if attempt is not None]

    @property
    def _progress(self) -> endings.Progress:
        """Returns what the caller has received, and whether more may come."""
        if not self._response_started:
            return endings.Progress.NOT_BEGUN
        if self._attempt is None or not self._attempt.events:
            return endings.Progress.BROKEN_OFF
        if not self._attempt.has_begun:
            return endings.Progress.BEGINNING
        return endings.Progress.GOES_ON

    def start(self, target: placement.Target) -> None:
        """Sends the request to a target, or resumes its stream there.

        An attempt in progress goes on.
        """
        now = self.forwarder.clock.now()
        self.state = State.SENT
        self.tried.append(target.upstream)
        self.forwarder.attempt_started(self, target)
        if self._last_event_id is None and self.route.repeatable:
            self._last_event_id = self.head.resume_after
        attempt = attempts.Attempt(
            self,
            target,
            now,
            eventstream.EventSplitter.after(self._last_event_id),
        )
        if self._attempt is None:
            self._attempt = attempt
        else:
            self._resumption = attempt
        self.forwarder.placement.started(target, now)
        resume_after = self._last_event_id if self._response_started else None
        outgoing = wire.Outgoing(
            remaining=self.deadline - now,
            upstream=target.upstream,
            account=self.account.name if self.account else None,
            resume_after=resume_after,
        )
        attempt.exchange = exchanges.Exchange(
            self.method,
            self.target,
            self.forwarder.dialect.request_headers(self.headers, outgoing),
            self.body,
            attempt,
            attempt=self.head.attempt,
            max_idle_connections=self.forwarder.max_idle_connections(
                target.service
            ),
            paused=self._paused,
        )
        once = not self.route.repeatable
        self.forwarder.pool.send(
            target.address,
            attempt.exchange,
            FRESH_CONNECTION_MAX_IDLE if once else None,
        )

    def end_early(self, cause: endings.Cause, refusal: errors.Refusal) -> None:
        """Refuses the call, or cuts an answer in progress where it may.

        Never says that a request did not run if it may have. An answer that
        may not be cut goes on without another attempt.
        """
        if self.state is State.ENDED:
            return
        if not endings.may_end(cause, self._progress):
            self._drop(self._resumption)
            self._unchecked |= cause is endings.Cause.UNEXPECTED_ERROR
            return
        cut = (
            self.forwarder.describe_cut(self, cause, refusal)
            if self._response_started
            else None
        )
        self._held_retry = None
        self._drop_all()
        if cut is not None:
            self.forwarder.answer_cut(cause, cut)
            self._end("broken", 0, refusal.kind)
            self.responder.abort()
            return
        if self.may_have_run and refusal.status in errors.NOT_RUN_STATUSES:
            refusal = errors.UpstreamFailed(
                refusal.detail, run_state=errors.RunState.UNKNOWN
            )
        self._end("refused", refusal.status, refusal.kind)
        self.responder.refuse(refusal)

    def crash_ruled(
        self, upstream: str, incarnation: int, blamed: bool
    ) -> None:
        """Retries after a crash unless this request is blamed for it.

        Another attempt goes on, but none follows once it is blamed.
        """
        held = self._held_retry
        if held is None or (held.upstream, held.incarnation) != (
            upstream,
            incarnation,
        ):
            return
        self._held_retry = None
        self._blamed |= blamed
        if self._attempt is not None:
            return
        refusal = errors.UpstreamFailed(
            held.reason, run_state=errors.RunState.UNKNOWN
        )
        if blamed:
            self.forwarder.metrics.event("retry-refused-after-crash")
            self.end_early(endings.Cause.UPSTREAM_FAILED, refusal)
        else:
            self._retry_or_refuse(held.reason, refusal)

    def pause(self) -> None:
        """Stops reading the answer while its caller is slow."""
        self._paused = True
        for attempt in self._attempts:
            if attempt.exchange is not None:
                attempt.exchange.pause()

    def resume(self) -> None:
        """Reads the answer again."""
        self._paused = False
        for attempt in self._attempts:
            if attempt.exchange is not None:
                attempt.active_at = self.forwarder.clock.now()
                attempt.exchange.resume()

    def caller_left(self) -> None:
        """Cancels the attempts after the caller disconnected."""
        if self.state is State.ENDED:
            return
        self._drop_all()
        self._end("caller left", 0, "")

    def check(
        self, now: datetime.timedelta, read_until: datetime.timedelta
    ) -> None:
        """Applies the deadline and the stall timeouts.

        What arrived until `read_until` has been read; silence counts only up
        to then.
        """
        if self.state is State.ENDED:
            return
        if now >= self.deadline:
            self.end_unanswered(
                endings.Cause.DEADLINE,
                "the request was not answered by its deadline",
            )
            return
        held = self._held_retry
        if held is not None and read_until >= held.until:
            self.crash_ruled(held.upstream, held.incarnation, blamed=True)
        if self._attempt is None or self._unchecked:
            return
        reason = self._stall_reason(self._attempt, read_until)
        if not reason:
            return
        if self._response_started:
            self._resume_elsewhere(reason, now, read_until)
        elif self._has_alternative(now):
            self._doubt(self._attempt, reason, now)
            is_stream = self.route.retry_mode is routes.RetryMode.STREAM
            # Streams that stand still hold the places of others in an
            # overload.
            if is_stream or self.forwarder.has_retry(self, now):
                self._drop(self._attempt)
                self._retry_or_refuse(reason, errors.UpstreamFailed(reason))

    def _doubt(
        self,
        attempt: attempts.Attempt,
        reason: str,
        now: datetime.timedelta,
    ) -> None:
        """Counts the target of an attempt that stands still as failing."""
        if attempt.doubted:
            return
        attempt.doubted = True
        self.forwarder.placement.failed(attempt.target, now)
        if reason == GROUP_STALLED:
            self.forwarder.placement.eject(attempt.target, now)

    def _resume_elsewhere(
        self,
        reason: str,
        now: datetime.timedelta,
        read_until: datetime.timedelta,
    ) -> None:
        """Resumes a stream that stands still at another target, if it can.

        The attempt goes on until the other one has sent an event.
        """
        if now < self._resumable_at or self._held_retry is not None:
            return
        # Streams of one group stand still at the same time.
        self._resumable_at = now + RESUMPTION_INTERVAL * (
            1 + self.forwarder.rng.random()
        )
        resumption = self._resumption
        if resumption is not None:
            stalled = self._stall_reason(resumption, read_until)
            if not stalled:
                return
            self._doubt(resumption, stalled, now)
        attempt = self._attempt
        if attempt is None or not self._has_attempt_left(now):
            return
        has_retry = self.forwarder.has_retry(self, now)
        # The search weighs all targets, so it comes last.
        if attempt.doubted and not has_retry:
            return
        if not self.forwarder.has_alternative_target(self):
            return
        self._doubt(attempt, reason, now)
        if has_retry and not self.forwarder.is_convicted(self):
            self._place_resumption(attempt, reason, now)

    def _place_resumption(
        self, attempt: attempts.Attempt, reason: str, now: datetime.timedelta
    ) -> None:
        """Takes a retry and resumes the stream at another target."""
        self.forwarder.withdraw_retry(self, now)
        self._drop(self._resumption)
        self.cause = reason
        self.retry_count += 1
        self.forwarder.attempt_stalled(self, attempt.target.upstream, reason)
        self.forwarder.place_again(self, now)

    def end_unanswered(self, cause: endings.Cause, detail: str) -> None:
        """Ends a call that has no more time.

        Says that the request did not run only if no upstream received it.
        """
        if self._attempt is not None and not self._response_started:
            now = self.forwarder.clock.now()
            self.forwarder.placement.failed(self._attempt.target, now)
        if self.may_have_run or self._attempt is not None:
            refusal: errors.Refusal = errors.DeadlineMissed(
                detail, run_state=errors.RunState.UNKNOWN
            )
        else:
            refusal = self.forwarder.no_capacity(detail)
        self.end_early(cause, refusal)

    def _stall_reason(
        self, attempt: attempts.Attempt, read_until: datetime.timedelta
    ) -> str:
        """Returns why an attempt is abandoned; empty if it is not."""
        if not self.route.repeatable or self._paused:
            return ""
        idle_for = read_until - attempt.active_at
        if self.route.retry_mode is not routes.RetryMode.STREAM:
            limit = max(
                self.route.objective * ATTEMPT_TIMEOUT_FRACTION,
                MIN_ATTEMPT_TIMEOUT,
            )
            return "slow upstream" if idle_for >= limit else ""
        target_state = self.forwarder.placement.target_state(
            attempt.target.upstream
        )
        if (
            idle_for >= GROUP_STALL_TIMEOUT
            and read_until - target_state.active_at >= GROUP_STALL_TIMEOUT
        ):
            return GROUP_STALLED
        if idle_for >= STREAM_STALL_TIMEOUT:
            return "stream stands still"
        return ""

    # ---- Events of the upstream -----------------------------------------

    def is_current(self, attempt: attempts.Attempt) -> bool:
        """Returns whether the call still waits for an attempt."""
        return attempt in self._attempts

    def answer_began(
        self, attempt: attempts.Attempt, head: wire.AnswerHead
    ) -> None:
        """Handles status and headers of an answer."""
        now = self.forwarder.clock.now()
        attempt.head = head
        attempt.active_at = now
        target = attempt.target
        self.forwarder.placement.sent_data(target, now)
        if head.load is not None:
            total = head.load.running + head.load.waiting
            self.forwarder.placement.load_reported(target, total, now)
        if head.status != MISDIRECTED:
            self.forwarder.limit_noticed(target, head.limit)
            self.forwarder.notices_received(target, head)
        if head.not_run:
            self._not_run(attempt, head, now)
        elif 200 <= head.status < 300 and (not head.signed or head.encoded):
            # Unsigned or content-encoded: not the upstream's own answer.
            self._attempt_failed(attempt, "unsigned answer")

    def _not_run(
        self,
        attempt: attempts.Attempt,
        head: wire.AnswerHead,
        now: datetime.timedelta,
    ) -> None:
        """Retries after an upstream stated that it did not run the request."""
        self._lose(
            attempt,
            f"not run: {head.status}",
            keep_connection=True,
            ran=False,
        )
        if head.status == MISDIRECTED:
            self.forwarder.misdirected(attempt.target)
        else:
            self.forwarder.placement.failed(attempt.target, now)
        self._retry_or_refuse(
            f"not run: {head.status}",
            self.forwarder.no_capacity(
                "no attempted upstream could run the request"
            ),
        )

    def answer_data(self, attempt: attempts.Attempt, data: bytes) -> None:
        """Forwards complete events; buffers other bodies until complete."""
        now = self.forwarder.clock.now()
        self.forwarder.placement.sent_data(attempt.target, now)
        head = attempt.head
        if head is None:
            return
        if not self._is_stream(head):
            attempt.active_at = now
            attempt.body += data
            if len(attempt.body) > BUFFER_LIMIT_BYTES:
                self.answer_too_large(attempt)
            else:
                self.forwarder.buffers.add(attempt, len(data))
            return
        splitter = attempt.splitter
        completed, identified = splitter.completed, splitter.identified
        try:
            events = splitter.feed(data)
        except eventstream.EventOrderError as error:
            self._attempt_failed(attempt, str(error))
            return
        if splitter.completed > completed:
            # Parts of an event alone are no progress.
            attempt.active_at = now
        attempt.events += len(events)
        if splitter.identified > identified:
            self._last_event_id = splitter.last_id
            self._drop_other(attempt)
        if events and attempt is self._attempt:
            self._forward_data(head, b"".join(events), now)
        if attempt.has_begun:
            self._record_survival(attempt)

    def answer_too_large(self, attempt: attempts.Attempt) -> None:
        """Gives up an attempt whose answer can't be buffered."""
        self.forwarder.metrics.event("answer-too-large")
        self._attempt_failed(attempt, "answer too large")

    def _drop_other(self, attempt: attempts.Attempt) -> None:
        """Cancels the other attempt once one has sent the next event."""
        if self._resumption is None:
            return
        if attempt is self._resumption:
            self.forwarder.metrics.event("resumption-took-over")
            self._drop(self._attempt)
        else:
            self._drop(self._resumption)

    def _is_stream(self, head: wire.AnswerHead) -> bool:
        return head.streamed and 200 <= head.status < 300

    def _forward_data(
        self, head: wire.AnswerHead, data: bytes, now: datetime.timedelta
    ) -> None:
        self.last_data_at = now
        if not self._response_started:
            self._response_started = True
            self.first_data_at = now
            self.responder.begin(head.status, head.headers)
        self.responder.write(data)

    def answer_ended(self, attempt: attempts.Attempt) -> None:
        """Completes the answer to the caller, or retries a failed attempt."""
        head = attempt.head
        if head is None:
            self._attempt_failed(attempt, "no answer")
            return
        now = self.forwarder.clock.now()
        if self._is_stream(head):
            if (
                attempt.splitter.pending
                or attempt.splitter.awaits_next
                or not self._response_started
            ):
                self._connection_broken(
                    attempt, "stream ended within or before an event"
                )
                return
            self._record_survival(attempt)
            self._release(attempt)
            self._drop_all()
            self.forwarder.placement.succeeded(attempt.target)
            self._end("answered", head.status, "")
            self.responder.finish()
            return
        if self._response_started:
            self._attempt_failed(
                attempt, f"resumption answered with status {head.status}"
            )
            return
        if head.status >= 500 or self._is_unproven(head):
            self._upstream_failed(attempt, head, now)
            return
        self._record_survival(attempt)
        self._deliver(attempt, head)

    def _is_unproven(self, head: wire.AnswerHead) -> bool:
        """Returns whether a status says "not run" of what may have run.

        An upstream states that it did not run a request by a header, which
        `answer_began` handles; its status alone does not say so. Callers
        repeat what may be repeated in any case.
        """
        return (
            not self.route.repeatable
            and head.status in errors.NOT_RUN_STATUSES
        )

    def _record_survival(self, attempt: attempts.Attempt) -> None:
        """Records that the upstream outlived the beginning of the answer."""
        if not attempt.survived:
            attempt.survived = True
            self.forwarder.guard.record_survival(
                self.suspect(), self.forwarder.clock.now()
            )

    def _upstream_failed(
        self,
        attempt: attempts.Attempt,
        head: wire.AnswerHead,
        now: datetime.timedelta,
    ) -> None:
        self.forwarder.placement.failed(attempt.target, now)
        if self._has_alternative(now) and self.forwarder.has_retry(self, now):
            self._release(attempt)
            self.may_have_run = True
            self._retry_or_refuse(
                f"upstream status {head.status}",
                errors.UpstreamFailed(f"upstream status {head.status}"),
            )
            return
        self._deliver(attempt, head)

    def _deliver(
        self, attempt: attempts.Attempt, head: wire.AnswerHead
    ) -> None:
        """Forwards a complete answer, successful or not.

        One whose status would tell the caller that the request did not run is
        replaced unless that is known, or another run does no harm.
        """
        if self._is_unproven(head):
            self._drop(attempt)
            self.cause = f"upstream status {head.status}"
            self.forwarder.metrics.event("unproven-status-replaced")
            self.end_early(
                endings.Cause.UPSTREAM_FAILED,
                errors.UpstreamFailed(
                    self.cause, run_state=errors.RunState.UNKNOWN
                ),
            )
            return
        self._release(attempt)
        if head.status < 500:
            self.forwarder.placement.succeeded(attempt.target)
        self.first_data_at = self.forwarder.clock.now()
        body = bytes(attempt.body)
        self._end("answered", head.status, "")
        length = (b"Content-Length", str(len(body)).encode())
        self.responder.begin(head.status, [*head.headers, length])
        if body:
            self.responder.write(body)
        self.responder.finish()

    def answer_failed(
        self, attempt: attempts.Attempt, failure: exchanges.Failure
    ) -> None:
        """Retries or refuses the call after a failed attempt."""
        if failure is exchanges.Failure.NOT_SENT:
            now = self.forwarder.clock.now()
            self.forwarder.placement.failed(attempt.target, now)
            self._lose(attempt, "not connected", ran=False)
            self.tried.remove(attempt.target.upstream)
            self.unreachable.append(attempt.target.upstream)
            if self._attempt is not None:
                if self._has_attempt_left(now):
                    self.forwarder.place_again(self, now)
                return
            self._retry_or_refuse(
                "not connected",
                self.forwarder.no_capacity("no upstream is reachable"),
                counted=False,
            )
            return
        if failure is exchanges.Failure.BROKEN:
            self._connection_broken(attempt, f"answer {failure.value}")
        else:
            self._attempt_failed(attempt, f"answer {failure.value}")

    def _connection_broken(
        self, attempt: attempts.Attempt, reason: str
    ) -> None:
        """Handles an answer that ended early, maybe as its upstream did.

        A request that may have been the cause is not repeated until that is
        ruled out.
        """
        now = self.forwarder.clock.now()
        target = attempt.target
        self.forwarder.attempt_broken(self, attempt)
        if (
            attempt.has_begun
            or not self.route.repeatable
            or not self.forwarder.guard.may_be_blamed(self.suspect(), now)
        ):
            self._attempt_failed(attempt, reason)
            return
        self.cause = reason
        self.forwarder.placement.failed(target, now)
        self._lose(attempt, reason)
        if self._attempt is None:
            self.state = State.WAITING
        self._held_retry = _HeldRetry(
            target.upstream, target.incarnation, reason, now + RULING_TIMEOUT
        )

    def _attempt_failed(self, attempt: attempts.Attempt, reason: str) -> None:
        now = self.forwarder.clock.now()
        self.cause = reason
        self.forwarder.placement.failed(attempt.target, now)
        self._lose(attempt, reason)
        refusal = errors.UpstreamFailed(
            reason, run_state=errors.RunState.UNKNOWN
        )
        if self.route.repeatable:
            self._retry_or_refuse(reason, refusal)
        else:
            self.end_early(endings.Cause.UPSTREAM_FAILED, refusal)

    # ---- Retries --------------------------------------------------------

    @property
    def _may_run_again(self) -> bool:
        """Returns whether another run may go on where the last one ended.

        A stream that began is resumed only after an event with an id.
        """
        if self._blamed:
            return False
        if self._response_started:
            return self.route.repeatable and self._last_event_id is not None
        return self.route.repeatable or not self.may_have_run

    def _has_alternative(self, now: datetime.timedelta) -> bool:
        """Returns whether the call may run at another target in time."""
        return self._has_attempt_left(
            now
        ) and self.forwarder.has_alternative_target(self)

    def _has_attempt_left(self, now: datetime.timedelta) -> bool:
        """Returns whether the route and the time allow another attempt."""
        return (
            self.route.repeatable
            and self._may_run_again
            and len(set(self.tried)) < self.route.attempts
            and self.deadline - now > MIN_REMAINING_TIME
        )

    def _retry_or_refuse(
        self, reason: str, refusal: errors.Refusal, counted: bool = True
    ) -> None:
        """Retries at another target, or ends the call with the refusal.

        Does nothing while another attempt goes on, or until the ruling on a
        crash that this request may have caused. `counted` states whether
        the retry counts against the retry budget and the attempts of the
        route.
        """
        if self._attempt is not None:
            return
        now = self.forwarder.clock.now()
        self.cause = reason
        self.state = State.WAITING
        if self._held_retry is not None:
            return
        allowed = (
            self._may_run_again and self.deadline - now > MIN_REMAINING_TIME
        )
        if counted:
            allowed = allowed and (
                len(set(self.tried)) < self.route.attempts
                and self.forwarder.take_retry(self, now)
            )
        if allowed:
            self.retry_count += counted
            self.forwarder.attempt_ended(
                self, self.tried[-1] if self.tried else "", reason, counted
            )
            if self.forwarder.place_again(self, now):
                return
        self.end_early(endings.Cause.UPSTREAM_FAILED, refusal)

    # ---- Ending ---------------------------------------------------------

    def _release(self, attempt: attempts.Attempt) -> None:
        """Releases the slot at a target, once; the other attempt goes on."""
        if attempt is self._attempt:
            self._attempt, self._resumption = self._resumption, None
        elif attempt is self._resumption:
            self._resumption = None
        else:
            return
        self.forwarder.buffers.remove(attempt)
        self.forwarder.placement.finished(attempt.target)

    def _drop(
        self,
        attempt: attempts.Attempt | None,
        keep_connection: bool = False,
        ran: bool = True,
    ) -> None:
        """Abandons an attempt, and its connection unless kept.

        `ran` is false if the attempt certainly did not run the request.
        """
        if attempt is None or attempt not in self._attempts:
            return
        self._release(attempt)
        exchange = attempt.exchange
        if exchange is None:
            return
        if ran and exchange.sent:
            self.may_have_run = True
        if keep_connection:
            exchange.ignore_rest(self.forwarder.clock.now())
        else:
            exchange.cancel()

    def _lose(
        self,
        attempt: attempts.Attempt,
        reason: str,
        keep_connection: bool = False,
        ran: bool = True,
    ) -> None:
        """Abandons an attempt that failed; logs it if another one goes on."""
        self._drop(attempt, keep_connection, ran)
        if self._attempt is not None:
            self.forwarder.attempt_ended(
                self, attempt.target.upstream, reason, counted=False
            )

    def _drop_all(self) -> None:
        """Abandons all attempts."""
        for attempt in self._attempts:
            self._drop(attempt)

    def _end(self, outcome: str, status: int, kind: str) -> None:
        self.state = State.ENDED
        self.forwarder.call_ended(self, outcome, status, kind)
