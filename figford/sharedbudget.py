"""The retry budgets of services, which all entries share.

An entry spends only what has accrued while its process ran: a fraction of its
own requests, and with time its part of the reserve. So restarts, joins and
traffic that moves to another entry add nothing to the total of a window,
though no process knows what another one has spent, and the total is kept
while entries can't reach each other.
"""

import collections
import datetime

import attrs

# A part of the budget stays unused, since the number of entries that share it
# may be stale.
SAFETY_FACTOR = 0.9
# Requests allow retries for this part of the window. Those of requests before
# a window may be spent in it, besides those of requests within.
RETENTION_PART = 0.2
# This part of what an entry may use of the reserve in a window is kept for
# bursts, or one retry where that is more; the rest accrues evenly.
BURST_PART = 0.5


@attrs.frozen
class BudgetSettings:
    """The retry budget of a service: a ratio of its requests and a reserve."""

    ratio: float
    reserve: float
    window: datetime.timedelta


@attrs.define
class SharedBudget:
    """Retries of one service at one entry.

    >>> second = datetime.timedelta(seconds=1)
    >>> budget = SharedBudget(BudgetSettings(0.4, 0.0, 10 * second))
    >>> for _ in range(7):
    ...     budget.record_request(0 * second)
    >>> [budget.try_withdraw(1 * second) for _ in range(3)]
    [True, True, False]
    """

    settings: BudgetSettings
    # The entries that share the reserve; it accrues while that is known.
    entries: int | None = None
    # What is left of the reserve that has accrued.
    _reserve: float = 0.0
    _accrued_at: datetime.timedelta = datetime.timedelta(0)
    # Requests whose shares of a retry are not all spent, oldest first.
    _requests: collections.deque[datetime.timedelta] = attrs.field(
        factory=collections.deque
    )
    # What is spent of the oldest one's share.
    _spent: float = 0.0

    def set_entries(
        self, entries: int | None, now: datetime.timedelta
    ) -> None:
        """Sets how many entries share the reserve from now on."""
        self._accrue(now)
        self.entries = entries

    def record_request(self, now: datetime.timedelta) -> None:
        """Counts a caller's request."""
        self._discard_expired(now)
        self._requests.append(now)

    def has_retry(self, now: datetime.timedelta) -> bool:
        """Returns whether a retry is left."""
        self._discard_expired(now)
        self._accrue(now)
        return self._of_requests + self._reserve >= 1

    def try_withdraw(self, now: datetime.timedelta) -> bool:
        """Withdraws one retry; returns whether one was left."""
        if not self.has_retry(now):
            return False
        from_requests = min(1.0, self._of_requests)
        self._reserve -= 1 - from_requests
        self._spend(from_requests)
        return True

    @property
    def _of_requests(self) -> float:
        """Returns the retries that requests allow and that are not spent."""
        return max(0.0, self._share * len(self._requests) - self._spent)

    @property
    def _share(self) -> float:
        """Returns the part of a retry that one request allows."""
        return self.settings.ratio * SAFETY_FACTOR / (1 + RETENTION_PART)

    def _spend(self, shares: float) -> None:
        self._spent += shares
        while self._requests and self._spent >= self._share:
            self._requests.popleft()
            self._spent -= self._share
        if not self._requests:
            self._spent = 0.0

    def _discard_expired(self, now: datetime.timedelta) -> None:
        retention = self.settings.window * RETENTION_PART
        while self._requests and now - self._requests[0] > retention:
            self._requests.popleft()
            self._spent = 0.0

    def _accrue(self, now: datetime.timedelta) -> None:
        """Adds the reserve that has accrued since the last call.

        Nothing is left when it is not known how many entries share it.
        """
        windows = (now - self._accrued_at) / self.settings.window
        self._accrued_at = now
        if self.entries is None:
            self._reserve = 0.0
            return
        part = self.settings.reserve * SAFETY_FACTOR / max(1, self.entries)
        kept = part * BURST_PART
        if part >= 1:
            # Less than a whole retry would never be used.
            kept = max(1.0, kept)
        accrued = (part - kept) * windows
        self._reserve = min(kept, self._reserve + accrued)


@attrs.define
class SharedBudgets:
    """The budgets of all services at one entry."""

    settings: BudgetSettings
    entries: int | None = None
    # Since when it is known how many entries there are.
    _known_since: datetime.timedelta | None = None
    _budget_by_service: dict[str, SharedBudget] = attrs.field(factory=dict)

    def set_entries(
        self, entries: int | None, now: datetime.timedelta
    ) -> None:
        """Sets how many entries share the reserves from now on."""
        if self.entries is None or entries is None:
            self._known_since = now
        self.entries = entries
        for budget in self._budget_by_service.values():
            budget.set_entries(entries, now)

    def of(self, service: str) -> SharedBudget:
        """Returns the budget of a service."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = SharedBudget(self.settings)
            if self._known_since is not None:
                budget.set_entries(self.entries, self._known_since)
            self._budget_by_service[service] = budget
        return budget
