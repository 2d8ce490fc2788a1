"""Limits per client account and the order in which requests wait.

Limits hold for the whole deployment. Each entry enforces its share, the
limit divided by the number of live entries, so no request costs a round trip.
A deployment partitioned into k parts can exceed a limit by the factor k at
most.
"""

import collections
import datetime
import math

import attrs

from figford import errors
from figford import operators

WEIGHT_BY_CLASS = {
    operators.RequestClass.BOOKING: 64.0,
    operators.RequestClass.STATUS: 32.0,
    operators.RequestClass.CHAT: 8.0,
    operators.RequestClass.BATCH: 1.0,
}
QUEUE_LIMIT_PER_ACCOUNT = 200
_MIN_RETRY_AFTER = datetime.timedelta(milliseconds=100)


@attrs.define
class TokenBucket:
    """A token bucket; costs known only afterwards may overdraw it."""

    rate: float
    burst: float
    level: float
    updated_at: datetime.timedelta

    def refill(self, now: datetime.timedelta) -> None:
        """Adds what accrued at the rate since the last call."""
        elapsed = (now - self.updated_at).total_seconds()
        self.updated_at = now
        self.level = min(self.burst, self.level + elapsed * self.rate)

    def time_until_level(self, amount: float) -> datetime.timedelta:
        """Returns how long until the level is at least `amount`."""
        deficit = max(0.0, amount - self.level)
        return datetime.timedelta(seconds=deficit / self.rate)


@attrs.define
class _AccountUsage:
    """How much one client account uses of its limits at this entry."""

    limits: operators.Limits
    entries: int
    requests: TokenBucket
    tokens: TokenBucket
    in_progress: int = 0


@attrs.define
class Admission:
    """Checks requests against their client account's limits."""

    entries: int = 1
    # Limits accrue from the start of this process, since earlier ones may have
    # spent what had accrued before.
    started_at: datetime.timedelta = datetime.timedelta(0)
    _usage_by_account: dict[str, _AccountUsage] = attrs.field(factory=dict)

    def admit(
        self, account: operators.ClientAccount, now: datetime.timedelta
    ) -> None:
        """Counts a request as in progress, or raises TooManyRequests."""
        usage = self._usage(account, now)
        limit = max(1, math.ceil(account.limits.concurrency / self.entries))
        if usage.in_progress >= limit:
            raise _limit_exceeded(
                "concurrent requests", datetime.timedelta(seconds=1)
            )
        usage.tokens.refill(now)
        if usage.tokens.level < 0:
            raise _limit_exceeded("tokens", usage.tokens.time_until_level(0.0))
        usage.requests.refill(now)
        if usage.requests.level < 1:
            raise _limit_exceeded(
                "requests", usage.requests.time_until_level(1.0)
            )
        usage.requests.level -= 1
        usage.in_progress += 1

    def finished(
        self,
        account: operators.ClientAccount,
        tokens: int,
        now: datetime.timedelta,
    ) -> None:
        """Counts a request as ended and charges the tokens it produced."""
        usage = self._usage(account, now)
        usage.in_progress -= 1
        usage.tokens.refill(now)
        usage.tokens.level -= tokens
        if usage.in_progress < 0:
            raise AssertionError("more requests ended than were admitted")

    def in_progress(self, account: str) -> int:
        """Returns how many requests of an account are in progress."""
        usage = self._usage_by_account.get(account)
        return usage.in_progress if usage else 0

    def _usage(
        self, account: operators.ClientAccount, now: datetime.timedelta
    ) -> _AccountUsage:
        usage = self._usage_by_account.get(account.name)
        if usage is None:
            usage = self._new_usage(account, now, 0)
            self._usage_by_account[account.name] = usage
        elif usage.limits != account.limits or usage.entries != self.entries:
            updated = self._new_usage(account, now, usage.in_progress)
            updated.requests.level = min(
                usage.requests.level, updated.requests.burst
            )
            updated.tokens.level = min(
                usage.tokens.level, updated.tokens.burst
            )
            usage = self._usage_by_account[account.name] = updated
        return usage

    def _new_usage(
        self,
        account: operators.ClientAccount,
        now: datetime.timedelta,
        in_progress: int,
    ) -> _AccountUsage:
        limits = account.limits
        burst = max(1.0, limits.burst / self.entries)
        tokens_rate = limits.tokens_per_second / self.entries
        return _AccountUsage(
            limits=limits,
            entries=self.entries,
            requests=self._bucket(
                limits.requests_per_second / self.entries, burst, now
            ),
            tokens=self._bucket(tokens_rate, tokens_rate, now),
            in_progress=in_progress,
        )

    def _bucket(
        self, rate: float, burst: float, now: datetime.timedelta
    ) -> TokenBucket:
        """Returns a bucket with what has accrued since the start.

        It starts with one token: small accounts need not wait for the first.
        """
        bucket = TokenBucket(rate, burst, min(1.0, burst), self.started_at)
        bucket.refill(now)
        return bucket


