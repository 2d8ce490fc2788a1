"""How often to retry: a budget over all requests, breakers per upstream."""

import datetime
import enum

import attrs

# Share of requests that may be retried on top, and the reserve for quiet
# times, in retries.
BUDGET_SHARE = 0.2
BUDGET_RESERVE = 10.0

FAILURES_TO_OPEN = 3
INITIAL_OPEN_TIME = datetime.timedelta(seconds=1)
MAX_OPEN_TIME = datetime.timedelta(seconds=30)


@attrs.define
class RetryBudget:
    """Keeps retries a bounded share of requests.

    >>> budget = RetryBudget(level=1.0)
    >>> budget.take(), budget.take()
    (True, False)
    """

    level: float = BUDGET_RESERVE

    def deposit(self) -> None:
        """Counts a first attempt, which earns a share of a retry."""
        self.level = min(BUDGET_RESERVE, self.level + BUDGET_SHARE)

    def take(self) -> bool:
        """Takes one retry; returns whether there was one."""
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


class BreakerState(enum.Enum):
    """Whether an upstream is tried."""

    CLOSED = "closed"
    OPEN = "open"
    # One request tries whether the upstream works again.
    HALF_OPEN = "half-open"


@attrs.define
class Breaker:
    """Stops requests to one upstream that keeps failing."""

    state: BreakerState = BreakerState.CLOSED
    failures: int = 0
    opened_at: datetime.timedelta = datetime.timedelta(0)
    open_for: datetime.timedelta = INITIAL_OPEN_TIME

    def allows(self, now: datetime.timedelta) -> bool:
        """Returns whether a request may be sent now."""
        if self.state is BreakerState.CLOSED:
            return True
        return now - self.opened_at >= self.open_for

    def started(self, now: datetime.timedelta) -> None:
        """Notes a request; past the open time it is the only trial."""
        if self.state is not BreakerState.CLOSED:
            self.state = BreakerState.HALF_OPEN
            self.opened_at = now

    def succeeded(self) -> None:
        """Closes the breaker."""
        self.state = BreakerState.CLOSED
        self.failures = 0
        self.open_for = INITIAL_OPEN_TIME

    def failed(self, now: datetime.timedelta) -> None:
        """Counts a failure and opens the breaker when they repeat."""
        self.failures += 1
        if self.state is BreakerState.HALF_OPEN:
            self.open_for = min(self.open_for * 2, MAX_OPEN_TIME)
        elif self.failures < FAILURES_TO_OPEN:
            return
        self.state = BreakerState.OPEN
        self.opened_at = now


@attrs.define
class Breakers:
    """The breakers of all upstreams, by address."""

    by_address: dict[str, Breaker] = attrs.field(factory=dict)

    def allows(self, address: str, now: datetime.timedelta) -> bool:
        """Returns whether an upstream may be sent a request now."""
        breaker = self.by_address.get(address)
        return breaker is None or breaker.allows(now)

    def started(self, address: str, now: datetime.timedelta) -> None:
        """Notes a request to an upstream."""
        if address in self.by_address:
            self.by_address[address].started(now)

    def succeeded(self, address: str) -> None:
        """Notes that an upstream answered."""
        self.by_address.pop(address, None)

    def failed(self, address: str, now: datetime.timedelta) -> None:
        """Notes that an upstream failed."""
        self.by_address.setdefault(address, Breaker()).failed(now)

    def open_addresses(self) -> list[str]:
        """Returns the addresses of upstreams that are not tried freely."""
        return sorted(
            address
            for address, breaker in self.by_address.items()
            if breaker.state is not BreakerState.CLOSED
        )
