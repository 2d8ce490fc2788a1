"""Chooses the group for each model request.

The cost of a group is its expected load per unit of concurrency: the
reported load plus what this entry sent since, which the report does not
include yet. The cheapest of a few randomly sampled groups is chosen, so that
entries do not all pick the same one. Each prompt prefix has a home group by
its hash, the same at all entries. That group, and one that is known to have
the prefix cached, are preferred unless their load exceeds that of the others
by more than the cache saves.

An entry may always use its share of a group's concurrency. It exceeds that
share only while the report leaves room even if every other entry has sent as
many requests since as this one.
"""

import collections
import datetime
import random

import attrs
import xxhash

from figford import groups
from figford import messages

# Load reports lag; requests sent this recently are not in them yet.
REPORT_LAG = datetime.timedelta(seconds=1)
# A fresh prefix hint offsets load of this share of a group's concurrency.
AFFINITY_SHARE = 0.5
HINT_LIFETIME = datetime.timedelta(seconds=120)
SAMPLED_GROUPS = 2
HINTS_LIMIT = 20_000
PREFIX_LENGTH_CHARACTERS = 256


def prefix_hash(text: str) -> int:
    """Returns the hash of a prompt's prefix, for cache affinity."""
    prefix = text[:PREFIX_LENGTH_CHARACTERS]
    return xxhash.xxh64_intdigest(prefix.encode("utf-8", "surrogatepass"))


@attrs.frozen
class Capacity:
    """The concurrency of one group and how many entries share it."""

    concurrency: int
    entries: int

    @property
    def share(self) -> int:
        """Returns how many requests an entry may always have in progress."""
        return max(1, self.concurrency // self.entries)


@attrs.define
class _SentRequests:
    """The requests that this entry sent to one group."""

    in_progress: int = 0
    recent: collections.deque[datetime.timedelta] = attrs.field(
        factory=collections.deque
    )


@attrs.define
class PrefixHints:
    """Hints on which group has a prefix cached; they may be wrong."""

    _hint_by_prefix: collections.OrderedDict[
        int, tuple[str, datetime.timedelta]
    ] = attrs.field(factory=collections.OrderedDict)

    def record(self, prefix: int, group: str, now: datetime.timedelta) -> None:
        """Records that a group was sent a prefix or reported it as cached."""
        self._hint_by_prefix[prefix] = (group, now)
        self._hint_by_prefix.move_to_end(prefix)
        if len(self._hint_by_prefix) > HINTS_LIMIT:
            self._hint_by_prefix.popitem(last=False)

    def forget(self, prefix: int, group: str) -> None:
        """Removes the hint after a group reported the prefix as evicted."""
        hint = self._hint_by_prefix.get(prefix)
        if hint is not None and hint[0] == group:
            del self._hint_by_prefix[prefix]

    def freshness(
        self, prefix: int, group: str, now: datetime.timedelta
    ) -> float:
        """Returns 1 for a new hint of this group, falling to 0 with age."""
        hint = self._hint_by_prefix.get(prefix)
        if hint is None or hint[0] != group:
            return 0.0
        age = now - hint[1]
        return max(0.0, 1.0 - age / HINT_LIFETIME)

    def group_of(self, prefix: int) -> str | None:
        """Returns the group that the hint for a prefix names, if any."""
        hint = self._hint_by_prefix.get(prefix)
        return hint[0] if hint else None


@attrs.define
class Router:
    """Chooses groups and counts the requests sent to them."""

    rng: random.Random
    hints: PrefixHints = attrs.field(factory=PrefixHints)
    _sent_by_group: dict[tuple[str, int], _SentRequests] = attrs.field(
        factory=dict
    )

    def in_progress(self, group: str, fence: int) -> int:
        """Returns how many requests of this entry a group has in progress."""
        sent = self._sent_by_group.get((group, fence))
        return sent.in_progress if sent else 0

    def started(self, view: groups.GroupView, now: datetime.timedelta) -> None:
        """Counts a request sent to a group."""
        key = (view.group, view.fence)
        sent = self._sent_by_group.setdefault(key, _SentRequests())
        sent.in_progress += 1
        sent.recent.append(now)

    def finished(self, view: groups.GroupView) -> None:
        """Counts a request as ended on a group."""
        key = (view.group, view.fence)
        sent = self._sent_by_group[key]
        sent.in_progress -= 1
        if sent.recent:
            # The request ended before a load report included it.
            sent.recent.popleft()
        if sent.in_progress < 0:
            raise AssertionError("more requests ended than were sent")
        if not sent.in_progress:
            del self._sent_by_group[key]

    def outstanding(
        self,
        view: groups.GroupView,
        load: messages.Load,
        now: datetime.timedelta,
    ) -> int:
        """Returns the expected number of requests of all entries."""
        sent = self._sent_by_group.get((view.group, view.fence))
        reported = load.running + load.queued
        if sent is None:
            return reported
        return max(sent.in_progress, reported + _recent(sent, now))

    def has_capacity(
        self,
        view: groups.GroupView,
        load: messages.Load,
        capacity: Capacity,
        now: datetime.timedelta,
    ) -> bool:
        """Returns whether this entry may send a group one more request."""
        sent = self._sent_by_group.get((view.group, view.fence))
        in_progress = sent.in_progress if sent else 0
        if in_progress < capacity.share:
            return True
        recent = _recent(sent, now) if sent else 0
        reported = load.running + load.queued
        return reported + recent * capacity.entries < capacity.concurrency

    def choose(
        self,
        candidates: list[tuple[groups.GroupView, messages.Load]],
        capacity: Capacity,
        prefix: int | None,
        now: datetime.timedelta,
    ) -> groups.GroupView | None:
        """Returns the group for a request; None if all are full."""
        available = [
            (self.outstanding(view, load, now) / capacity.concurrency, view)
            for view, load in candidates
            if self.has_capacity(view, load, capacity, now)
        ]
        if not available:
            return None
        sampled = self.rng.sample(
            available, min(SAMPLED_GROUPS, len(available))
        )
        home = None
        if prefix is not None:
            home = home_group(prefix, [view.group for view, _ in candidates])
            hinted = self.hints.group_of(prefix)
            sampled += [
                item for item in available if item[1].group in (home, hinted)
            ]

        def cost(item: tuple[float, groups.GroupView]) -> tuple[float, str]:
            relative_load, view = item
            saving = 0.0
            if prefix is not None:
                freshness = self.hints.freshness(prefix, view.group, now)
                at_home = float(view.group == home)
                saving = AFFINITY_SHARE * max(freshness, at_home)
            return relative_load - saving, view.group

        chosen = min(sampled, key=cost)[1]
        if prefix is not None:
            self.hints.record(prefix, chosen.group, now)
        return chosen


def home_group(prefix: int, names: list[str]) -> str:
    """Returns the group that all entries prefer for a prefix.

    This is rendezvous hashing: when a group is removed, only its own
    prefixes move to other groups.

    >>> home_group(7, ["a", "b", "c"]) in ("a", "b", "c")
    True
    """
    return max(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f"{prefix}:{name}".encode()),
    )


def _recent(sent: _SentRequests, now: datetime.timedelta) -> int:
    """Returns how many requests are too recent to be in a load report."""
    while sent.recent and now - sent.recent[0] > REPORT_LAG:
        sent.recent.popleft()
    return len(sent.recent)
