"""Admits, queues and places the requests in progress at one entry."""

import bisect
import collections
import datetime
import functools
import random
import typing

import attrs
import logbook

from figford import answerbuffers
from figford import attempts
from figford import crashes
from figford import crashguard
from figford import endings
from figford import errors
from figford import exchanges
from figford import fleet as fleets
from figford import fleetmessages
from figford import forwarding
from figford import limits
from figford import logs
from figford import metrics as metric_sets
from figford import permitdemand
from figford import permits as permit_tables
from figford import placement as placements
from figford import routes
from figford import sharedbudget
from figford import wire

_log = logbook.Logger(__name__)

# A request is queued for at most this fraction of its latency objective:
# later it would take the slot of one that can still be answered in time.
MAX_QUEUE_FRACTION = 0.8
MAX_QUEUE_TIME = datetime.timedelta(seconds=1)
# Refused callers are told to retry after this time, plus a random part of
# RETRY_AFTER_SPREAD, so that they do not return all at once.
RETRY_AFTER = datetime.timedelta(milliseconds=400)
# A group that lost a member serves again after about this long, so callers
# without any upstream are told to retry then.
REPAIR_RETRY_AFTER = datetime.timedelta(milliseconds=1500)
RETRY_AFTER_SPREAD = datetime.timedelta(milliseconds=800)
# A model that is not configured, or needs more instances than there are,
# can't be served before an operator changes that.
UNSERVABLE_RETRY_AFTER = datetime.timedelta(seconds=30)
# A request that crashes upstreams is refused for minutes at least.
CONVICTED_RETRY_AFTER = datetime.timedelta(minutes=5)
# Requests that are named in the log line of a crash.
MAX_LOGGED_SUSPECTS = 16
# The longest time between ticks is logged with answers that are cut.
TICK_MEMORY = datetime.timedelta(seconds=3)
# The part of the connections that an upstream accepts which may be idle.
IDLE_FRACTION = 0.5


