"""Chooses how to repair a broken group, by expected cost.

The cost of an option is the downtime weight times the expected seconds
that the group stays down, plus the stranding weight times the expected
accelerator-seconds that its healthy members are idle. The probability that
a silent member returns is estimated from past silences.
"""

import bisect
import datetime

import attrs

# Silences that are assumed before any was observed, in seconds; None is a
# member that never returned.
PRIOR_SILENCES: tuple[float | None, ...] = (4.0, 6.0, 10.0, 25.0, None)
# Silence, in seconds, that is assumed for a member that never returned.
LOST_MEMBER_SECONDS = 600.0
HISTORY_LIMIT = 200


@attrs.define
class SilenceHistory:
    """Lengths of past silences, to predict the end of a current one."""

    ended_seconds: list[float] = attrs.field(
        factory=lambda: sorted(
            value for value in PRIOR_SILENCES if value is not None
        )
    )
    never_returned: int = sum(value is None for value in PRIOR_SILENCES)

    def record_return(self, seconds: float) -> None:
        """Records a silence after which the member returned."""
        bisect.insort(self.ended_seconds, seconds)
        if len(self.ended_seconds) > HISTORY_LIMIT:
            del self.ended_seconds[:: HISTORY_LIMIT // 10]

    def record_loss(self) -> None:
        """Records a member that never returned."""
        self.never_returned += 1

    def remaining_seconds(self, silent_seconds: float) -> list[float]:
        """Returns equally likely values of the remaining silence."""
        start = bisect.bisect_right(self.ended_seconds, silent_seconds)
        later = self.ended_seconds[start:]
        return [value - silent_seconds for value in later] + [
            LOST_MEMBER_SECONDS
        ] * max(1, self.never_returned)


@attrs.frozen
class Weights:
    """The operators' cost weights of downtime and of idle hardware."""

    downtime: float
    stranding: float


@attrs.frozen
class BrokenGroup:
    """A broken group as the planner sees it.

    `join_seconds` is the time to form a group whose members hold the
    weights, and `spare_load_seconds` the time until the spares have loaded
    them. `move_load_seconds` is the same for a complete group of free
    engines in any domain; None if there are not enough.
    """

    group: str
    size: int
    minimum_size: int
    healthy: int
    silent_seconds: tuple[float, ...]
    leaving: int
    spares: int
    spare_load_seconds: float
    join_seconds: float
    mergeable: int
    move_load_seconds: float | None


@attrs.frozen
class Wait:
    """Leave the group as it is for now."""


@attrs.frozen
class Replace:
    """Take spares of the fabric domain for the missing members."""


@attrs.frozen
class Merge:
    """Take the healthy members of another broken group."""


@attrs.frozen
class Shrink:
    """Continue with the healthy members alone."""


@attrs.frozen
class Move:
    """Form the group from free engines; its healthy members become free."""


@attrs.frozen
class Release:
    """Release the healthy members."""


Decision = Wait | Replace | Merge | Shrink | Move | Release


def _cost_per_second(broken: BrokenGroup, weights: Weights) -> float:
    """Returns the cost of one second of downtime of the group."""
    return weights.downtime + weights.stranding * broken.healthy


def _wait_cost(
    broken: BrokenGroup,
    weights: Weights,
    history: SilenceHistory,
    fallback_seconds: float,
) -> float:
    """Returns the least expected cost of waiting, then falling back.

    The wait is limited to the best of the observed return times.
    """
    shortest_silence = min(broken.silent_seconds, default=LOST_MEMBER_SECONDS)
    remaining_seconds = history.remaining_seconds(shortest_silence)
    rate = _cost_per_second(broken, weights)
    best = None
    for limit in sorted(set(remaining_seconds)):
        total = 0.0
        for seconds in remaining_seconds:
            if seconds <= limit and seconds < LOST_MEMBER_SECONDS:
                total += seconds
            else:
                total += limit + fallback_seconds
        cost = rate * total / len(remaining_seconds)
        best = cost if best is None else min(best, cost)
    return best if best is not None else rate * LOST_MEMBER_SECONDS


def decide(
    broken: BrokenGroup, weights: Weights, history: SilenceHistory
) -> Decision:
    """Returns the option of least expected cost for a broken group."""
    missing = broken.size - broken.healthy
    rate = _cost_per_second(broken, weights)
    costs: list[tuple[float, int, Decision]] = []
    if broken.spares >= missing:
        seconds = max(broken.join_seconds, broken.spare_load_seconds)
        costs.append((rate * seconds, 1, Replace()))
    if broken.mergeable >= missing:
        costs.append((rate * broken.join_seconds, 2, Merge()))
    if 0 < broken.minimum_size <= broken.healthy:
        lost_share = missing / broken.size
        penalty = weights.downtime * lost_share * LOST_MEMBER_SECONDS
        costs.append((rate * broken.join_seconds + penalty, 3, Shrink()))
    if broken.move_load_seconds is not None:
        seconds = max(broken.join_seconds, broken.move_load_seconds)
        costs.append((rate * seconds, 4, Move()))
    if broken.leaving or not broken.silent_seconds:
        wait = rate * LOST_MEMBER_SECONDS
    else:
        fallback = min((cost for cost, _, _ in costs), default=None)
        fallback_seconds = (
            fallback / rate
            if fallback is not None and rate
            else LOST_MEMBER_SECONDS
        )
        wait = _wait_cost(broken, weights, history, fallback_seconds)
    costs.append((wait, 0, Wait()))
    return min(costs, key=lambda item: item[:2])[2]


def hold_time_elapsed(
    broken_for: datetime.timedelta, hold: datetime.timedelta, leaving: int
) -> bool:
    """Returns whether a group has been broken long enough to repair it."""
    return leaving > 0 or broken_for >= hold
