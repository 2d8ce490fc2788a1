"""Limits per client account and the order in which requests wait.

Limits hold for the whole deployment. Each entry applies its share, the
limit over the number of live entries, so no request costs a round trip; a
deployment cut in k parts can go over a limit by the factor k at most.
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
_LEAST_RETRY = datetime.timedelta(milliseconds=100)


@attrs.define
class TokenBucket:
    """A rate with a burst; it may be overdrawn by what is known late."""

    rate: float
    burst: float
    level: float
    updated_at: datetime.timedelta

    def refill(self, now: datetime.timedelta) -> None:
        """Adds what the rate gave since the last call."""
        elapsed = (now - self.updated_at).total_seconds()
        self.updated_at = now
        self.level = min(self.burst, self.level + elapsed * self.rate)

    def wait_for(self, amount: float) -> datetime.timedelta:
        """Returns how long until the level is at least `amount`."""
        lacking = max(0.0, amount - self.level)
        return datetime.timedelta(seconds=lacking / self.rate)


def _bucket(rate: float, burst: float, now: datetime.timedelta) -> TokenBucket:
    return TokenBucket(rate, burst, burst, now)


@attrs.define
class _AccountUse:
    """What one client account uses of its limits at this entry."""

    limits: operators.Limits
    entries: int
    requests: TokenBucket
    tokens: TokenBucket
    in_progress: int = 0


@attrs.define
class Admission:
    """Checks requests against their client account's limits."""

    entries: int = 1
    _use_by_account: dict[str, _AccountUse] = attrs.field(factory=dict)

    def admit(
        self, account: operators.ClientAccount, now: datetime.timedelta
    ) -> None:
        """Counts a request as in progress, or raises TooManyRequests."""
        use = self._use(account, now)
        limit = max(1, math.ceil(account.limits.concurrency / self.entries))
        if use.in_progress >= limit:
            raise _over("concurrent requests", datetime.timedelta(seconds=1))
        use.tokens.refill(now)
        if use.tokens.level < 0:
            raise _over("tokens", use.tokens.wait_for(0.0))
        use.requests.refill(now)
        if use.requests.level < 1:
            raise _over("requests", use.requests.wait_for(1.0))
        use.requests.level -= 1
        use.in_progress += 1

    def finished(
        self,
        account: operators.ClientAccount,
        tokens: int,
        now: datetime.timedelta,
    ) -> None:
        """Counts a request as ended and charges the tokens it produced."""
        use = self._use(account, now)
        use.in_progress -= 1
        use.tokens.refill(now)
        use.tokens.level -= tokens
        if use.in_progress < 0:
            raise AssertionError("more requests ended than were admitted")

    def in_progress(self, account: str) -> int:
        """Returns how many requests of an account are in progress."""
        use = self._use_by_account.get(account)
        return use.in_progress if use else 0

    def _use(
        self, account: operators.ClientAccount, now: datetime.timedelta
    ) -> _AccountUse:
        use = self._use_by_account.get(account.name)
        if use is None:
            use = self._new_use(account, now, 0)
            self._use_by_account[account.name] = use
        elif use.limits != account.limits or use.entries != self.entries:
            fresh = self._new_use(account, now, use.in_progress)
            fresh.requests.level = min(
                use.requests.level, fresh.requests.burst
            )
            fresh.tokens.level = min(use.tokens.level, fresh.tokens.burst)
            use = self._use_by_account[account.name] = fresh
        return use

    def _new_use(
        self,
        account: operators.ClientAccount,
        now: datetime.timedelta,
        in_progress: int,
    ) -> _AccountUse:
        limits = account.limits
        burst = max(1.0, limits.burst / self.entries)
        tokens_rate = limits.tokens_per_second / self.entries
        return _AccountUse(
            limits=limits,
            entries=self.entries,
            requests=_bucket(
                limits.requests_per_second / self.entries, burst, now
            ),
            tokens=_bucket(tokens_rate, tokens_rate, now),
            in_progress=in_progress,
        )


def _over(what: str, wait: datetime.timedelta) -> errors.TooManyRequests:
    return errors.TooManyRequests(
        f"the client account is over its limit of {what}",
        retry_after=max(wait, _LEAST_RETRY),
    )


@attrs.frozen
class Waiting:
    """A request in the queue."""

    request: str
    account: str
    request_class: operators.RequestClass
    weight: float
    deadline: datetime.timedelta


@attrs.define
class _Lane:
    """The requests of one client account and class, oldest first."""

    finish: float = 0.0
    waiting: collections.deque[Waiting] = attrs.field(
        factory=collections.deque
    )


@attrs.define
class FairQueue:
    """A bounded queue, shared by weight over accounts and classes.

    Every lane with requests moves on in proportion to its weight, so that
    no class starves and a large account can't push out a small one.
    """

    limit_per_account: int = QUEUE_LIMIT_PER_ACCOUNT
    _lanes: dict[tuple[str, operators.RequestClass], _Lane] = attrs.field(
        factory=dict
    )
    _virtual_time: float = 0.0

    def __len__(self) -> int:
        """Returns how many requests wait."""
        return sum(len(lane.waiting) for lane in self._lanes.values())

    def waiting_of(self, account: str) -> int:
        """Returns how many requests of an account wait."""
        return sum(
            len(lane.waiting)
            for (name, _), lane in self._lanes.items()
            if name == account
        )

    def push(self, waiting: Waiting) -> None:
        """Appends a request; raises TooManyRequests where it is full."""
        if self.waiting_of(waiting.account) >= self.limit_per_account:
            raise _over("queued requests", datetime.timedelta(seconds=1))
        key = (waiting.account, waiting.request_class)
        lane = self._lanes.setdefault(key, _Lane())
        if not lane.waiting:
            start = max(self._virtual_time, lane.finish)
            lane.finish = start + 1.0 / _share(waiting)
        lane.waiting.append(waiting)

    def pop(self) -> Waiting | None:
        """Returns the request whose turn it is, if any waits."""
        busy = [
            (lane.finish, name, request_class.value, lane)
            for (name, request_class), lane in self._lanes.items()
            if lane.waiting
        ]
        if not busy:
            return None
        finish, _, _, lane = min(busy, key=lambda item: item[:3])
        self._virtual_time = max(self._virtual_time, finish)
        waiting = lane.waiting.popleft()
        if lane.waiting:
            lane.finish += 1.0 / _share(lane.waiting[0])
        return waiting

    def push_back(self, waiting: Waiting) -> None:
        """Returns a request that was popped to the head of its lane."""
        lane = self._lanes[waiting.account, waiting.request_class]
        if lane.waiting:
            lane.finish -= 1.0 / _share(lane.waiting[0])
        lane.waiting.appendleft(waiting)

    def remove(self, request: str) -> bool:
        """Takes a request out; returns whether it was waiting."""
        for lane in self._lanes.values():
            for waiting in lane.waiting:
                if waiting.request == request:
                    lane.waiting.remove(waiting)
                    return True
        return False

    def expired(self, now: datetime.timedelta) -> list[Waiting]:
        """Takes out and returns the requests past their deadline."""
        late = [
            waiting
            for lane in self._lanes.values()
            for waiting in lane.waiting
            if waiting.deadline <= now
        ]
        for waiting in late:
            self.remove(waiting.request)
        return late


def _share(waiting: Waiting) -> float:
    return waiting.weight * WEIGHT_BY_CLASS[waiting.request_class]
