"""The permits of an entry for requests to upstreams with a limit.

While the entry hears the keeper, it requests permits by what waits and what
it expects. While it doesn't, it has only those of its time slots.
"""

import collections
import datetime
import math

import attrs

from figford import fleetmessages
from figford import limits

# Requests for permits are sent at most this often, and repeated while nothing
# changes after RENEWAL_INTERVAL, before the keeper drops them.
REQUEST_INTERVAL = datetime.timedelta(milliseconds=100)
RENEWAL_INTERVAL = datetime.timedelta(milliseconds=400)
# Sent requests that may still be granted.
MAX_OUTSTANDING_REQUESTS = 16
# A slot's permit is valid for as long as the slot, within these bounds. The
# lower one is several ticks of the forwarder.
MIN_SLOT_VALIDITY = datetime.timedelta(milliseconds=250)
MAX_SLOT_VALIDITY = limits.PERMIT_VALIDITY


@attrs.frozen
class _Slot:
    """The slots of this entry, and when those with the number 0 began."""

    index: int
    entries: int
    origin: datetime.timedelta

    def count(
        self, rate: float, since: datetime.timedelta, until: datetime.timedelta
    ) -> int:
        """Returns how many of the entry's slots began in a span.

        >>> slot = _Slot(1, 3, datetime.timedelta(0))
        >>> second = datetime.timedelta(seconds=1)
        >>> [slot.count(2.0, i * second, (i + 1) * second) for i in range(4)]
        [1, 1, 0, 1]
        """
        return self._begun(rate, until) - self._begun(rate, since)

    def _begun(self, rate: float, at: datetime.timedelta) -> int:
        number = (at - self.origin).total_seconds() * rate
        return math.floor((number - self.index) / self.entries)