@attrs.define
class Forwarder:
    """The calls in progress, the queue and the retry budgets of an entry."""

    clock: typing.Any
    pool: exchanges.Pool
    dialect: wire.Dialect
    placement: placements.Placement
    metrics: metric_sets.Metrics
    budget_settings: sharedbudget.BudgetSettings
    rng: random.Random
    table: routes.RouteTable = attrs.field(factory=routes.RouteTable)
    # The entries that share limits and budgets; None until it was told.
    entries: int | None = None
    on_limit: typing.Callable[[fleetmessages.UpstreamLimit], None] | None = (
        None
    )
    guard: crashguard.CrashGuard = attrs.field(factory=crashguard.CrashGuard)
    on_crash: typing.Callable[[fleetmessages.CrashReport], None] | None = None
    # What arrived until then has been read: all sockets are read between two
    # ticks, but a process that was late finds its timers due before its data.
    read_until: datetime.timedelta = datetime.timedelta(0)
    # Of answers that are not streams, in progress.
    buffers: answerbuffers.AnswerBuffers = attrs.field(
        factory=answerbuffers.AnswerBuffers
    )
    # In progress, the oldest first.
    calls: dict[forwarding.ForwardedCall, None] = attrs.field(factory=dict)
    _fleet: fleets.FleetTable = attrs.field(factory=fleets.FleetTable)
    _fleet_changed_at: datetime.timedelta = datetime.timedelta(0)
    _queue: list[tuple[int, int, forwarding.ForwardedCall]] = attrs.field(
        factory=list
    )
    _queued: int = 0
    _ticked_at: datetime.timedelta | None = None
    # Between two ticks within TICK_MEMORY, and when that was.
    _longest_tick: datetime.timedelta = datetime.timedelta(0)
    _longest_tick_at: datetime.timedelta = datetime.timedelta(0)
    _budgets: sharedbudget.SharedBudgets = attrs.field(init=False)
    _demand: permitdemand.PermitDemand = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Starts without demand for permits and without retries."""
        self.read_until = self.clock.now()
        self._demand = permitdemand.PermitDemand(self.placement)
        self._budgets = sharedbudget.SharedBudgets(self.budget_settings)
        self._update_budgets(self.clock.now())

    # ---- Route table and fleet ------------------------------------------

    def apply_route_table(self, table: routes.RouteTable) -> None:
        """Applies a new route table."""
        self.table = table
        self._update_placement()
        for _, _, call in list(self._queue):
            if call.state is forwarding.State.WAITING:
                self._refuse_without_target(call)

    def fleet_changed(self, fleet: fleets.FleetTable) -> None:
        """Applies a change of the fleet."""
        self._fleet = fleet
        self._fleet_changed_at = self.clock.now()
        self.permits.table.discard_ended(fleet)
        self._update_placement()

    def apply_fleet_status(self, status: fleetmessages.FleetStatus) -> None:
        """Applies a status message of the leading controller."""
        self.placement.silent = frozenset(status.silent)
        self.entries = status.entries
        self._update_budgets(self.clock.now())

    def _update_budgets(self, now: datetime.timedelta) -> None:
        """Sets how many entries share the budgets; None after long isolation.

        Others may use the part of an entry that was not heard for so long.
        """
        isolated = self.permits.keeper is not None and not (
            self.permits.hears_keeper(now, limits.ISOLATED_SERVICE)
        )
        entries = None if isolated else self.entries
        if entries != self._budgets.entries:
            self._budgets.set_entries(entries, now)

    def _update_placement(self) -> None:
        engines = {
            service.name: service.engine
            for service in self.table.services
            if service.engine is not None
        }
        self.placement.update(self._fleet, engines)
        self._place_queued()

    # ---- Admission ------------------------------------------------------

    def admit(
        self, host: str, path: str, head: wire.CallHead
    ) -> tuple[routes.Route, routes.Account | None]:
        """Returns route and account.

        Raises UnknownRoute or UnknownAccount.
        """
        route = self.table.match(host, path)
        if route is None:
            raise errors.UnknownRoute("no route matches this host and path")
        if not self.table.has_accounts or route.public:
            account = self.table.account(head.key) if head.key else None
            return route, account
        account = self.table.account(head.key) if head.key else None
        if account is None:
            raise errors.UnknownAccount("the key belongs to no client account")
        return route, account

    def begin(self, call: forwarding.ForwardedCall) -> None:
        """Places a new call, queues it, or refuses it at once."""
        now = self.clock.now()
        self.calls[call] = None
        call.service = self._choose_service(call)
        self._budgets.of(call.service).record_request(now)
        if self._refuse_convicted(call, now):
            return
        if self._refuse_without_target(call):
            return
        self._demand.record_arrival(self._key(call), now)
        if self._refuse_paused(call, now):
            return
        if not self._place_first(call, now):
            self._enqueue(call)
            self._refuse_beyond_limits(now)

    def _refuse_without_target(self, call: forwarding.ForwardedCall) -> bool:
        """Refuses a call that has no target; returns whether it did."""
        if self.placement.has_any(call.service, self._model(call)):
            return False
        detail = self._unservable_detail(call)
        if detail is not None:
            refusal = self.no_capacity(detail, UNSERVABLE_RETRY_AFTER)
        else:
            refusal = self.no_capacity(
                "no complete group or upstream is available",
                REPAIR_RETRY_AFTER,
            )
        call.end_early(endings.Cause.REFUSED, refusal)
        return True

    def _unservable_detail(self, call: forwarding.ForwardedCall) -> str | None:
        """Returns why no group can serve a call; None if one may soon."""
        service = self.table.service_by_name.get(call.service)
        if service is None or service.engine is None:
            return None
        model = service.engine.model(call.head.model or "")
        if model is None:
            return "the model is not configured"
        if 0 < self.placement.instances(call.service) < model.size:
            return "the model needs more instances than there are"
        return None

    def _refuse_paused(
        self, call: forwarding.ForwardedCall, now: datetime.timedelta
    ) -> bool:
        """Refuses a call if all targets are paused for too long."""
        end = self.placement.pause_end(call.service, self._model(call), now)
        if end is None or end < call.arrived_at + _max_queue_time(call):
            return False
        detail = "all upstreams asked for a pause"
        call.end_early(
            endings.Cause.REFUSED, self.no_capacity(detail, end - now)
        )
        return True

    def _choose_service(self, call: forwarding.ForwardedCall) -> str:
        """Chooses a service by the weights of the route.

        A service without any upstream is skipped while another service of
        the route has one.
        """
        names = [share.service for share in call.route.shares if share.weight]
        available_services = {
            name
            for name in names
            if self.placement.has_any(name, self._model_at(call, name))
        }
        chosen = routes.choose_share(
            call.route, self.rng.random(), available_services or set(names)
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

    def _key(self, call: forwarding.ForwardedCall) -> limits.Key:
        return call.service, self._model(call)

    def _place_first(
        self, call: forwarding.ForwardedCall, now: datetime.timedelta
    ) -> bool:
        """Places a call that was not sent yet, unless it is on trial."""
        if self.guard.is_on_trial(call.suspect, now):
            return False
        return self._place(call, now)

    def _place(
        self, call: forwarding.ForwardedCall, now: datetime.timedelta
    ) -> bool:
        """Sends a call to a target, or refuses it; returns whether either."""
        if self._refuse_convicted(call, now):
            return True
        target = self.placement.choose(
            call.service, self._model(call), call.excluded_upstreams, now
        )
        if target is None:
            return False
        if self.placement.limited(target):
            self.permits.withdraw(target.upstream, target.incarnation, now)
            self._demand.record_spent(self._key(call), now)
        self._isolated(call, call.start, target)
        return True

    # ---- Queue ----------------------------------------------------------

    def _enqueue(self, call: forwarding.ForwardedCall) -> None:
        self._queued += 1
        bisect.insort(
            self._queue,
            (call.priority, self._queued, call),
            key=lambda item: item[:2],
        )

    def _place_queued(self) -> None:
        """Places queued calls, the most urgent first."""
        if not self._queue:
            return
        now = self.clock.now()
        queue, self._queue = self._queue, []
        waiting = []
        for item in queue:
            call = item[2]
            if call.state is not forwarding.State.WAITING:
                continue
            if not self._place_first(call, now):
                waiting.append(item)
        self._queue = waiting + self._queue

    def _refuse_late(self, now: datetime.timedelta) -> None:
        for _, _, call in list(self._queue):
            if call.state is forwarding.State.WAITING and (
                now - call.arrived_at >= _max_queue_time(call)
            ):
                call.end_early(
                    endings.Cause.REFUSED,
                    self.no_capacity("no slot became free in time"),
                )

    def tick(self) -> None:
        """Places queued calls, refuses late ones and checks all calls."""
        now = self.clock.now()
        self.read_until = now if self._ticked_at is None else self._ticked_at
        self._record_tick(now - self.read_until, now)
        self._ticked_at = now
        self._update_budgets(now)
        self.permits.issue_slots(now)
        self._place_queued()
        self._refuse_late(now)
        self._refuse_beyond_limits(now)
        for call in list(self.calls):
            self._isolated(call, call.check, now, self.read_until)
        self._report_crashes(now)

    def _record_tick(
        self, interval: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Remembers the longest time between ticks for a while."""
        is_old = now - self._longest_tick_at > TICK_MEMORY
        if is_old or interval >= self._longest_tick:
            self._longest_tick, self._longest_tick_at = interval, now

    def end_calls(self) -> int:
        """Ends all calls, as this process ends; returns their number.

        Queued ones end first, so that they don't take the places of others.
        """
        calls = sorted(
            self.calls,
            key=lambda call: call.state is not forwarding.State.WAITING,
        )
        for call in calls:
            call.end_unanswered(
                endings.Cause.PROCESS_ENDS,
                "this entry stopped before the answer came",
            )
        return len(calls)

    def _isolated(
        self,
        call: forwarding.ForwardedCall,
        action: typing.Callable[..., None],
        *args: object,
    ) -> None:
        """Runs a step of one call; an unexpected error ends only that call.

        Otherwise a request could end each entry to which it is repeated. A
        broken invariant still ends the process.
        """
        try:
            action(*args)
        except AssertionError:
            raise
        except Exception:
            self.metrics.event("call-failed")
            _log.exception("call failed", request=call.head.attempt)
            call.end_early(
                endings.Cause.UNEXPECTED_ERROR,
                errors.UpstreamFailed(
                    "the request could not be forwarded",
                    run_state=errors.RunState.UNKNOWN,
                ),
            )

    # ---- Requests that crash upstreams ----------------------------------

    def _hears_leader(self) -> bool:
        return self.permits.hears_keeper(
            self.read_until, crashguard.LEADER_TIMEOUT
        )

    def _report_crashes(self, now: datetime.timedelta) -> None:
        """Reports the upstreams that crashed; judges if no leader does."""
        hears_leader = self._hears_leader()
        for item in self.guard.take_settled(self.pool.is_connected, now):
            match item:
                case crashes.Reset(upstream, incarnation):
                    self._rule_reset(upstream, incarnation)
                case crashes.Crash(_, _, address):
                    self.pool.probe(
                        address,
                        functools.partial(self._crash_probed, item, now),
                    )
        self.guard.table.settle_unconfirmed(
            lambda upstream, incarnation, _: (
                self._fleet.has_ended(upstream, incarnation) or None
            )
        )
        own = self.guard.judge_alone(hears_leader, now)
        for trait in own:
            self.metrics.event("convicted-alone")
            _log.info("request trait convicted alone", trait=trait)
        if own:
            self.verdicts_changed()

    def _crash_probed(
        self,
        crash: crashes.Crash,
        taken_at: datetime.timedelta,
        probed: exchanges.ProbeResult,
    ) -> None:
        """Reports a crash unless its upstream accepts connections."""
        now = self.clock.now()
        report = attrs.evolve(
            crash.report,
            age=crash.report.age + now - taken_at,
            confirmed=probed is exchanges.ProbeResult.UNREACHABLE,
        )
        if probed is exchanges.ProbeResult.OPEN:
            self._rule_reset(report.upstream, report.incarnation)
            return
        self.guard.record_crash(report, now)
        self._log_crash(attrs.evolve(crash, report=report))
        if self._hears_leader() and self.on_crash is not None:
            self.on_crash(report)
        else:
            self._rule_alone(report)

    def _rule_reset(self, upstream: str, incarnation: int) -> None:
        """Blames no request for connections that broke."""
        self.crash_ruled(fleetmessages.CrashRuling(upstream, incarnation, []))

    def _rule_alone(self, report: fleetmessages.CrashReport) -> None:
        blamed = self.guard.table.blamed_requests(
            report.upstream, report.incarnation
        )
        self.crash_ruled(
            fleetmessages.CrashRuling(
                report.upstream, report.incarnation, blamed
            )
        )

    def _log_crash(self, crash: crashes.Crash) -> None:
        report = crash.report
        self.metrics.event("upstream-crashed")
        _log.info(
            "upstream crashed",
            confirmed=report.confirmed,
            upstream=report.upstream,
            incarnation=report.incarnation,
            beginning=len(report.suspects),
            answering=crash.answering,
            suspects=",".join(
                "/".join([item.request, *item.parts])
                for item in report.suspects[:MAX_LOGGED_SUSPECTS]
            ),
        )

    def crash_ruled(self, ruling: fleetmessages.CrashRuling) -> None:
        """Repeats the requests that a crash is not blamed on."""
        blamed = set(ruling.blamed)
        for call in list(self.calls):
            call.crash_ruled(
                ruling.upstream,
                ruling.incarnation,
                call.suspect().request in blamed,
            )

    def verdicts_changed(self) -> None:
        """Refuses the calls that may crash their upstream or the next one."""
        now = self.clock.now()
        for call in list(self.calls):
            waiting = call.state is forwarding.State.WAITING
            if waiting or call.is_beginning:
                self._refuse_convicted(call, now)

    def _is_probe(
        self,
        call: forwarding.ForwardedCall,
        trait: str,
        now: datetime.timedelta,
    ) -> bool:
        """Returns whether a call may be sent, once, to test a verdict."""
        if call.probed_trait is None and not call.tried:
            if self.guard.take_probe(trait, now):
                call.probed_trait = trait
                self.metrics.event("probe-sent")
                _log.info("probe sent", request=call.head.attempt, trait=trait)
        is_first = call.state is forwarding.State.SENT or not call.tried
        return call.probed_trait == trait and is_first

    def _refuse_convicted(
        self, call: forwarding.ForwardedCall, now: datetime.timedelta
    ) -> bool:
        """Refuses a call with a convicted trait; returns whether it did."""
        trait = self.guard.convicted_trait(call.suspect)
        if trait is None:
            return False
        self.guard.record_refused(trait)
        if self._is_probe(call, trait, now):
            return False
        self.metrics.event("convicted-refused")
        call.cause = trait
        call.end_early(
            endings.Cause.CONVICTED,
            errors.CrashesUpstreams(
                "requests like this one have crashed upstreams",
                retry_after=CONVICTED_RETRY_AFTER,
            ),
        )
        return True

    def is_convicted(self, call: forwarding.ForwardedCall) -> bool:
        """Returns whether a call has a convicted trait."""
        return self.guard.convicted_trait(call.suspect) is not None

    # ---- Limits ---------------------------------------------------------

    @property
    def permits(self) -> permit_tables.Permits:
        """Returns the permits that this entry holds."""
        return self.placement.permits

    def permits_changed(self) -> None:
        """Places queued calls after limits or permits changed."""
        self._place_queued()
        self._refuse_beyond_limits(self.clock.now())

    def permit_request(self) -> fleetmessages.PermitRequest | None:
        """Returns the request for permits that is due."""
        now = self.clock.now()
        if not self.permits.may_request(now):
            return None
        queued = [self._key(call) for _, _, call in self._queue]
        wants = self._demand.wants(queued, now)
        return self.permits.request(wants, now)

    def _refuse_beyond_limits(self, now: datetime.timedelta) -> None:
        """Refuses queued calls that no permit can be expected for in time.

        The most urgent call of each service and model is kept; while it
        waits, permits are requested.
        """
        if not self._queue or not self.permits.table.by_upstream:
            return
        rate_by_key = self._demand.expected_rates(self.entries, now)
        ahead: collections.Counter[limits.Key] = collections.Counter()
        for _, _, call in list(self._queue):
            key = self._key(call)
            rate = rate_by_key.get(key)
            if rate is None or call.state is not forwarding.State.WAITING:
                continue
            remaining = call.arrived_at + _max_queue_time(call) - now
            if ahead[key] and ahead[key] > rate * remaining.total_seconds():
                call.end_early(
                    endings.Cause.REFUSED,
                    self.no_capacity("upstreams are at the limits they named"),
                )
            else:
                ahead[key] += 1

    # ---- Called by the forwarded calls ----------------------------------

    def no_capacity(
        self, detail: str, after: datetime.timedelta = RETRY_AFTER
    ) -> errors.NoCapacity:
        """Returns a refusal of a call that did not run, with retry jitter."""
        spread = RETRY_AFTER_SPREAD * self.rng.random()
        return errors.NoCapacity(detail, retry_after=after + spread)

    def has_retry(
        self, call: forwarding.ForwardedCall, now: datetime.timedelta
    ) -> bool:
        """Returns whether the budget of the service has a retry left."""
        return self._budgets.of(call.service).has_retry(now)

    def take_retry(
        self, call: forwarding.ForwardedCall, now: datetime.timedelta
    ) -> bool:
        """Withdraws a retry that could be placed; False if none is left."""
        if not self.has_alternative_target(call):
            self.metrics.event("retry-without-target")
            return False
        return self.withdraw_retry(call, now)

    def withdraw_retry(
        self, call: forwarding.ForwardedCall, now: datetime.timedelta
    ) -> bool:
        """Withdraws a retry that can be placed; False if none is left."""
        left = self._budgets.of(call.service).try_withdraw(now)
        self.metrics.event("retry-placed" if left else "retry-beyond-budget")
        return left

    def has_alternative_target(self, call: forwarding.ForwardedCall) -> bool:
        """Returns whether another target could be chosen for a call now."""
        now = self.clock.now()
        return (
            self.placement.choose(
                call.service, self._model(call), call.excluded_upstreams, now
            )
            is not None
        )

    def place_again(
        self, call: forwarding.ForwardedCall, now: datetime.timedelta
    ) -> bool:
        """Places a call again; returns whether a target was found."""
        return self._place(call, now)

    def attempt_started(
        self, call: forwarding.ForwardedCall, target: placements.Target
    ) -> None:
        """Counts the requests that are sent to upstreams with a limit."""
        if self.placement.limited(target):
            kind = "repeat" if len(call.tried) > 1 else "first"
            self.metrics.event(f"sent-to-limited-{kind}")

    def max_idle_connections(self, service: str) -> int:
        """Returns how many idle connections to keep to an upstream.

        An upstream accepts a number of connections from all entries together;
        half of them are left for requests in progress.
        """
        known = self.table.service_by_name.get(service)
        if known is None or self.entries is None:
            return 1
        part = int(known.connections * IDLE_FRACTION) // self.entries
        return max(1, min(part, exchanges.MAX_IDLE_PER_UPSTREAM))

    def limit_noticed(
        self, target: placements.Target, notice: wire.LimitNotice | None
    ) -> None:
        """Records what an answer says of its upstream's limit."""
        if notice is None:
            self.metrics.event("limit-unreadable")
            return
        before = self.permits.table.rate(target.upstream, target.incarnation)
        limit = fleetmessages.UpstreamLimit(
            target.upstream, target.incarnation, notice.rate
        )
        if not self.permits.apply(limit):
            return
        self._log_limit(target, before, notice.rate)
        if self.on_limit is not None:
            self.on_limit(limit)
        if notice.rate is None:
            self._place_queued()

    def notices_received(
        self, target: placements.Target, head: wire.AnswerHead
    ) -> None:
        """Follows an answer that says its upstream leaves or wants a pause."""
        if head.leaving and self.placement.leaving_noticed(target):
            self.metrics.event("upstream-said-leaving")
            _log.info("upstream said it leaves", upstream=target.upstream)
        if head.pause_unreadable:
            self.metrics.event("pause-unreadable")
            _log.warning("pause unreadable", upstream=target.upstream)
        if head.pause is None:
            return
        until = self.clock.now() + head.pause
        if self.placement.pause_noticed(target, until):
            self.metrics.event("upstream-paused")
            _log.info(
                "upstream paused",
                upstream=target.upstream,
                seconds=head.pause.total_seconds(),
            )

    def _log_limit(
        self,
        target: placements.Target,
        before: float | None,
        rate: float | None,
    ) -> None:
        event = "limit ended" if rate is None else "limit named"
        self.metrics.event(event.replace(" ", "-"))
        _log.info(event, upstream=target.upstream, rate=rate, before=before)

    def attempt_broken(
        self,
        call: forwarding.ForwardedCall,
        attempt: attempts.Attempt,
    ) -> None:
        """Records an attempt whose connection broke."""
        target = attempt.target
        self.guard.collector.record(
            target.upstream,
            target.incarnation,
            target.address,
            None if attempt.has_begun else call.suspect(),
            attempt.started_at,
            self.clock.now(),
        )

    def misdirected(self, target: placements.Target) -> None:
        """Stops using an address that now belongs to another upstream."""
        self.pool.drop(target.address)
        self.placement.eject(target, self.clock.now())

    def attempt_ended(
        self,
        call: forwarding.ForwardedCall,
        upstream: str,
        reason: str,
        counted: bool,
    ) -> None:
        """Logs that an attempt ended; the call goes on at another upstream.

        `counted` states whether a retry was taken from the budget for that.
        """
        self.metrics.event("attempt-ended")
        _log.info(
            "attempt ended",
            **self._describe_attempt(call, upstream, reason),
            counted=counted,
        )

    def attempt_stalled(
        self, call: forwarding.ForwardedCall, upstream: str, reason: str
    ) -> None:
        """Logs a stream that stands still and is resumed beside it."""
        self.metrics.event("resumption-placed")
        _log.info(
            "attempt stands still",
            **self._describe_attempt(call, upstream, reason),
        )

    def _describe_attempt(
        self, call: forwarding.ForwardedCall, upstream: str, reason: str
    ) -> dict[str, object]:
        return {
            "request": call.head.attempt,
            "digest": call.suspect().request,
            "service": call.service,
            "upstream": upstream,
            "cause": reason,
            "parts": ",".join(crashes.part_names(call.head)),
            "entries": self.entries,
            "table_version": self.table.version,
        }

    def describe_cut(
        self,
        call: forwarding.ForwardedCall,
        cause: endings.Cause,
        refusal: errors.Refusal,
    ) -> dict[str, object]:
        """Returns what is known of an answer that is about to be cut.

        `silent_ms` is the time since its last data, `tick_ms` the longest
        time between two ticks of late.
        """
        now = self.clock.now()
        last_data_at = call.last_data_at or call.arrived_at
        described = {
            "request": call.head.attempt,
            "service": call.service,
            "upstreams": ",".join(call.tried),
            "rule": endings.RULE_BY_CAUSE[cause].reason,
            "cause": call.cause,
            "detail": refusal.detail,
            "ms": logs.milliseconds(now - call.arrived_at),
            "remaining_ms": logs.milliseconds(call.deadline - now),
            "silent_ms": logs.milliseconds(now - last_data_at),
            "tick_ms": logs.milliseconds(self._longest_tick),
            "entries": self.entries,
        }
        if cause in (endings.Cause.DEADLINE, endings.Cause.PROCESS_ENDS):
            return described
        attempts_left = call.route.attempts - len(set(call.tried))
        # The search weighs all targets, and many calls can end at once.
        return described | {
            "attempts_left": attempts_left,
            "retry_left": self.has_retry(call, now),
            "target_left": (
                attempts_left > 0 and self.has_alternative_target(call)
            ),
            "targets": len(
                self.placement.targets(call.service, self._model(call))
            ),
        }

    def answer_cut(
        self, cause: endings.Cause, described: dict[str, object]
    ) -> None:
        """Logs and counts an answer that ends before its last byte."""
        self.metrics.event(f"answer-cut-{cause.value}")
        _log.warning("answer cut", **described)

    def call_ended(
        self,
        call: forwarding.ForwardedCall,
        outcome: str,
        status: int,
        kind: str,
    ) -> None:
        """Removes a call, and logs and counts its outcome."""
        now = self.clock.now()
        self.calls.pop(call, None)
        model = self._model(call)
        account = call.account.name if call.account else ""
        self.metrics.outcome(account, call.route.name, kind or outcome)
        elapsed = now - call.arrived_at
        if outcome == "answered":
            key = (account, call.route.name)
            self.metrics.request_duration.buffer(*key).add(
                elapsed.total_seconds()
            )
            if call.first_data_at is not None:
                first = call.first_data_at - call.arrived_at
                self.metrics.first_token.buffer(*key).add(
                    first.total_seconds()
                )
        _log.info(
            "request ended",
            request=call.head.attempt,
            digest=call.suspect().request,
            route=call.route.name,
            service=call.service,
            account=account,
            outcome=outcome,
            status=status,
            kind=kind,
            cause=call.cause,
            upstreams=",".join(call.tried),
            repeats=call.retry_count,
            ms=logs.milliseconds(elapsed),
            first_ms=(
                logs.milliseconds(call.first_data_at - call.arrived_at)
                if call.first_data_at is not None
                else None
            ),
            targets=len(self.placement.targets(call.service, model)),
            queued=len(self._queue),
            table_version=self.table.version,
            fleet_revision=self._fleet.revision,
            fleet_age_ms=logs.milliseconds(now - self._fleet_changed_at),
        )
        self._place_queued()


def _max_queue_time(call: forwarding.ForwardedCall) -> datetime.timedelta:
    return min(call.route.objective * MAX_QUEUE_FRACTION, MAX_QUEUE_TIME)
