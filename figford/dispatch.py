"""Takes model requests from admission through the queue to a group.

A pure state machine per entry: `submit`, `retry`, `ended` and `tick`
return effects that start, refuse or interrupt requests.
"""

import datetime
import math

import attrs

from figford import admission
from figford import circuitbreakers
from figford import errors
from figford import groups
from figford import operators
from figford import routing
from figford import sharedbudget

# Initial value of the smoothed service time, before any request has ended.
INITIAL_SERVICE_TIME = datetime.timedelta(seconds=2)
SERVICE_TIME_SMOOTHING = 0.1
FIRST_TOKEN_DEVIATIONS = 2.0
MIN_RETRY_AFTER = datetime.timedelta(seconds=1)
ATTEMPTS_LIMIT = 4
# An answer that has begun waits at least this long for another group.
RESUMPTION_TIMEOUT = datetime.timedelta(seconds=10)
# Retries of model requests at this entry.
BUDGET = sharedbudget.BudgetSettings(
    ratio=0.2, reserve=10.0, window=datetime.timedelta(seconds=10)
)


@attrs.frozen
class ModelRequest:
    """A request for a model, as the entry received it.

    The caller has no use for a first token after `deadline`.
    """

    request: str
    account: operators.ClientAccount
    request_class: operators.RequestClass
    serving_group: operators.ServingGroup
    prefix: int
    deadline: datetime.timedelta


@attrs.frozen
class Start:
    """Effect: send the request to a group."""

    request: str
    view: groups.GroupView


@attrs.frozen
class Refuse:
    """Effect: refuse the request; it ends here."""

    request: str
    refusal: errors.Refusal


@attrs.frozen
class Interrupt:
    """Effect: stop an attempt, since its group is broken."""

    request: str
    is_resumption: bool = False


Effect = Start | Refuse | Interrupt


@attrs.define
class _ActiveRequest:
    request: ModelRequest
    view: groups.GroupView | None = None
    # The group that is asked for the rest while `view` is silent.
    resumption: groups.GroupView | None = None
    started_at: datetime.timedelta = datetime.timedelta(0)
    attempts: int = 0
    tried: set[tuple[str, int]] = attrs.field(factory=set)
    interrupted: bool = False
    sent: bool = False
    has_begun: bool = False


