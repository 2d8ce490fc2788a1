"""Connects the callers, dispatcher and upstreams of one entry.

The gateway owns the calls in progress and executes the dispatcher's effects.
"""

import datetime
import itertools
import random
import typing

import attrs

from figford import access as access_tables
from figford import answerbuffers
from figford import claims
from figford import dispatch
from figford import errors
from figford import messages
from figford import metrics as metric_sets
from figford import modelcalls
from figford import node as nodes
from figford import operators
from figford import servicecalls
from figford import settings
from figford import upstreams

CLAIM_DEADLINE = datetime.timedelta(seconds=4)
RECORD_DEADLINE = datetime.timedelta(seconds=4)
BACKGROUND_DEADLINE = datetime.timedelta(minutes=10)

Outcome = messages.Outcome | None
OnOutcome = typing.Callable[[Outcome], None]


@attrs.frozen
class LatencyBuffers:
    """Latency histograms of one client account and request class."""

    first_token: metric_sets.HistogramBuffer
    between_tokens: metric_sets.HistogramBuffer


class Proposer(typing.Protocol):
    """Commits commands; implemented by the daemon."""

    def propose(
        self,
        command: messages.Command,
        deadline: datetime.timedelta,
        on_outcome: OnOutcome,
    ) -> None:
        """Calls back with the outcome, or with None after the deadline."""


