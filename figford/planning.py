"""Runs the planner of one entry while the entry holds the lease."""

import datetime
import random

import attrs

from figford import assembly
from figford import effects
from figford import leases
from figford import membership
from figford import messages
from figford import operators

PLAN_INTERVAL = datetime.timedelta(milliseconds=250)


@attrs.define
class Planning:
    """Requests the planner lease, and plans while holding it."""

    instance: str
    incarnation: int
    data_centre: str
    rng: random.Random
    started_at: datetime.timedelta
    voter: leases.LeaseVoter = attrs.field(init=False)
    candidate: leases.LeaseCandidate = attrs.field(init=False)
    planner: assembly.Planner = attrs.field(init=False)
    enabled: bool = True
    _plan_due: datetime.timedelta = datetime.timedelta(0)
    _lease_held: bool = False
    _witness_round: int = 0
    _request: messages.LeaseRequest | None = None

    def __attrs_post_init__(self) -> None:
        """Creates the voter, the candidate and the planner."""
        self.voter = leases.LeaseVoter(self.started_at)
        self.candidate = leases.LeaseCandidate(
            self.instance, self.incarnation, self.data_centre, self.rng
        )
        self.planner = assembly.Planner(self.instance, self.data_centre)

    def holds(self, now: datetime.timedelta) -> bool:
        """Returns whether this entry is the planner now."""
        return self._lease_held and self.candidate.holds(now)

    def observe_fence(self, fence: int) -> None:
        """Records a fencing number that an upstream announced."""
        number = fence >> leases.SEQUENCE_BITS
        self.candidate.observe_number(number)
        self.voter.observe_number(number)

    # ---- The lease ------------------------------------------------------

    def tick(
        self, electorate: list[str], now: datetime.timedelta
    ) -> list[effects.Effect]:
        """Requests votes when due; detects gain or loss of the lease."""
        result: list[effects.Effect] = []
        if self.enabled and self.instance in electorate:
            result += self._request_lease(electorate, now)
        return result + self._report_lease_change(now)

    def _request_lease(
        self, electorate: list[str], now: datetime.timedelta
    ) -> list[effects.Effect]:
        request = self.candidate.next_request(now, self.voter.is_free(now))
        if request is not None:
            self._request = request
        self._vote_for_itself(electorate, now)
        if request is None:
            return []
        return [
            effects.SendPeer(other, request)
            for other in electorate
            if other != self.instance
        ]

    def _vote_for_itself(
        self, electorate: list[str], now: datetime.timedelta
    ) -> None:
        """Adds this entry's own vote once it can decide the round."""
        if self._request is None:
            return
        if not self.candidate.needs_own_vote(electorate, now):
            return
        vote = self.answer(self._request, now)
        self.candidate.count_vote(vote, electorate, now)
        if not vote.granted:
            # The vote went to another candidate; this round is lost.
            self._request = None

    def answer(
        self, request: messages.LeaseRequest, now: datetime.timedelta
    ) -> messages.LeaseVote:
        """Returns this entry's vote on a request."""
        granted = self.voter.vote(request, now)
        return messages.LeaseVote(
            voter=self.instance,
            candidate=request.candidate,
            incarnation=request.incarnation,
            round=request.round,
            granted=granted,
            number=self.voter.number,
        )

    def count_vote(
        self,
        vote: messages.LeaseVote,
        electorate: list[str],
        now: datetime.timedelta,
    ) -> list[effects.Effect]:
        """Counts the vote of another entry or of the witness."""
        if not self.enabled:
            return []
        self.candidate.count_vote(vote, electorate, now)
        self._vote_for_itself(electorate, now)
        return self._report_lease_change(now)

    def witness_command(
        self, electorate: list[str]
    ) -> tuple[int, messages.GrantWitness] | None:
        """Returns the round and the command that requests the witness vote.

        The vote is requested once a round, when the entries' votes are one
        short of a majority.
        """
        current = self.candidate.round
        if self._witness_round == current:
            return None
        if not self.enabled or not self.candidate.needs_witness_vote(
            electorate
        ):
            return None
        self._witness_round = current
        return current, messages.GrantWitness(
            self.data_centre,
            f"{self.instance}@{self.incarnation}",
            self.candidate.number,
            leases.DURATION,
        )

    def witness_replied(
        self,
        round_: int,
        reply: messages.WitnessReply,
        electorate: list[str],
        now: datetime.timedelta,
    ) -> list[effects.Effect]:
        """Counts the witness's vote."""
        vote = messages.LeaseVote(
            leases.WITNESS,
            self.instance,
            self.incarnation,
            round_,
            reply.granted,
            reply.number,
        )
        return self.count_vote(vote, electorate, now)

    def _report_lease_change(
        self, now: datetime.timedelta
    ) -> list[effects.Effect]:
        holds = self.candidate.holds(now)
        if holds == self._lease_held:
            return []
        self._lease_held = holds
        if not holds:
            return [effects.StateChanged("planner lease lost")]
        self.planner.start(self.candidate.number, now)
        detail = (("number", self.candidate.number),)
        return [effects.StateChanged("planner lease held", detail)]

    # ---- Planning -------------------------------------------------------

    def plan(
        self,
        configuration: operators.Configuration,
        upstreams: membership.UpstreamTable,
        entries: frozenset[str],
        now: datetime.timedelta,
    ) -> list[assembly.Action]:
        """Returns the orders and drains that are due, if the lease is held."""
        silences = upstreams.ended_silences
        for silence in silences:
            self.planner.history.record_return(silence.total_seconds())
        silences.clear()
        if now < self._plan_due or not self.holds(now):
            return []
        self._plan_due = now + PLAN_INTERVAL
        view = make_view(configuration, upstreams, entries, now)
        return self.planner.plan(view, self.candidate.valid_until, now)

    def stop(self) -> None:
        """Gives up the lease and requests no other."""
        self.enabled = False
        self._lease_held = False
        self.candidate.release()


def make_view(
    configuration: operators.Configuration,
    upstreams: membership.UpstreamTable,
    entries: frozenset[str],
    now: datetime.timedelta,
) -> assembly.View:
    """Returns the planner's input at a point in time."""
    fresh = {}
    missing = {}
    silent_since = {}
    for name, known in sorted(upstreams.by_name.items()):
        if now - known.heard_at <= membership.UPSTREAM_SILENCE_TIMEOUT:
            fresh[name] = known.announcement
        else:
            missing[name] = known.announcement
            silent_since[name] = known.heard_at
    policies = configuration.policies or [operators.Policy(name="default")]
    return assembly.View(
        serving_groups=configuration.serving_groups,
        policy=policies[0],
        fresh=fresh,
        missing=missing,
        silent_since=silent_since,
        entries=entries,
    )
