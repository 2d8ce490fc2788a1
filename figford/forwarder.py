"""The requests in progress at one entry: admits, queues and places them."""

import bisect
import datetime
import random
import typing

import attrs
import logbook

from figford import errors
from figford import exchanges
from figford import fleet as fleets
from figford import fleetmessages
from figford import forwarding
from figford import logs
from figford import metrics as metric_sets
from figford import placement as placements
from figford import routes
from figford import sharedbudget
from figford import wire

_log = logbook.Logger(__name__)

# A request waits for a place at most this part of its objective: later it
# would hold the place of one that can still be answered in time.
WAIT_SHARE = 0.8
LONGEST_WAIT = datetime.timedelta(seconds=1)
# Callers that are turned away come back spread over this time.
RETRY_AFTER = datetime.timedelta(milliseconds=400)
# A group that lost a member serves again after about this long.
REPAIR = datetime.timedelta(milliseconds=1500)
RETRY_AFTER_SPREAD = datetime.timedelta(milliseconds=800)


@attrs.frozen
class BudgetTerms:
    """The share and the reserve of repeats that a service allows."""

    ratio: float
    reserve: float
    window: datetime.timedelta


@attrs.define
class Forwarder:
    """Calls in progress, the queue of those that wait, and budgets."""

    clock: typing.Any
    pool: exchanges.Pool
    dialect: wire.Dialect
    placement: placements.Placement
    metrics: metric_sets.Metrics
    terms: BudgetTerms
    rng: random.Random
    table: routes.RouteTable = attrs.field(factory=routes.RouteTable)
    entries: int = 1
    calls: set[forwarding.ForwardedCall] = attrs.field(factory=set)
    _fleet: fleets.FleetTable = attrs.field(factory=fleets.FleetTable)
    _fleet_changed_at: datetime.timedelta = datetime.timedelta(0)
    _queue: list[tuple[int, int, forwarding.ForwardedCall]] = attrs.field(
        factory=list
    )
    _queued: int = 0
    _budget_by_service: dict[str, sharedbudget.SharedBudget] = attrs.field(
        factory=dict
    )

    # ---- What is known --------------------------------------------------

    def configured(self, table: routes.RouteTable) -> None:
        """Takes another route table into use."""
        self.table = table
        self._placed_anew()

    def fleet_changed(self, fleet: fleets.FleetTable) -> None:
        """Takes the present fleet into use."""
        self._fleet = fleet
        self._fleet_changed_at = self.clock.now()
        self._placed_anew()

    def status(self, status: fleetmessages.FleetStatus) -> None:
        """Takes what the leading controller says."""
        self.placement.silent = frozenset(status.silent)
        self.entries = status.entries

    def _placed_anew(self) -> None:
        engines = {
            service.name: service.engine
            for service in self.table.services
            if service.engine is not None
        }
        self.placement.update(self._fleet, engines)
        self._pump()

    # ---- Admission ------------------------------------------------------

    def admit(
        self, host: str, path: str, head: wire.CallHead
    ) -> tuple[routes.Route, routes.Account | None]:
        """Returns route and account; raises UnknownRoute or -Account."""
        route = self.table.match(host, path)
        if route is None:
            raise errors.UnknownRoute("no route has this host and path")
        if not self.table.has_accounts or route.public:
            account = self.table.account(head.key) if head.key else None
            return route, account
        account = self.table.account(head.key) if head.key else None
        if account is None:
            raise errors.UnknownAccount("the key names no client account")
        return route, account

    def begin(self, call: forwarding.ForwardedCall) -> None:
        """Places a new call, queues it, or refuses it at once."""
        now = self.clock.now()
        self.calls.add(call)
        call.service = self._choose_service(call)
        self._budget(call.service).record_request(now)
        if not self.placement.has_any(call.service, self._model(call)):
            call.refuse(self.no_capacity("no whole group or upstream", REPAIR))
            return
        if not self._place(call, now):
            self._enqueue(call)

    def _choose_service(self, call: forwarding.ForwardedCall) -> str:
        """Returns the service by the weights of the route.

        A service without any upstream is passed over while another one
        of the route can serve.
        """
        names = [share.service for share in call.route.shares if share.weight]
        able = {
            name
            for name in names
            if self.placement.has_any(name, self._model_at(call, name))
        }
        chosen = routes.choose_share(
            call.route, self.rng.random(), able or set(names)
        )
        return chosen or names[0]

    def _model_at(
        self, call: forwarding.ForwardedCall, name: str
    ) -> str | None:
        service = self.table.service_by_name.get(name)
        if service is None or service.engine is None:
            return None
        return call.head.model

    def _model(self, call: forwarding.ForwardedCall) -> str | None:
        return self._model_at(call, call.service)

    def _place(
        self, call: forwarding.ForwardedCall, now: datetime.timedelta
    ) -> bool:
        target = self.placement.choose(
            call.service, self._model(call), call.avoided, now
        )
        if target is None:
            return False
        call.start(target)
        return True

    # ---- Waiting --------------------------------------------------------

    def _enqueue(self, call: forwarding.ForwardedCall) -> None:
        self._queued += 1
        bisect.insort(
            self._queue,
            (call.priority, self._queued, call),
            key=lambda item: item[:2],
        )

    def _pump(self) -> None:
        """Places what waits, the most urgent first."""
        if not self._queue:
            return
        now = self.clock.now()
        queue, self._queue = self._queue, []
        waiting = []
        for item in queue:
            call = item[2]
            if call.state is not forwarding.State.WAITING:
                continue
            if not self._place(call, now):
                waiting.append(item)
        self._queue = waiting + self._queue

    def _refuse_late(self, now: datetime.timedelta) -> None:
        for _, _, call in list(self._queue):
            limit = min(call.route.objective * WAIT_SHARE, LONGEST_WAIT)
            if call.state is forwarding.State.WAITING and (
                now - call.arrived_at >= limit
            ):
                call.refuse(self.no_capacity("no place came free in time"))

    def tick(self) -> None:
        """Does what time makes due."""
        now = self.clock.now()
        self._pump()
        self._refuse_late(now)
        for call in list(self.calls):
            call.check(now)

    # ---- From calls -----------------------------------------------------

    def no_capacity(
        self, detail: str, after: datetime.timedelta = RETRY_AFTER
    ) -> errors.NoCapacity:
        """Returns a refusal of what was not run, with a spread return."""
        spread = RETRY_AFTER_SPREAD * self.rng.random()
        return errors.NoCapacity(detail, retry_after=after + spread)

    def could_go_on(self, call: forwarding.ForwardedCall) -> bool:
        """Returns whether another target would take a call now."""
        now = self.clock.now()
        return (
            self.placement.choose(
                call.service, self._model(call), call.avoided, now
            )
            is not None
        )

    def take_repeat(
        self, call: forwarding.ForwardedCall, now: datetime.timedelta
    ) -> bool:
        """Takes a repeat from the budget of the call's service."""
        return self._budget(call.service).take(now, self.entries)

    def place_again(
        self, call: forwarding.ForwardedCall, now: datetime.timedelta
    ) -> bool:
        """Places a call once more; returns whether it was."""
        return self._place(call, now)

    def misdirected(self, target: placements.Target) -> None:
        """Notes that an address belongs to another upstream now."""
        self.pool.drop(target.address)
        self.placement.eject(target, self.clock.now())

    def attempt_ended(self, call: forwarding.ForwardedCall, why: str) -> None:
        """Logs that a call goes on at another target."""
        self.metrics.event("attempt-ended")
        _log.info(
            "attempt ended",
            request=call.head.attempt,
            upstream=call.tried[-1] if call.tried else "",
            cause=why,
            entries=self.entries,
            table_version=self.table.version,
        )

    def call_ended(
        self,
        call: forwarding.ForwardedCall,
        outcome: str,
        status: int,
        kind: str,
    ) -> None:
        """Forgets a call, and logs and counts its end."""
        now = self.clock.now()
        self.calls.discard(call)
        model = self._model(call)
        account = call.account.name if call.account else ""
        self.metrics.outcome(account, call.route.name, kind or outcome)
        took = now - call.arrived_at
        if outcome == "answered":
            key = (account, call.route.name)
            self.metrics.whole.feed(*key).add(took.total_seconds())
            if call.first_at is not None:
                first = call.first_at - call.arrived_at
                self.metrics.first_token.feed(*key).add(first.total_seconds())
        _log.info(
            "request ended",
            request=call.head.attempt,
            route=call.route.name,
            account=account,
            outcome=outcome,
            status=status,
            kind=kind,
            cause=call.cause,
            upstreams=",".join(call.tried),
            repeats=call.repeats,
            ms=logs.milliseconds(took),
            first_ms=(
                logs.milliseconds(call.first_at - call.arrived_at)
                if call.first_at is not None
                else None
            ),
            targets=len(self.placement.targets(call.service, model)),
            queued=len(self._queue),
            table_version=self.table.version,
            fleet_revision=self._fleet.revision,
            fleet_age_ms=logs.milliseconds(now - self._fleet_changed_at),
        )
        self._pump()

    def _budget(self, service: str) -> sharedbudget.SharedBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            terms = self.terms
            budget = sharedbudget.SharedBudget(
                terms.ratio, terms.reserve, terms.window
            )
            self._budget_by_service[service] = budget
        return budget
