"""The planner lease of one data centre.

A lease is granted by a majority of the votes of the data centre's entries.
If their number is even, the replicated log adds one witness vote. Lease
numbers only increase; they are the high bits of the fencing numbers of
orders.
"""

import datetime
import random

import attrs

from figford import messages

DURATION = datetime.timedelta(seconds=4)
RENEWAL_INTERVAL = datetime.timedelta(seconds=1)
# The holder stops this long before its votes expire, to allow for clock drift.
SAFETY_MARGIN = datetime.timedelta(milliseconds=400)
# Time for the other entries' votes to arrive before a candidate adds its own
# vote and requests the witness vote.
OWN_VOTE_DELAY = datetime.timedelta(milliseconds=300)
CANDIDACY_JITTER = datetime.timedelta(seconds=1)
# The low bits of a fencing number hold the sequence number of the order
# within its lease.
SEQUENCE_BITS = 24

WITNESS = "witness"


def fence(number: int, sequence: int) -> int:
    """Returns the fencing number of an order under a lease.

    >>> fence(2, 1) > fence(1, 9000)
    True
    """
    if sequence >= 1 << SEQUENCE_BITS:
        raise AssertionError("too many orders under one lease")
    return (number << SEQUENCE_BITS) | sequence


def electorate_size(entries: list[str]) -> int:
    """Returns the number of votes, with the witness if entries are even.

    >>> electorate_size(["a", "b"]), electorate_size(["a", "b", "c"])
    (3, 3)
    """
    return len(entries) + (len(entries) + 1) % 2


@attrs.define
class LeaseVoter:
    """One entry's vote, kept in memory only.

    A restarted voter has lost the vote that it gave, so it waits for a full
    lease duration before it votes again.
    """

    started_at: datetime.timedelta
    holder: tuple[str, int] | None = None
    number: int = 0
    expires_at: datetime.timedelta = datetime.timedelta(0)
    waits_after_start: bool = True

    def vote(
        self, request: messages.LeaseRequest, now: datetime.timedelta
    ) -> bool:
        """Returns whether the vote is granted for the requested duration."""
        if self._is_waiting(now):
            return False
        candidate = (request.candidate, request.incarnation)
        if request.number < self.number:
            return False
        if self.holder != candidate and (
            now < self.expires_at or request.number == self.number
        ):
            return False
        self.holder = candidate
        self.number = request.number
        self.expires_at = now + request.duration
        return True

    def observe_number(self, number: int) -> None:
        """Records a lease number; later votes are for higher numbers only."""
        if number > self.number and self.holder is None:
            self.number = number

    def is_free(self, now: datetime.timedelta) -> bool:
        """Returns whether this entry can vote for a new candidate."""
        if self._is_waiting(now):
            return False
        return now >= self.expires_at

    def _is_waiting(self, now: datetime.timedelta) -> bool:
        return self.waits_after_start and now - self.started_at < DURATION


