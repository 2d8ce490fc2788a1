"""Grants the permits of limited upstreams to the entries that want them.

Runs at the leader of the log. A limit is a token bucket; a token is spent
when its permit is granted, whether the entry uses it or not. A new leader
starts with empty buckets after the permits of its predecessor have expired,
so the sum over both keeps to the limit.
"""

import collections
import datetime
import typing

import attrs

from figford import fleetmessages
from figford import limits

# After a change of leader. The predecessor may lead on without a quorum for
# up to 0.9 s, until it checks.
TAKEOVER_WAIT = datetime.timedelta(seconds=1)
GRANT_INTERVAL = datetime.timedelta(milliseconds=50)
# A bucket holds one request and what the limit allows in this time.
BURST_TIME = datetime.timedelta(milliseconds=250)


@attrs.define
class _Bucket:
    """The tokens of one limit."""

    rate: float
    refilled_at: datetime.timedelta
    tokens: float = 0.0

    def refill(self, part: float, now: datetime.timedelta) -> None:
        """Adds a part of what the limit allowed since the last refill."""
        seconds = (now - self.refilled_at).total_seconds()
        capacity = 1.0 + self.rate * BURST_TIME.total_seconds()
        self.tokens = min(capacity, self.tokens + self.rate * part * seconds)
        self.refilled_at = now


@attrs.define
class _Demand:
    """The permits that one entry wants for one key."""

    count: int
    sequence: int
    received_at: datetime.timedelta
    excluded: frozenset[str]


# By entry; the one that was granted a permit longest ago is first.
_Queue = collections.OrderedDict[str, _Demand]


