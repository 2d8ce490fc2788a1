"""Crashes of upstreams and answers, as evidence is kept of them."""

import collections
import datetime
import typing

import attrs

from figford import fleetmessages

# Answers older than this clear nothing. Crashes older than this do not count
# against parts, nor as the first of two crashes of a request.
RETENTION = datetime.timedelta(minutes=10)
# For the third crash of a request they do.
MAX_AGE = datetime.timedelta(hours=24)
# Parts, and as many requests, so that ever new requests push out no parts.
MAX_TRAITS = 4096
SURVIVALS_PER_TRAIT = 8
# A connection that is still open after this time was accepted by the upstream
# itself, not closed by what is in between.
ACCEPTED_TIME = datetime.timedelta(milliseconds=20)


@attrs.define
class Crash:
    """One crash and the requests of all entries that were beginning."""

    at: datetime.timedelta
    suspect_by_request: dict[str, fleetmessages.Suspect] = attrs.field(
        factory=dict
    )
    # Others don't count yet: the upstream may be alive.
    confirmed: bool = True
    # When the suspects were sent whose connections were closed at once.
    _closed_sent_at: dict[str, datetime.timedelta] = attrs.field(factory=dict)

    def add_suspect(
        self,
        suspect: fleetmessages.Suspect,
        closed_sent_at: datetime.timedelta | None,
    ) -> None:
        """Adds a request that was beginning.

        `closed_sent_at` is when it was sent if its connection was closed at
        once, None if the upstream had accepted it.
        """
        request = suspect.request
        is_new = request not in self.suspect_by_request
        self.suspect_by_request.setdefault(request, suspect)
        if closed_sent_at is None:
            self._closed_sent_at.pop(request, None)
        elif is_new or request in self._closed_sent_at:
            self._closed_sent_at[request] = min(
                closed_sent_at,
                self._closed_sent_at.get(request, closed_sent_at),
            )

    def remove_late_suspects(self) -> None:
        """Removes what was sent after the crash, and so did not cause it.

        A proxy accepts connections for an upstream that has crashed, and
        closes them at once. What an upstream accepted itself stays: the first
        report may have been of a network fault.
        """
        for request, sent_at in list(self._closed_sent_at.items()):
            if sent_at > self.at:
                del self._closed_sent_at[request]
                del self.suspect_by_request[request]


@attrs.define
class Survivals:
    """The times of the latest answers with each trait, oldest first."""

    _times_by_trait: collections.OrderedDict[
        str, collections.deque[datetime.timedelta]
    ] = attrs.field(factory=collections.OrderedDict)

    def times(self, trait: str) -> typing.Sequence[datetime.timedelta]:
        """Returns the times of the latest answers with a trait."""
        return self._times_by_trait.get(trait, ())

    def add(self, trait: str, at: datetime.timedelta) -> None:
        """Adds the time of an answer."""
        times = self._times_by_trait.get(trait)
        if times is None:
            times = collections.deque(maxlen=SURVIVALS_PER_TRAIT)
            self._times_by_trait[trait] = times
        self._times_by_trait.move_to_end(trait)
        is_late = bool(times) and at < times[-1]
        times.append(at)
        if is_late:
            ordered = sorted(times)
            times.clear()
            times.extend(ordered)
        while len(self._times_by_trait) > MAX_TRAITS:
            self._times_by_trait.popitem(last=False)

    def were_forgotten(self, trait: str, at: datetime.timedelta) -> bool:
        """Returns whether more answers came since than are remembered."""
        times = self.times(trait)
        return len(times) == SURVIVALS_PER_TRAIT and at < times[0]

    def is_cleared(self, trait: str, at: datetime.timedelta) -> bool:
        """Returns whether an answer had cleared a trait by some time."""
        return self.were_forgotten(trait, at) or any(
            at - RETENTION < time <= at for time in self.times(trait)
        )

    def score(
        self,
        trait: str,
        weights: typing.Iterable[tuple[datetime.timedelta, float]],
    ) -> float:
        """Returns the cumulative sum of a trait's crashes and answers.

        `weights` are what crashes add, ordered by time. An answer takes one
        off, to zero at the least.
        """
        survivals = collections.deque(self.times(trait))
        score = 0.0
        for at, weight in weights:
            while survivals and survivals[0] <= at:
                survivals.popleft()
                score = max(0.0, score - 1.0)
            score += weight
        return max(0.0, score - len(survivals))