def _limit_exceeded(
    limit_name: str, wait: datetime.timedelta
) -> errors.TooManyRequests:
    return errors.TooManyRequests(
        f"the client account is over its limit of {limit_name}",
        retry_after=max(wait, _MIN_RETRY_AFTER),
    )


@attrs.frozen
class QueuedRequest:
    """A request in the queue."""

    request: str
    account: str
    request_class: operators.RequestClass
    weight: float
    deadline: datetime.timedelta


@attrs.define
class _Flow:
    """The queued requests of one client account and class, oldest first."""

    finish_time: float = 0.0
    queued: collections.deque[QueuedRequest] = attrs.field(
        factory=collections.deque
    )


@attrs.define
class FairQueue:
    """A bounded weighted fair queue over client accounts and classes.

    Every flow with queued requests is served in proportion to its weight, so
    that no class starves and a large account can't crowd out a small one.
    """

    limit_per_account: int = QUEUE_LIMIT_PER_ACCOUNT
    _flows: dict[tuple[str, operators.RequestClass], _Flow] = attrs.field(
        factory=dict
    )
    _virtual_time: float = 0.0

    def __len__(self) -> int:
        """Returns how many requests are queued."""
        return sum(len(flow.queued) for flow in self._flows.values())

    def queued_count(self, account: str) -> int:
        """Returns how many requests of an account are queued."""
        return sum(
            len(flow.queued)
            for (name, _), flow in self._flows.items()
            if name == account
        )

    def push(self, queued: QueuedRequest) -> None:
        """Appends a request; raises TooManyRequests at the account limit."""
        if self.queued_count(queued.account) >= self.limit_per_account:
            raise _limit_exceeded(
                "queued requests", datetime.timedelta(seconds=1)
            )
        self._flow_for(queued).queued.append(queued)

    def push_first(self, queued: QueuedRequest) -> None:
        """Prepends a request to its flow, also beyond the account limit."""
        self._flow_for(queued).queued.appendleft(queued)

    def _flow_for(self, queued: QueuedRequest) -> _Flow:
        """Returns the flow of a request that is about to be added to it."""
        key = (queued.account, queued.request_class)
        flow = self._flows.setdefault(key, _Flow())
        if not flow.queued:
            start = max(self._virtual_time, flow.finish_time)
            flow.finish_time = start + 1.0 / _fair_share(queued)
        return flow

    def pop(self) -> QueuedRequest | None:
        """Removes and returns the next request; None if none is queued."""
        nonempty = [
            (flow.finish_time, name, request_class.value, flow)
            for (name, request_class), flow in self._flows.items()
            if flow.queued
        ]
        if not nonempty:
            return None
        finish_time, _, _, flow = min(nonempty, key=lambda item: item[:3])
        self._virtual_time = max(self._virtual_time, finish_time)
        queued = flow.queued.popleft()
        if flow.queued:
            flow.finish_time += 1.0 / _fair_share(flow.queued[0])
        return queued

    def requeue(self, queued: QueuedRequest) -> None:
        """Puts a popped request back at the head of its flow."""
        flow = self._flows[queued.account, queued.request_class]
        if flow.queued:
            flow.finish_time -= 1.0 / _fair_share(flow.queued[0])
        flow.queued.appendleft(queued)

    def remove(self, request: str) -> bool:
        """Removes a request; returns whether it was queued."""
        for flow in self._flows.values():
            for queued in flow.queued:
                if queued.request == request:
                    flow.queued.remove(queued)
                    return True
        return False

    def remove_expired(self, now: datetime.timedelta) -> list[QueuedRequest]:
        """Removes and returns the requests past their deadline."""
        expired = [
            queued
            for flow in self._flows.values()
            for queued in flow.queued
            if queued.deadline <= now
        ]
        for queued in expired:
            self.remove(queued.request)
        return expired


def _fair_share(queued: QueuedRequest) -> float:
    return queued.weight * WEIGHT_BY_CLASS[queued.request_class]