@attrs.define
class Gateway:
    """The calls in progress at one entry.

    `on_internal_error` is called with a failure inside a callback, which is
    a broken invariant or a bug, never an ordinary refusal.
    """

    node: nodes.Node
    dispatcher: dispatch.Dispatcher
    client: upstreams.UpstreamClient
    metrics: metric_sets.Metrics
    clock: typing.Any
    limits: settings.Limits
    proposer: Proposer
    rng: random.Random
    on_internal_error: typing.Callable[[typing.Any], None]
    access: access_tables.AccessTable = attrs.field(
        factory=lambda: access_tables.AccessTable(operators.Configuration())
    )
    # Of answers that are not streamed to their callers.
    buffers: answerbuffers.AnswerBuffers = attrs.field(
        factory=answerbuffers.AnswerBuffers
    )
    # What arrived until then has been read: all sockets are read between two
    # ticks, but a process that was late finds its timers due before its data.
    read_until: datetime.timedelta = datetime.timedelta(0)
    _ticked_at: datetime.timedelta = datetime.timedelta(0)
    _model_call_by_request: dict[str, modelcalls.ModelCall] = attrs.field(
        factory=dict
    )
    _service_calls: set[servicecalls.ServiceCall] = attrs.field(factory=set)
    _service_load: dict[str, int] = attrs.field(factory=dict)
    _latency_buffers_by_key: dict[tuple[str, str], LatencyBuffers] = (
        attrs.field(factory=dict)
    )
    _request_numbers: typing.Iterator[int] = attrs.field(
        factory=lambda: itertools.count(1)
    )

    def __attrs_post_init__(self) -> None:
        """Starts with nothing unread."""
        self.read_until = self._ticked_at = self.clock.now()

    # ---- Reading --------------------------------------------------------

    @property
    def in_progress(self) -> int:
        """Returns how many calls are in progress or waiting."""
        return len(self._model_call_by_request) + len(self._service_calls)

    def check_ready(self) -> None:
        """Raises Draining unless callers may be served now."""
        if not self.node.is_ready(self.clock.now()):
            raise errors.Draining(
                "this entry is stopping or holds no current configuration",
                retry_after=datetime.timedelta(seconds=1),
            )

    def new_request_id(self) -> str:
        """Returns an identifier for a request, unique in the deployment."""
        me = self.node.me
        number = next(self._request_numbers)
        return f"{me.instance}-{me.incarnation:x}-{number:x}"

    def latency_buffers(
        self, request: dispatch.ModelRequest
    ) -> LatencyBuffers:
        """Returns the latency histograms that a request is counted in."""
        key = (request.account.name, request.request_class.value)
        latency_buffers = self._latency_buffers_by_key.get(key)
        if latency_buffers is None:
            latency_buffers = self._latency_buffers_by_key[key] = (
                LatencyBuffers(
                    self.metrics.first_token.buffer(*key),
                    self.metrics.between_tokens.buffer(*key),
                )
            )
        return latency_buffers

    # ---- Model calls ----------------------------------------------------

    def begin_model_call(self, call: modelcalls.ModelCall) -> None:
        """Admits a request and starts, queues or refuses it."""
        now = self.clock.now()
        self._model_call_by_request[call.request.request] = call
        self._execute(self.dispatcher.submit(call.request, now))

    def retry(self, request: str, sent: bool, failed: bool) -> None:
        """Moves a request to another group after an attempt ended early."""
        now = self.clock.now()
        self.metrics.event("attempt-broken")
        self._execute(self.dispatcher.retry(request, sent, failed, now))

    def resume(self, request: str) -> None:
        """Asks another group for the rest of a silent answer."""
        self._execute(self.dispatcher.resume(request, self.clock.now()))

    def resumption_took_over(self, request: str, failed: bool) -> None:
        """Records that the resumption goes on for the attempt before it."""
        self.metrics.event("resumption-took-over")
        now = self.clock.now()
        self._execute(
            self.dispatcher.resumption_took_over(request, failed, now)
        )

    def resumption_ended(self, request: str, failed: bool) -> None:
        """Records that a resumption ended, and the attempt before it not."""
        now = self.clock.now()
        self._execute(self.dispatcher.resumption_ended(request, failed, now))

    def model_call_ended(
        self, call: modelcalls.ModelCall, outcome: str, tokens: int
    ) -> None:
        """Releases the resources of a request and starts queued requests."""
        now = self.clock.now()
        request = call.request
        self._model_call_by_request.pop(request.request, None)
        whole = outcome == "answered"
        self._count_outcome(request.account, request.request_class, outcome)
        if whole:
            key = (request.account.name, request.request_class.value)
            seconds = (now - call.started_at).total_seconds()
            self.metrics.request_duration.buffer(*key).add(seconds)
        if tokens:
            self.metrics.tokens.add(
                {"client_account": request.account.name}, tokens
            )
        self._execute(
            self.dispatcher.ended(request.request, tokens, whole, now)
        )

    def tick(self) -> None:
        """Applies deadlines and timeouts to calls in progress."""
        now = self.clock.now()
        self.read_until, self._ticked_at = self._ticked_at, now
        self.dispatcher.limits.entries = self.node.live_entries(now)
        self._execute(self.dispatcher.tick(now, self.read_until))
        for call in list(self._model_call_by_request.values()):
            call.check_timeouts(now, self.read_until)

    def end_calls(self) -> int:
        """Ends all calls, as this process ends; returns their number.

        Queued ones end first, so that they don't take the places of others.
        """
        count = self.in_progress
        model_calls = sorted(
            self._model_call_by_request.values(),
            key=lambda call: not call.is_queued,
        )
        for call in [*model_calls, *self._service_calls]:
            call.end_unanswered()
        return count

    def _execute(self, effects: list[dispatch.Effect]) -> None:
        for effect in effects:
            call = self._model_call_by_request.get(effect.request)
            if call is None:
                continue
            match effect:
                case dispatch.Start(_, view):
                    call.start(view)
                case dispatch.Refuse(_, refusal):
                    call.refuse(refusal)
                case dispatch.Interrupt(_, is_resumption):
                    call.interrupt(is_resumption)

    @staticmethod
    def abort_caller(responder: typing.Any) -> None:
        """Aborts the connection of a caller that does not read."""
        responder.abort()

    def cache_event(self, event: messages.CacheEvent) -> None:
        """Updates the prefix hints from an upstream's prompt cache event.

        Events arrive late and some are lost, so nothing but the preference
        among groups that may serve a request depends on them.
        """
        known = self.node.upstreams.by_name.get(event.upstream)
        if known is None or known.announcement.seat is None:
            return
        group = known.announcement.seat.group
        hints = self.dispatcher.router.hints
        if event.stored:
            hints.record(event.prefix, group, self.clock.now())
        else:
            hints.forget(event.prefix, group)

    # ---- Plain services -------------------------------------------------

    def begin_service_call(self, call: servicecalls.ServiceCall) -> None:
        """Admits and starts a call of a plain service."""
        self.dispatcher.limits.admit(call.grant.account, self.clock.now())
        self._service_calls.add(call)
        call.begin()

    def service_call_ended(
        self, call: servicecalls.ServiceCall, outcome: str
    ) -> None:
        """Releases the resources of a call."""
        now = self.clock.now()
        self._service_calls.discard(call)
        account = call.grant.account
        self.dispatcher.limits.finished(account, 0, now)
        self._count_outcome(account, call.request_class, outcome)
        if outcome == "answered":
            key = (account.name, call.request_class.value)
            seconds = (now - call.started_at).total_seconds()
            self.metrics.request_duration.buffer(*key).add(seconds)

    def choose_service(self, service: str, tried: set[str]) -> str | None:
        """Returns the address of an upstream of a service, if any.

        Picks the one with the lower reported load of two random upstreams.
        """
        now = self.clock.now()
        candidates = [
            announcement
            for announcement in self.node.upstreams.fresh(now)
            if announcement.kind is messages.UpstreamKind.SERVICE
            and announcement.service == service
            and not announcement.leaving
            and announcement.address not in tried
            and self.dispatcher.breakers.allows(announcement.address, now)
        ]
        if not candidates:
            return None
        sampled = self.rng.sample(candidates, min(2, len(candidates)))
        chosen = min(
            sampled, key=lambda item: (item.load.running, item.upstream)
        )
        self.dispatcher.breakers.started(chosen.address, now)
        return chosen.address

    # ---- Commands -------------------------------------------------------

    def propose(
        self, command: messages.Command, on_outcome: OnOutcome
    ) -> None:
        """Commits a claim; the outcome is None if there is no quorum."""
        deadline = self.clock.now() + CLAIM_DEADLINE
        self.proposer.propose(command, deadline, on_outcome)

    def propose_answer(
        self, command: messages.RecordOutcome, on_outcome: OnOutcome
    ) -> None:
        """Commits an answer; after the deadline, in the background."""

        def decided(outcome: Outcome) -> None:
            if outcome is None:
                self.propose_in_background(command)
            on_outcome(outcome)

        deadline = self.clock.now() + RECORD_DEADLINE
        self.proposer.propose(command, deadline, decided)

    def propose_in_background(self, command: messages.Command) -> None:
        """Commits a command whose outcome is ignored."""
        deadline = self.clock.now() + BACKGROUND_DEADLINE
        self.proposer.propose(command, deadline, lambda _: None)

    def owner_is_live(self, owner: str) -> bool:
        """Returns whether the entry that holds a claim still runs."""
        return self.node.owner_is_live(owner, self.clock.now())

    def new_claim(
        self, account: str, key: str | None, digest: str
    ) -> claims.Call:
        """Returns the state machine of a call that may not be repeated."""
        return claims.Call(
            account, key, digest, self.node.owner, self.new_request_id()
        )

    # ---- Parts ----------------------------------------------------------

    def _count_outcome(
        self,
        account: operators.ClientAccount,
        request_class: operators.RequestClass,
        outcome: str,
    ) -> None:
        self.metrics.outcome(account.name, request_class.value, outcome)

    def apply_configuration(
        self, configuration: operators.Configuration
    ) -> None:
        """Switches to another configuration."""
        self.access = access_tables.AccessTable(configuration)