@attrs.define
class LimitKeeper:
    """The buckets of all limits and the demand of all entries."""

    term: int = 0
    started_at: datetime.timedelta = datetime.timedelta(0)
    # Permits granted since the start of the process.
    granted: int = 0
    _grants_from: datetime.timedelta = datetime.timedelta(0)
    _grant_due: datetime.timedelta = datetime.timedelta(0)
    _bucket_by_upstream: dict[str, _Bucket] = attrs.field(factory=dict)
    _waiting_by_key: dict[limits.Key, _Queue] = attrs.field(factory=dict)
    _expected_by_key: dict[limits.Key, _Queue] = attrs.field(factory=dict)

    def start(self, term: int, now: datetime.timedelta) -> None:
        """Starts granting in a new term, with empty buckets."""
        self.term = term
        self.started_at = now
        self._grants_from = now + TAKEOVER_WAIT
        self._bucket_by_upstream.clear()
        self._waiting_by_key.clear()
        self._expected_by_key.clear()

    # ---- Demand ---------------------------------------------------------

    def receive_request(
        self,
        entry: str,
        request: fleetmessages.PermitRequest,
        now: datetime.timedelta,
    ) -> None:
        """Replaces the demand of an entry; it keeps its place in queues."""
        waiting: dict[limits.Key, _Demand] = {}
        expected: dict[limits.Key, _Demand] = {}
        for want in request.wants:
            key = (want.service, want.model)
            excluded = frozenset(want.excluded)
            for demand_by_key, count in (
                (waiting, want.waiting),
                (expected, want.expected),
            ):
                if count > 0:
                    demand_by_key[key] = _Demand(
                        count, request.sequence, now, excluded
                    )
        _replace(self._waiting_by_key, entry, waiting)
        _replace(self._expected_by_key, entry, expected)

    def remove_entry(self, entry: str) -> None:
        """Drops the demand of an entry whose link is down."""
        _replace(self._waiting_by_key, entry, {})
        _replace(self._expected_by_key, entry, {})

    # ---- Granting -------------------------------------------------------

    def charge(self, upstream: str) -> None:
        """Counts a request that needs no permit, such as an order.

        It is never held back; fewer permits are granted after it.
        """
        bucket = self._bucket_by_upstream.get(upstream)
        if bucket is not None:
            bucket.tokens -= 1.0

    def due(self, now: datetime.timedelta) -> bool:
        """Returns whether permits may be granted again."""
        return now >= self._grant_due

    def grant(
        self,
        table: limits.LimitTable,
        keys: typing.Callable[[str, int], typing.Sequence[limits.Key]],
        part: float,
        now: datetime.timedelta,
    ) -> dict[str, fleetmessages.PermitGrant]:
        """Returns the grants to send now, by entry.

        `keys` returns what an upstream serves; `part` is the share of every
        limit that is not reserved for isolated entries.
        """
        self._grant_due = now + GRANT_INTERVAL
        self._update_buckets(table, part, now)
        if now < self._grants_from:
            return {}
        granted: dict[tuple[str, int], collections.Counter[str]] = {}
        # The fullest buckets first: they lose what flows over.
        names = sorted(
            self._bucket_by_upstream,
            key=lambda name: -self._bucket_by_upstream[name].tokens,
        )
        for name in names:
            bucket = self._bucket_by_upstream[name]
            incarnation = table.by_upstream[name].incarnation
            while bucket.tokens >= 1.0:
                taken = self._take(name, keys(name, incarnation), now)
                if taken is None:
                    break
                bucket.tokens -= 1.0
                self.granted += 1
                granted.setdefault(taken, collections.Counter())[name] += 1
        return self._grants(granted, table)

    def _update_buckets(
        self, table: limits.LimitTable, part: float, now: datetime.timedelta
    ) -> None:
        buckets: dict[str, _Bucket] = {}
        for name, limit in table.by_upstream.items():
            rate = limits.requests_per_second(limit.rate or 0.0)
            bucket = self._bucket_by_upstream.get(name)
            if bucket is None:
                bucket = _Bucket(rate, now)
            bucket.rate = rate
            bucket.refill(part, now)
            buckets[name] = bucket
        self._bucket_by_upstream = buckets

    def _take(
        self,
        upstream: str,
        keys: typing.Sequence[limits.Key],
        now: datetime.timedelta,
    ) -> tuple[str, int] | None:
        """Returns an entry and its request to grant a permit; None if none.

        Requests that wait go before those that are only expected.
        """
        for queue_by_key in (self._waiting_by_key, self._expected_by_key):
            for key in keys:
                queue = queue_by_key.get(key)
                taken = _take_first(queue, upstream, now) if queue else None
                if taken is not None:
                    return taken
        return None

    def _grants(
        self,
        granted: dict[tuple[str, int], collections.Counter[str]],
        table: limits.LimitTable,
    ) -> dict[str, fleetmessages.PermitGrant]:
        return {
            entry: fleetmessages.PermitGrant(
                self.term,
                sequence,
                [
                    fleetmessages.Permit(
                        name, table.by_upstream[name].incarnation, count
                    )
                    for name, count in sorted(counts.items())
                ],
            )
            for (entry, sequence), counts in granted.items()
        }


def _replace(
    queue_by_key: dict[limits.Key, _Queue],
    entry: str,
    demand_by_key: dict[limits.Key, _Demand],
) -> None:
    """Replaces what an entry wants; empty queues are removed."""
    for key, queue in list(queue_by_key.items()):
        if key not in demand_by_key and queue.pop(entry, None) and not queue:
            del queue_by_key[key]
    for key, demand in demand_by_key.items():
        queue_by_key.setdefault(key, collections.OrderedDict())[entry] = demand


def _take_first(
    queue: _Queue, upstream: str, now: datetime.timedelta
) -> tuple[str, int] | None:
    """Takes one permit for the first entry in the queue that can use it."""
    expired = []
    found = None
    for entry, demand in queue.items():
        if now - demand.received_at > limits.REQUEST_VALIDITY:
            expired.append(entry)
        elif upstream not in demand.excluded:
            found = entry
            break
    for entry in expired:
        del queue[entry]
    if found is None:
        return None
    demand = queue[found]
    demand.count -= 1
    if demand.count:
        queue.move_to_end(found)
    else:
        del queue[found]
    return found, demand.sequence