@attrs.define
class Permits:
    """The limits that an entry knows and the permits that it holds."""

    table: limits.LimitTable = attrs.field(factory=limits.LimitTable)
    # The keeper's instance; None until one was heard.
    keeper: str | None = None
    term: int = 0
    rejected: int = 0
    _keeper_heard_at: datetime.timedelta = datetime.timedelta(0)
    _slot: _Slot | None = None
    _slots_issued_at: datetime.timedelta = datetime.timedelta(0)
    # When each permit expires, by upstream.
    _expiries_by_upstream: dict[str, list[datetime.timedelta]] = attrs.field(
        factory=dict
    )
    _sequence: int = 0
    _sent_at_by_sequence: collections.OrderedDict[int, datetime.timedelta] = (
        attrs.field(factory=collections.OrderedDict)
    )
    _sent_wants: list[fleetmessages.PermitWant] = attrs.field(factory=list)
    _request_due: datetime.timedelta = datetime.timedelta(0)
    _renewal_due: datetime.timedelta = datetime.timedelta(0)

    # ---- Limits ---------------------------------------------------------

    def apply(self, limit: fleetmessages.UpstreamLimit) -> bool:
        """Applies a limit or its end; returns whether that changes it."""
        known = self.table.by_upstream.get(limit.upstream)
        if not self.table.apply(limit):
            return False
        if limit.rate is None or (
            known is not None and known.incarnation != limit.incarnation
        ):
            self._expiries_by_upstream.pop(limit.upstream, None)
        return True

    def limited(self, upstream: str, incarnation: int) -> bool:
        """Returns whether requests to an upstream need permits."""
        return self.table.rate(upstream, incarnation) is not None

    # ---- Permits --------------------------------------------------------

    def held(self, upstream: str, now: datetime.timedelta) -> int:
        """Returns the number of permits for an upstream."""
        expiries = self._expiries_by_upstream.get(upstream)
        if not expiries:
            return 0
        return sum(expires_at > now for expires_at in expiries)

    def withdraw(
        self, upstream: str, incarnation: int, now: datetime.timedelta
    ) -> None:
        """Spends a permit if the upstream has a limit."""
        if not self.limited(upstream, incarnation):
            return
        expiries = self._expiries_by_upstream.get(upstream, [])
        valid = sorted(item for item in expiries if item > now)
        if not valid:
            raise AssertionError("a request to a limited upstream needs one")
        self._expiries_by_upstream[upstream] = valid[1:]

    def receive_grant(
        self,
        instance: str,
        grant: fleetmessages.PermitGrant,
        now: datetime.timedelta,
    ) -> bool:
        """Takes the keeper's permits; returns whether any is of use."""
        sent_at = self._sent_at_by_sequence.get(grant.sequence)
        if instance != self.keeper or grant.term != self.term:
            sent_at = None
        if sent_at is None or now - sent_at >= limits.PERMIT_VALIDITY:
            self.rejected += sum(permit.count for permit in grant.permits)
            return False
        taken = False
        for permit in grant.permits:
            if self.limited(permit.upstream, permit.incarnation):
                expiries = [sent_at + limits.PERMIT_VALIDITY] * permit.count
                self._add(permit.upstream, expiries, now)
                taken = True
        return taken

    def _add(
        self,
        upstream: str,
        expiries: list[datetime.timedelta],
        now: datetime.timedelta,
    ) -> None:
        valid = [
            item
            for item in self._expiries_by_upstream.get(upstream, ())
            if item > now
        ]
        self._expiries_by_upstream[upstream] = valid + expiries

    # ---- Requests to the keeper -----------------------------------------

    def keeper_heard(
        self, instance: str, term: int, now: datetime.timedelta
    ) -> None:
        """Records a sign of a keeper; one of an earlier term is ignored."""
        if term < self.term:
            return
        if instance != self.keeper or term != self.term:
            self._sent_wants = []
            self._renewal_due = now
        self.keeper, self.term = instance, term
        self._keeper_heard_at = now

    def hears_keeper(
        self, now: datetime.timedelta, timeout: datetime.timedelta
    ) -> bool:
        """Returns whether a sign of a keeper is no older than `timeout`."""
        return (
            self.keeper is not None and now - self._keeper_heard_at <= timeout
        )

    def may_request(self, now: datetime.timedelta) -> bool:
        """Returns whether a request could be sent to the keeper now."""
        return self.keeper is not None and now >= self._request_due

    def request(
        self,
        wants: list[fleetmessages.PermitWant],
        now: datetime.timedelta,
    ) -> fleetmessages.PermitRequest | None:
        """Returns a request to send to the keeper if one is due."""
        if not self.may_request(now) or not (wants or self._sent_wants):
            return None
        if wants == self._sent_wants and now < self._renewal_due:
            return None
        self._sequence += 1
        self._sent_at_by_sequence[self._sequence] = now
        if len(self._sent_at_by_sequence) > MAX_OUTSTANDING_REQUESTS:
            self._sent_at_by_sequence.popitem(last=False)
        self._sent_wants = wants
        self._request_due = now + REQUEST_INTERVAL
        self._renewal_due = now + RENEWAL_INTERVAL
        return fleetmessages.PermitRequest(self._sequence, wants)

    # ---- Isolation ------------------------------------------------------

    def assign_slot(
        self,
        instance: str,
        slot: fleetmessages.PermitSlot,
        now: datetime.timedelta,
    ) -> None:
        """Takes the slots that the keeper assigned."""
        if instance == self.keeper and slot.term == self.term:
            self._slot = _Slot(slot.index, slot.entries, now - slot.elapsed)

    def is_isolated(self, now: datetime.timedelta) -> bool:
        """Returns whether this entry uses its slots."""
        silence = now - self._keeper_heard_at
        return (
            self._slot is not None
            and limits.ISOLATION_TIMEOUT < silence < limits.ISOLATED_SERVICE
        )

    def issue_slots(self, now: datetime.timedelta) -> bool:
        """Adds the permits of slots that began; returns whether there are any.

        Those of an earlier time are lost.
        """
        since, self._slots_issued_at = self._slots_issued_at, now
        if self._slot is None or not self.is_isolated(now):
            return False
        since = max(since, self._keeper_heard_at + limits.ISOLATION_TIMEOUT)
        added = False
        for limit in self.table.all():
            rate = limits.requests_per_second(limit.rate or 0.0)
            length = datetime.timedelta(seconds=1 / rate)
            validity = min(max(length, MIN_SLOT_VALIDITY), MAX_SLOT_VALIDITY)
            begun = self._slot.count(rate, max(since, now - validity), now)
            if begun > 0:
                expiries = [now + validity] * begun
                self._add(limit.upstream, expiries, now)
                added = True
        return added
