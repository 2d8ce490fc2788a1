"""Sign-offs of upstreams, kept for as long as their processes may run.

A sign-off names an upstream but not which start of it. A process that has
forgotten the upstream, or has yet to hear of it, keeps the sign-off for the
reports that still arrive, and tells all others, which may know it.
"""

import datetime
import typing

import attrs

from figford import bounds

# No process signs off earlier after its start; clocks may differ by as much.
MIN_LIFE_MS = 1_000
# A process that signed off has exited long before.
RETENTION = datetime.timedelta(minutes=10)
# Above this number the oldest sign-offs are dropped.
MAX_SIGN_OFFS = 2_000
# Ages above it name no sign-off; far below the range of a duration.
MAX_AGE_MS = 1 << 40
_MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.frozen
class SignOff:
    """That an upstream signed off; the time is in Unix milliseconds.

    `incarnation` is the newest start that the called controller knew. Later
    ones can only be told by their time, which is that of another machine.
    """

    upstream: str = attrs.field(validator=bounds.is_text)
    time_ms: int = attrs.field(validator=bounds.is_count)
    incarnation: int | None = attrs.field(
        default=None, validator=attrs.validators.optional(bounds.is_count)
    )

    def covers(self, incarnation: int, was_known: bool) -> bool:
        """Returns whether it is the process that started then that left.

        `was_known` states whether it was known before the sign-off was made.

        >>> SignOff("u1", 50_000, 40_000).covers(40_000, was_known=False)
        True
        >>> SignOff("u1", 50_000, 40_000).covers(49_700, was_known=False)
        False
        >>> SignOff("u1", 50_000).covers(40_000, was_known=False)
        True
        """
        if self.incarnation is not None and incarnation <= self.incarnation:
            return True
        if was_known:
            return incarnation <= self.time_ms
        return (
            self.incarnation is None
            and incarnation <= self.time_ms - MIN_LIFE_MS
        )

    def supersedes(self, other: "SignOff") -> bool:
        """Returns whether it is of a later start, or of the same but later."""
        starts = (self.incarnation, other.incarnation)
        if None not in starts and starts[0] != starts[1]:
            return starts[0] > starts[1]
        return self.time_ms > other.time_ms


def _are_ages(
    instance: object, attribute: attrs.Attribute, values: list[int]
) -> None:
    for value in values:
        bounds.is_count(instance, attribute, value)
        if value > MAX_AGE_MS:
            raise ValueError(f"{attribute.name} holds a value out of range")


@attrs.frozen
class SignOffs:
    """Message: sign-offs that the receiver may not know.

    `ages_ms` is, for each of them, the time since it was made.
    """

    sign_offs: list[SignOff]
    ages_ms: list[int] = attrs.field(validator=_are_ages)


@attrs.define
class SignOffTable:
    """The newest sign-off of each upstream, in the order of arrival."""

    _by_upstream: dict[str, tuple[SignOff, datetime.timedelta]] = attrs.field(
        factory=dict
    )

    def add(
        self,
        sign_off: SignOff,
        now: datetime.timedelta,
        age: datetime.timedelta = datetime.timedelta(0),
    ) -> bool:
        """Stores a sign-off; returns whether it is new.

        One that is repeated within the retention, or older, is not.
        """
        if age > RETENTION:
            return False
        known = self._by_upstream.get(sign_off.upstream)
        if known is not None and not sign_off.supersedes(known[0]):
            return False
        self._by_upstream.pop(sign_off.upstream, None)
        self._by_upstream[sign_off.upstream] = (sign_off, now - age)
        self.evict(now)
        return True

    def covers(self, upstream: str, incarnation: int) -> bool:
        """Returns whether a start that was not known has signed off."""
        known = self._by_upstream.get(upstream)
        return known is not None and known[0].covers(
            incarnation, was_known=False
        )

    def message(
        self, upstreams: typing.Iterable[str], now: datetime.timedelta
    ) -> SignOffs:
        """Returns the sign-offs of some upstreams with their ages."""
        known = [
            self._by_upstream[upstream]
            for upstream in upstreams
            if upstream in self._by_upstream
        ]
        return SignOffs(
            [sign_off for sign_off, _ in known],
            [(now - at) // _MILLISECOND for _, at in known],
        )

    def upstreams(self) -> list[str]:
        """Returns the names of all upstreams with a sign-off."""
        return list(self._by_upstream)

    def evict(self, now: datetime.timedelta) -> None:
        """Drops old sign-offs, and the first above `MAX_SIGN_OFFS`."""
        for upstream, (_, at) in list(self._by_upstream.items()):
            has_excess = len(self._by_upstream) > MAX_SIGN_OFFS
            if has_excess or now - at > RETENTION:
                del self._by_upstream[upstream]
