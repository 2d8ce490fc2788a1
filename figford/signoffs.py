"""Sign-offs of upstreams, kept for as long as their processes may run.

A sign-off names an upstream but not which start of it. A process that has
forgotten the upstream, or has yet to hear of it, keeps the sign-off for the
reports that still arrive, and tells all others, which may know it.
"""

import datetime

import attrs

from figford import bounds

# A process that signed off has exited long before.
RETENTION = datetime.timedelta(minutes=10)
# Above this number the oldest sign-offs are dropped.
MAX_SIGN_OFFS = 2_000


@attrs.frozen
class SignOff:
    """That an upstream signed off; the time is in Unix milliseconds."""

    upstream: str = attrs.field(validator=bounds.is_text)
    time_ms: int = attrs.field(validator=bounds.is_count)

    def covers(self, incarnation: int) -> bool:
        """Returns whether a process that started then signed off.

        A process that starts again under its name does so seconds later.

        >>> SignOff("u1", 50_000).covers(40_000)
        True
        >>> SignOff("u1", 50_000).covers(53_000)
        False
        """
        return incarnation <= self.time_ms


@attrs.frozen
class SignOffs:
    """Message: sign-offs that the receiver may not know."""

    sign_offs: list[SignOff]


@attrs.define
class SignOffTable:
    """The newest sign-off of each upstream, oldest first."""

    _by_upstream: dict[str, tuple[SignOff, datetime.timedelta]] = attrs.field(
        factory=dict
    )

    def add(self, sign_off: SignOff, now: datetime.timedelta) -> bool:
        """Stores a sign-off; returns whether it is new.

        One that is repeated within the retention is not.
        """
        known = self._by_upstream.get(sign_off.upstream)
        if known is not None and known[0].covers(sign_off.time_ms):
            return False
        self._by_upstream.pop(sign_off.upstream, None)
        self._by_upstream[sign_off.upstream] = (sign_off, now)
        self.evict(now)
        return True

    def covers(self, upstream: str, incarnation: int) -> bool:
        """Returns whether this start of an upstream has signed off."""
        known = self._by_upstream.get(upstream)
        return known is not None and known[0].covers(incarnation)

    def all(self) -> list[SignOff]:
        """Returns all sign-offs, the oldest first."""
        return [sign_off for sign_off, _ in self._by_upstream.values()]

    def evict(self, now: datetime.timedelta) -> None:
        """Drops old sign-offs, and the oldest above `MAX_SIGN_OFFS`."""
        excess = len(self._by_upstream) - MAX_SIGN_OFFS
        for index, (upstream, (_, at)) in enumerate(
            list(self._by_upstream.items())
        ):
            if index >= excess and now - at <= RETENTION:
                return
            del self._by_upstream[upstream]
