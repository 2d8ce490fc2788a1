"""Calls of plain services: repeatable reads and non-repeatable calls."""

from __future__ import annotations

import datetime
import typing

import attrs
from twisted.python import failure as failures

from figford import access
from figford import claims
from figford import dispatch
from figford import errors
from figford import messages
from figford import modelcalls
from figford import operators
from figford import upstreams

if typing.TYPE_CHECKING:
    from figford import gateway as gateways

READ_ATTEMPTS = 3


@attrs.define(eq=False)
class ServiceCall:
    """Base of repeatable and non-repeatable calls."""

    gateway: gateways.Gateway
    service: operators.PlainService
    grant: access.AccessGrant
    request_class: operators.RequestClass
    template: upstreams.PlainRequest
    responder: modelcalls.Responder
    started_at: datetime.timedelta
    _tried_addresses: set[str] = attrs.field(factory=set)
    _finished: bool = False
    _responded: bool = False

    def caller_left(self) -> None:
        """Suppresses the response; the call continues without its caller."""
        self._responded = True

    def end_unanswered(self) -> None:
        """Tells the caller that this process ends before the answer came."""
        if self._responded:
            return
        self._responded = True
        self.responder.refuse(dispatch.stopped_refusal(was_sent=True))

    def _next_address(self) -> str | None:
        address = self.gateway.choose_service(
            self.service.name, self._tried_addresses
        )
        if address is not None:
            self._tried_addresses.add(address)
        return address

    def _respond(self, answer: upstreams.PlainAnswer) -> None:
        self._finish("answered")
        if self._responded:
            return
        self._responded = True
        self.responder.begin(answer.status, _header_map(answer))
        self.responder.write(answer.body)
        self.responder.finish()

    def _refuse(self, refusal: errors.Refusal) -> None:
        self._finish(refusal.kind)
        if self._responded:
            return
        self._responded = True
        self.responder.refuse(refusal)

    def _finish(self, outcome: str) -> None:
        if self._finished:
            raise AssertionError("a call ended twice")
        self._finished = True
        self.gateway.service_call_ended(self, outcome)


@attrs.define(eq=False)
class RepeatableCall(ServiceCall):
    """A call that may be retried at another upstream."""

    _sent: bool = False

    def begin(self) -> None:
        """Makes the first attempt."""
        now = self.gateway.clock.now()
        self.gateway.dispatcher.budget.record_request(now)
        self._attempt()

    def _attempt(self) -> None:
        address = self._next_address()
        if address is None:
            self._refuse(
                errors.NoCapacity(
                    "no upstream of the service is available",
                    retry_after=claims.RETRY_UPSTREAM_AFTER,
                    run_state=self._run_state(),
                )
            )
            return
        request = attrs.evolve(self.template, address=address)
        deferred = self.gateway.client.call(request, self.service.timeout)
        deferred.addCallbacks(
            self._answered, self._failed, (address,), None, (address,)
        )
        deferred.addErrback(self.gateway.on_internal_error)

    def _answered(self, answer: upstreams.PlainAnswer, address: str) -> None:
        self.gateway.dispatcher.breakers.succeeded(address)
        self._respond(answer)

    def _failed(self, failure: failures.Failure, address: str) -> None:
        failure.trap(errors.FigfordError)
        now = self.gateway.clock.now()
        dispatcher = self.gateway.dispatcher
        dispatcher.breakers.failed(address, now)
        if not failure.check(upstreams.NothingSentError):
            self._sent = True
        may_retry = len(self._tried_addresses) < READ_ATTEMPTS
        if may_retry and dispatcher.budget.try_withdraw(now):
            self._attempt()
            return
        self._refuse(
            errors.UpstreamFailed(
                "the service did not answer",
                retry_after=claims.RETRY_UPSTREAM_AFTER,
                run_state=self._run_state(),
            )
        )

    def _run_state(self) -> errors.RunState:
        if self._sent:
            return errors.RunState.UNKNOWN
        return errors.RunState.NOT_RUN


@attrs.define(eq=False)
class NonRepeatableCall(ServiceCall):
    """A call that runs at most once, as `claims.Call` ensures."""

    call: claims.Call = attrs.field(kw_only=True)
    _attempt_number: int = 0
    _live_answer: upstreams.PlainAnswer | None = None

    def begin(self) -> None:
        """Proposes the claim, or starts an attempt if there is no key."""
        self._execute(self.call.start())

    def _handle(self, event: claims.Event, owner_live: bool = False) -> None:
        self._execute(self.call.handle(event, owner_live))

    def _execute(self, effects: list[claims.Effect]) -> None:
        for effect in effects:
            match effect:
                case claims.ProposeClaim(command):
                    self.gateway.propose(command, self._claimed)
                case claims.StartAttempt():
                    self._attempt()
                case claims.RecordAnswer(command):
                    self.gateway.propose_answer(command, self._recorded)
                case claims.ReleaseClaim(command):
                    self.gateway.propose_in_background(command)
                case claims.Respond(answer):
                    self._respond(_to_plain_answer(answer, self._live_answer))
                case claims.Refuse(refusal):
                    self._refuse(refusal)

    def _claimed(self, outcome: messages.Outcome | None) -> None:
        owner_live = False
        if isinstance(outcome, messages.ClaimBusy):
            owner_live = self.gateway.owner_is_live(outcome.owner)
        self._handle(claims.ClaimDecided(outcome), owner_live)

    def _recorded(self, outcome: messages.Outcome | None) -> None:
        self._handle(claims.Recorded(outcome is not None))

    def _attempt(self) -> None:
        address = self._next_address()
        if address is None:
            self._handle(claims.NoUpstream())
            return
        self._attempt_number += 1
        number = self._attempt_number

        def may_send() -> bool:
            current = number == self._attempt_number
            return current and self.call.about_to_send()

        request = attrs.evolve(self.template, address=address)
        deferred = self.gateway.client.call(
            request, self.service.timeout, may_send
        )
        deferred.addCallbacks(
            self._answered, self._failed, (address,), None, (address,)
        )
        deferred.addErrback(self.gateway.on_internal_error)

    def _answered(self, answer: upstreams.PlainAnswer, address: str) -> None:
        self.gateway.dispatcher.breakers.succeeded(address)
        self._live_answer = answer
        self._handle(
            claims.Answered(
                messages.StoredAnswer(
                    answer.status, answer.content_type, answer.body
                )
            )
        )

    def _failed(self, failure: failures.Failure, address: str) -> None:
        failure.trap(errors.FigfordError)
        breakers = self.gateway.dispatcher.breakers
        breakers.failed(address, self.gateway.clock.now())
        self._attempt_number += 1
        if self.call.sent:
            self._handle(claims.AttemptLost())
        else:
            self._handle(claims.NothingSent())


def _to_plain_answer(
    stored: messages.StoredAnswer, live: upstreams.PlainAnswer | None
) -> upstreams.PlainAnswer:
    """Returns the answer received by this call, else the stored one."""
    if live is not None:
        return live
    return upstreams.PlainAnswer(
        stored.status,
        [(b"content-type", stored.content_type.encode("latin-1"))],
        stored.body,
    )


def _header_map(answer: upstreams.PlainAnswer) -> dict[bytes, bytes]:
    headers = {name.lower(): value for name, value in answer.headers}
    headers[b"content-length"] = str(len(answer.body)).encode()
    return headers