@attrs.define
class LeaseCandidate:
    """One entry's attempts to acquire and renew the planner lease."""

    instance: str
    incarnation: int
    data_centre: str
    rng: random.Random
    number: int = 0
    valid_until: datetime.timedelta = datetime.timedelta(0)
    held_since: datetime.timedelta | None = None
    round: int = 0
    _sent_at: datetime.timedelta = datetime.timedelta(0)
    _next_attempt: datetime.timedelta = datetime.timedelta(0)
    _votes: set[str] = attrs.field(factory=set)
    _highest_seen: int = 0
    _lapsed_round: int = 0
    _candidacy_at: datetime.timedelta | None = None

    def holds(self, now: datetime.timedelta) -> bool:
        """Returns whether this entry holds the lease now."""
        return self.held_since is not None and now < self.valid_until

    def observe_number(self, number: int) -> None:
        """Records a lease number that another candidate used."""
        self._highest_seen = max(self._highest_seen, number)

    def next_request(
        self, now: datetime.timedelta, own_vote_free: bool
    ) -> messages.LeaseRequest | None:
        """Returns a request for all voters if one is due.

        `own_vote_free` tells whether this entry's own vote is not granted
        to another candidate.
        """
        if self.held_since is not None and now >= self.valid_until:
            self._mark_lapsed()
        holding = self.held_since is not None
        if not holding and not self._candidacy_delay_passed(
            own_vote_free, now
        ):
            return None
        if now < self._next_attempt:
            return None
        if not holding and self.number <= self._highest_seen:
            self.number = self._highest_seen + 1
        self.round += 1
        self._votes = set()
        self._sent_at = now
        self._next_attempt = now + RENEWAL_INTERVAL
        if not holding:
            # Votes that this round wins without a majority must expire
            # first, or two candidates could block each other for ever.
            self._next_attempt = now + DURATION * (1 + self.rng.random())
        return messages.LeaseRequest(
            data_centre=self.data_centre,
            candidate=self.instance,
            incarnation=self.incarnation,
            number=self.number,
            round=self.round,
            duration=DURATION,
        )

    def _candidacy_delay_passed(
        self, own_vote_free: bool, now: datetime.timedelta
    ) -> bool:
        """Returns whether the own vote has been free for a random delay.

        All votes become free at about the same time; without the delay
        the candidates would split the votes repeatedly.
        """
        if not own_vote_free:
            self._candidacy_at = None
            return False
        if self._candidacy_at is None:
            self._candidacy_at = now + CANDIDACY_JITTER * self.rng.random()
        return now >= self._candidacy_at

    def count_vote(
        self,
        vote: messages.LeaseVote,
        electorate: list[str],
        now: datetime.timedelta,
    ) -> None:
        """Counts a vote; `electorate` names the data centre's entries."""
        self.observe_number(vote.number)
        if self.held_since is not None and now >= self.valid_until:
            # An expired lease is acquired again only under a new number.
            self._mark_lapsed()
        if vote.incarnation != self.incarnation or not vote.granted:
            return
        if vote.round != self.round or self._lapsed_round == self.round:
            return
        if vote.voter not in electorate and vote.voter != WITNESS:
            return
        self._votes.add(vote.voter)
        if not self._has_majority(electorate):
            return
        until = self._sent_at + DURATION - SAFETY_MARGIN
        if now >= until:
            return
        if self.held_since is None:
            self.held_since = now
            self._next_attempt = self._sent_at + RENEWAL_INTERVAL
            self._highest_seen = max(self._highest_seen, self.number)
        self.valid_until = max(self.valid_until, until)

    def _has_majority(self, electorate: list[str]) -> bool:
        return 2 * len(self._votes) > electorate_size(electorate)

    def needs_own_vote(
        self, electorate: list[str], now: datetime.timedelta
    ) -> bool:
        """Returns whether the candidate should vote for itself now.

        It does so only if its vote completes a majority, or if its vote
        and the witness vote do and OWN_VOTE_DELAY has passed. A vote given
        earlier would be unavailable to other candidates, round after round.
        """
        if self.instance in self._votes or not self._round_is_open:
            return False
        missing_votes = electorate_size(electorate) // 2 + 1 - len(self._votes)
        if missing_votes <= 1:
            return True
        witness_may_help = len(electorate) % 2 == 0
        waited = now - self._sent_at >= OWN_VOTE_DELAY
        return missing_votes == 2 and witness_may_help and waited

    @property
    def _round_is_open(self) -> bool:
        return self.round > 0 and self._lapsed_round != self.round

    def needs_witness_vote(self, electorate: list[str]) -> bool:
        """Returns whether only the witness vote is missing for a majority."""
        if WITNESS in self._votes or len(electorate) % 2:
            return False
        return 2 * (len(self._votes) + 1) > electorate_size(electorate) and (
            not self._has_majority(electorate)
        )

    def _mark_lapsed(self) -> None:
        self.held_since = None
        self._lapsed_round = self.round

    def release(self) -> None:
        """Stops holding the lease, as on a graceful shutdown."""
        self.held_since = None
        self.valid_until = datetime.timedelta(0)