@attrs.define
class Dispatcher:
    """The model requests of one entry."""

    table: groups.GroupTable
    router: routing.Router
    limits: admission.Admission = attrs.field(factory=admission.Admission)
    # Limits and retries accrue from this time on.
    started_at: datetime.timedelta = datetime.timedelta(0)
    budget: sharedbudget.SharedBudget = attrs.field(
        factory=lambda: sharedbudget.SharedBudget(BUDGET)
    )
    breakers: circuitbreakers.Breakers = attrs.field(
        factory=circuitbreakers.Breakers
    )
    draining: dict[tuple[str, int], datetime.timedelta] = attrs.field(
        factory=dict
    )
    _active_by_request: dict[str, _ActiveRequest] = attrs.field(factory=dict)
    _queue_by_serving_group: dict[str, admission.FairQueue] = attrs.field(
        factory=dict
    )
    _service_seconds: float = INITIAL_SERVICE_TIME.total_seconds()
    _first_token_seconds: float = 0.0
    _first_token_deviation: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Starts with nothing of the limits and of the retry budget."""
        self.limits.started_at = self.started_at
        self.budget.set_entries(1, self.started_at)

    # ---- Events ---------------------------------------------------------

    def submit(
        self, request: ModelRequest, now: datetime.timedelta
    ) -> list[Effect]:
        """Admits a request: starts it, queues it or refuses it."""
        try:
            self.limits.admit(request.account, now)
        except errors.Refusal as refusal:
            return [Refuse(request.request, refusal)]
        self.budget.record_request(now)
        active = _ActiveRequest(request)
        self._active_by_request[request.request] = active
        queue = self._queue(request.serving_group.name)
        if len(queue) == 0:
            effects = self._start(active, now)
            if effects:
                return effects
        return self._enqueue(active, queue, now)

    def first_token(self, request: str, now: datetime.timedelta) -> None:
        """Updates the expected time to first token when one arrives."""
        active = self._active_by_request.get(request)
        if active is None:
            return
        active.has_begun = True
        if active.attempts > 1:
            return
        elapsed = (now - active.started_at).total_seconds()
        change = elapsed - self._first_token_seconds
        self._first_token_seconds += SERVICE_TIME_SMOOTHING * change
        self._first_token_deviation += SERVICE_TIME_SMOOTHING * (
            abs(change) - self._first_token_deviation
        )

    def ended(
        self,
        request: str,
        tokens: int,
        whole: bool,
        now: datetime.timedelta,
    ) -> list[Effect]:
        """Handles the end of a request; starts queued requests."""
        active = self._active_by_request.pop(request, None)
        if active is None:
            return []
        self.limits.finished(active.request.account, tokens, now)
        serving_group_name = active.request.serving_group.name
        if active.view is None:
            self._queue(serving_group_name).remove(request)
            return []
        if active.resumption is not None:
            self.router.finished(active.resumption)
        if whole:
            self.breakers.succeeded(active.view.address)
            self._update_service_time(now - active.started_at)
        self.router.finished(active.view)
        return self._start_queued(serving_group_name, now)

    def retry(
        self,
        request: str,
        sent: bool,
        failed: bool,
        now: datetime.timedelta,
    ) -> list[Effect]:
        """Moves a request whose attempt ended early to another group.

        `sent` tells whether any byte may have gone upstream, `failed`
        whether the attempt counts against the upstream's breaker.
        """
        active = self._active_by_request.get(request)
        if active is None or active.view is None:
            return []
        if failed:
            self.breakers.failed(active.view.address, now)
        active.sent = active.sent or sent
        self.router.finished(active.view)
        active.view = None
        serving_group_name = active.request.serving_group.name
        if active.attempts >= ATTEMPTS_LIMIT or not (
            self.budget.try_withdraw(now)
        ):
            return [
                self._refuse_without_retry(active, now),
                *self._start_queued(serving_group_name, now),
            ]
        started = self._start(active, now)
        if started:
            return started
        return self._enqueue(active, self._queue(serving_group_name), now)

    def resume(self, request: str, now: datetime.timedelta) -> list[Effect]:
        """Asks another group for the rest of an answer, if one can take it.

        The attempt in progress goes on.
        """
        active = self._active_by_request[request]
        if active.attempts >= ATTEMPTS_LIMIT or not self.budget.has_retry(now):
            return []
        view = self._choose(active, now)
        if view is None:
            return []
        self.budget.try_withdraw(now)
        active.sent = True
        active.resumption = view
        return self._begin_attempt(active, view, now)

    def resumption_took_over(
        self, request: str, failed: bool, now: datetime.timedelta
    ) -> list[Effect]:
        """Handles the end of an attempt that another one goes on for."""
        active = self._active_by_request[request]
        before, active.view = active.view, active.resumption
        active.resumption = None
        active.interrupted = False
        return self._attempt_over(active, before, failed, now)

    def resumption_ended(
        self, request: str, failed: bool, now: datetime.timedelta
    ) -> list[Effect]:
        """Handles the end of a resumption while its attempt goes on."""
        active = self._active_by_request[request]
        view, active.resumption = active.resumption, None
        return self._attempt_over(active, view, failed, now)

    def _attempt_over(
        self,
        active: _ActiveRequest,
        view: groups.GroupView | None,
        failed: bool,
        now: datetime.timedelta,
    ) -> list[Effect]:
        if view is None:
            raise AssertionError("an attempt ended that was not started")
        if failed:
            self.breakers.failed(view.address, now)
        self.router.finished(view)
        return self._start_queued(active.request.serving_group.name, now)

    def tick(
        self, now: datetime.timedelta, read_until: datetime.timedelta
    ) -> list[Effect]:
        """Refuses expired requests; interrupts those on broken groups.

        The silence of a member counts only until `read_until`: what arrived
        later may not have been read.
        """
        effects: list[Effect] = []
        for queue in self._queue_by_serving_group.values():
            # A request expires once its first token can't arrive in time.
            for queued in queue.remove_expired(now + self._first_token_time):
                effects.append(self._refuse_queued(queued, now))
        for name, active in self._active_by_request.items():
            resumption = active.resumption
            if resumption is not None and (
                not self.table.is_intact(resumption, read_until)
            ):
                effects.append(Interrupt(name, is_resumption=True))
            view = active.view
            if view is None or active.interrupted:
                continue
            if not self.table.is_intact(view, read_until):
                active.interrupted = True
                effects.append(Interrupt(name))
        for serving_group_name in list(self._queue_by_serving_group):
            effects.extend(self._start_queued(serving_group_name, now))
        self._remove_expired_drains(now)
        return effects

    # ---- Draining -------------------------------------------------------

    def drain(self, group: str, fence: int, until: datetime.timedelta) -> int:
        """Stops new requests to a group; returns how many it still has."""
        self.draining[group, fence] = until
        return self.router.in_progress(group, fence)

    def _remove_expired_drains(self, now: datetime.timedelta) -> None:
        expired_drains = [
            key for key, until in self.draining.items() if until < now
        ]
        for key in expired_drains:
            del self.draining[key]

    # ---- Reading --------------------------------------------------------

    def view_of(self, request: str) -> groups.GroupView | None:
        """Returns the group that a request was sent to, if any."""
        active = self._active_by_request.get(request)
        return active.view if active else None

    @property
    def in_progress(self) -> int:
        """Returns how many requests are admitted and not ended."""
        return len(self._active_by_request)

    @property
    def queued(self) -> int:
        """Returns how many requests wait for a group."""
        return sum(
            len(queue) for queue in self._queue_by_serving_group.values()
        )

    # ---- Parts ----------------------------------------------------------

    def _queue(self, serving_group_name: str) -> admission.FairQueue:
        queue = self._queue_by_serving_group.get(serving_group_name)
        if queue is None:
            queue = self._queue_by_serving_group[serving_group_name] = (
                admission.FairQueue()
            )
        return queue

    def _candidates(
        self,
        serving_group_name: str,
        tried: set[tuple[str, int]],
        now: datetime.timedelta,
    ) -> list[groups.GroupView]:
        return [
            view
            for view in self.table.by_group(now).values()
            if view.serving_group == serving_group_name
            and view.state is groups.GroupState.SERVING
            and (view.group, view.fence) not in tried
            and self.draining.get((view.group, view.fence), now) <= now
            and self.breakers.allows(view.address, now)
        ]

    def _start(
        self, active: _ActiveRequest, now: datetime.timedelta
    ) -> list[Effect]:
        """Starts a request if a group has capacity; else returns nothing."""
        view = self._choose(active, now)
        if view is None:
            return []
        active.view = view
        active.started_at = now
        active.interrupted = False
        return self._begin_attempt(active, view, now)

    def _choose(
        self, active: _ActiveRequest, now: datetime.timedelta
    ) -> groups.GroupView | None:
        """Returns a group with capacity that the request has not tried."""
        spec = active.request.serving_group
        candidates = [
            (view, self.table.load_of(view))
            for view in self._candidates(spec.name, active.tried, now)
        ]
        capacity = routing.Capacity(spec.concurrency, self.limits.entries)
        return self.router.choose(
            candidates, capacity, active.request.prefix, now
        )

    def _begin_attempt(
        self,
        active: _ActiveRequest,
        view: groups.GroupView,
        now: datetime.timedelta,
    ) -> list[Effect]:
        if not self.table.is_intact(view, now):
            raise AssertionError("a request was routed to an incomplete group")
        active.attempts += 1
        active.tried.add((view.group, view.fence))
        self.router.started(view, now)
        self.breakers.started(view.address, now)
        return [Start(active.request.request, view)]

    def _enqueue(
        self,
        active: _ActiveRequest,
        queue: admission.FairQueue,
        now: datetime.timedelta,
    ) -> list[Effect]:
        if active.has_begun:
            until = now + RESUMPTION_TIMEOUT + self._first_token_time
            deadline = max(active.request.deadline, until)
            queue.push_first(_queued_request(active, deadline))
            return []
        request = active.request
        serving_group_name = request.serving_group.name
        if not self._candidates(serving_group_name, set(), now):
            return [
                self._refuse(
                    active,
                    errors.NoCapacity(
                        f"no complete group serves {serving_group_name}",
                        retry_after=MIN_RETRY_AFTER * 2,
                    ),
                    now,
                )
            ]
        wait = self._expected_wait(queue, request, now)
        if now + wait + self._first_token_time > request.deadline:
            return [self._refuse_late(active, wait, now)]
        try:
            queue.push(_queued_request(active, request.deadline))
        except errors.Refusal as refusal:
            return [self._refuse(active, refusal, now)]
        return []

    @property
    def _first_token_time(self) -> datetime.timedelta:
        """Returns the time within which nearly all first tokens arrive."""
        seconds = self._first_token_seconds + (
            FIRST_TOKEN_DEVIATIONS * self._first_token_deviation
        )
        return datetime.timedelta(seconds=seconds)

    def _expected_wait(
        self,
        queue: admission.FairQueue,
        request: ModelRequest,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Returns how long a new request would probably wait."""
        serving_group_name = request.serving_group.name
        available_groups = len(
            self._candidates(serving_group_name, set(), now)
        )
        slots = available_groups * request.serving_group.concurrency
        slots = max(1, slots // self.limits.entries)
        seconds = (len(queue) + 1) * self._service_seconds / slots
        return datetime.timedelta(seconds=seconds)

    def _start_queued(
        self, serving_group_name: str, now: datetime.timedelta
    ) -> list[Effect]:
        """Starts queued requests while groups have capacity for them.

        Groups that a request has tried may have capacity for the next one.
        """
        effects: list[Effect] = []
        queue = self._queue(serving_group_name)
        waiting: list[admission.QueuedRequest] = []
        while queued := queue.pop():
            active = self._active_by_request[queued.request]
            started = self._start(active, now)
            effects.extend(started)
            if not started:
                waiting.append(queued)
                if not active.tried:
                    break
        for queued in reversed(waiting):
            queue.requeue(queued)
        return effects

    def _update_service_time(self, elapsed: datetime.timedelta) -> None:
        change = elapsed.total_seconds() - self._service_seconds
        self._service_seconds += SERVICE_TIME_SMOOTHING * change

    def _refuse(
        self,
        active: _ActiveRequest,
        refusal: errors.Refusal,
        now: datetime.timedelta,
    ) -> Refuse:
        name = active.request.request
        del self._active_by_request[name]
        self.limits.finished(active.request.account, 0, now)
        if active.sent:
            refusal = attrs.evolve(refusal, run_state=errors.RunState.UNKNOWN)
        return Refuse(name, refusal)

    def _refuse_late(
        self,
        active: _ActiveRequest,
        wait: datetime.timedelta,
        now: datetime.timedelta,
    ) -> Refuse:
        retry_after = datetime.timedelta(
            seconds=max(1, math.ceil(wait.total_seconds()))
        )
        return self._refuse(
            active,
            errors.DeadlineMissed(
                "the request can't start by its deadline",
                retry_after=retry_after,
            ),
            now,
        )

    def _refuse_queued(
        self, queued: admission.QueuedRequest, now: datetime.timedelta
    ) -> Refuse:
        active = self._active_by_request[queued.request]
        if active.has_begun:
            return self._refuse(
                active,
                errors.NoCapacity(
                    "no other group could go on with the answer",
                    retry_after=MIN_RETRY_AFTER,
                ),
                now,
            )
        queue = self._queue(active.request.serving_group.name)
        wait = self._expected_wait(queue, active.request, now)
        return self._refuse_late(active, wait, now)

    def _refuse_without_retry(
        self, active: _ActiveRequest, now: datetime.timedelta
    ) -> Refuse:
        refusal = errors.UpstreamFailed(
            "the upstream failed and no retry is left",
            retry_after=MIN_RETRY_AFTER,
        )
        return self._refuse(active, refusal, now)


def _queued_request(
    active: _ActiveRequest, deadline: datetime.timedelta
) -> admission.QueuedRequest:
    request = active.request
    return admission.QueuedRequest(
        request.request,
        request.account.name,
        request.request_class,
        request.account.weight,
        deadline,
    )


def stopped_refusal(was_sent: bool) -> errors.Refusal:
    """Returns the refusal of a request that this entry can't complete."""
    unknown, not_run = errors.RunState.UNKNOWN, errors.RunState.NOT_RUN
    return errors.Draining(
        "this entry stopped before the answer came",
        retry_after=MIN_RETRY_AFTER,
        run_state=unknown if was_sent else not_run,
    )
