"""Circuit breakers per upstream."""

import datetime
import enum

import attrs

FAILURES_TO_OPEN = 3
INITIAL_OPEN_TIME = datetime.timedelta(seconds=1)
MAX_OPEN_TIME = datetime.timedelta(seconds=30)


class BreakerState(enum.Enum):
    """The state of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    # One trial request tests whether the upstream works again.
    HALF_OPEN = "half-open"


@attrs.define
class Breaker:
    """A circuit breaker: stops requests to an upstream that keeps failing."""

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
        """Records a request; after the open time it is the trial request."""
        if self.state is not BreakerState.CLOSED:
            self.state = BreakerState.HALF_OPEN
            self.opened_at = now

    def succeeded(self) -> None:
        """Closes the breaker."""
        self.state = BreakerState.CLOSED
        self.failures = 0
        self.open_for = INITIAL_OPEN_TIME

    def failed(self, now: datetime.timedelta) -> None:
        """Counts a failure; opens the breaker after repeated ones."""
        self.failures += 1
        if self.state is BreakerState.HALF_OPEN:
            self.open_for = min(self.open_for * 2, MAX_OPEN_TIME)
        elif self.failures < FAILURES_TO_OPEN:
            return
        self.state = BreakerState.OPEN
        self.opened_at = now


@attrs.define
class Breakers:
    """The circuit breakers of all upstreams, by address."""

    by_address: dict[str, Breaker] = attrs.field(factory=dict)

    def allows(self, address: str, now: datetime.timedelta) -> bool:
        """Returns whether an upstream may be sent a request now."""
        breaker = self.by_address.get(address)
        return breaker is None or breaker.allows(now)

    def started(self, address: str, now: datetime.timedelta) -> None:
        """Records a request to an upstream."""
        if address in self.by_address:
            self.by_address[address].started(now)

    def succeeded(self, address: str) -> None:
        """Closes the breaker of an upstream that answered."""
        self.by_address.pop(address, None)

    def failed(self, address: str, now: datetime.timedelta) -> None:
        """Counts a failure of an upstream."""
        self.by_address.setdefault(address, Breaker()).failed(now)

    def open_addresses(self) -> list[str]:
        """Returns the upstreams whose breaker is open or half-open."""
        return sorted(
            address
            for address, breaker in self.by_address.items()
            if breaker.state is not BreakerState.CLOSED
        )
