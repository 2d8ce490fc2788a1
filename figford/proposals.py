"""Commands on their way to the leader, and outcomes on their way back.

All commands are idempotent, so the entry where a command starts sends it
again until it has an outcome or its deadline passes.
"""

import datetime

import attrs

from figford import effects
from figford import messages

RETRY_EVERY = datetime.timedelta(milliseconds=300)
RELAY_LIFE = datetime.timedelta(seconds=30)
HOPS = 3


@attrs.define
class _Own:
    command: messages.Command
    deadline: datetime.timedelta
    next_try: datetime.timedelta


@attrs.define
class _Relayed:
    came_from: str
    expires_at: datetime.timedelta


@attrs.define
class ProposalDesk:
    """The proposals that this entry started or passes on."""

    _own_by_proposal: dict[str, _Own] = attrs.field(factory=dict)
    _relayed_by_proposal: dict[str, _Relayed] = attrs.field(factory=dict)

    def start(
        self,
        proposal: str,
        command: messages.Command,
        deadline: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Takes on a command of this entry; `due` hands it out."""
        self._own_by_proposal[proposal] = _Own(command, deadline, now)

    def cancel(self, proposal: str) -> None:
        """Stops sending a command of this entry."""
        self._own_by_proposal.pop(proposal, None)

    def due(self, now: datetime.timedelta) -> list[messages.Proposal]:
        """Returns the proposals to be sent, again or for the first time."""
        ready = []
        for proposal, own in self._own_by_proposal.items():
            if now >= own.next_try:
                own.next_try = now + RETRY_EVERY
                ready.append(messages.Proposal(proposal, own.command, HOPS))
        return ready

    def relay(
        self,
        proposal: messages.Proposal,
        came_from: str,
        now: datetime.timedelta,
    ) -> messages.Proposal | None:
        """Notes where a result is to go; returns what to pass on.

        None where it was forwarded too often.
        """
        self._relayed_by_proposal[proposal.proposal] = _Relayed(
            came_from, now + RELAY_LIFE
        )
        if proposal.hops_left == 0:
            return None
        return attrs.evolve(proposal, hops_left=proposal.hops_left - 1)

    def result(self, result: messages.ProposalResult) -> list[effects.Effect]:
        """Takes a result to the command's origin, here or further on."""
        relayed = self._relayed_by_proposal.pop(result.proposal, None)
        if relayed is not None:
            return [effects.SendPeer(relayed.came_from, result)]
        if isinstance(result.outcome, messages.Undecided):
            # Nothing is known yet; the next retry may find the leader.
            return []
        if self._own_by_proposal.pop(result.proposal, None) is None:
            return []
        return [effects.Decided(result.proposal, result.outcome)]

    def expire(self, now: datetime.timedelta) -> list[effects.Effect]:
        """Gives up commands past their deadline; forgets old relays."""
        late = [
            proposal
            for proposal, own in self._own_by_proposal.items()
            if now >= own.deadline
        ]
        for proposal in late:
            del self._own_by_proposal[proposal]
        for proposal, relayed in list(self._relayed_by_proposal.items()):
            if now >= relayed.expires_at:
                del self._relayed_by_proposal[proposal]
        return [effects.Decided(proposal, None) for proposal in late]
