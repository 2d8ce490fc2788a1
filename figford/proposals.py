"""Routing of commands to the leader and of their outcomes back.

All commands are idempotent, so the entry where a command originates
retransmits it until it has an outcome or its deadline passes.
"""

import datetime

import attrs

from figford import effects
from figford import messages

RETRY_INTERVAL = datetime.timedelta(milliseconds=300)
RELAY_TTL = datetime.timedelta(seconds=30)
MAX_HOPS = 3


@attrs.define
class _LocalProposal:
    command: messages.Command
    deadline: datetime.timedelta
    next_try: datetime.timedelta


@attrs.define
class _RelayedProposal:
    source: str
    expires_at: datetime.timedelta


@attrs.define
class ProposalTracker:
    """Tracks the proposals that this entry originates or relays."""

    _local_by_proposal: dict[str, _LocalProposal] = attrs.field(factory=dict)
    _relayed_by_proposal: dict[str, _RelayedProposal] = attrs.field(
        factory=dict
    )

    def start(
        self,
        proposal: str,
        command: messages.Command,
        deadline: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Adds a command of this entry, which `due` then returns."""
        self._local_by_proposal[proposal] = _LocalProposal(
            command, deadline, now
        )

    def cancel(self, proposal: str) -> None:
        """Stops retransmitting a command of this entry."""
        self._local_by_proposal.pop(proposal, None)

    def due(self, now: datetime.timedelta) -> list[messages.Proposal]:
        """Returns the proposals to send now, new ones and retries."""
        ready = []
        for proposal, local in self._local_by_proposal.items():
            if now >= local.next_try:
                local.next_try = now + RETRY_INTERVAL
                ready.append(
                    messages.Proposal(proposal, local.command, MAX_HOPS)
                )
        return ready

    def relay(
        self,
        proposal: messages.Proposal,
        source: str,
        now: datetime.timedelta,
    ) -> messages.Proposal | None:
        """Records where the result is to go; returns the proposal to forward.

        Returns None if the hop limit is reached.
        """
        self._relayed_by_proposal[proposal.proposal] = _RelayedProposal(
            source, now + RELAY_TTL
        )
        if proposal.hops_left == 0:
            return None
        return attrs.evolve(proposal, hops_left=proposal.hops_left - 1)

    def route_result(
        self, result: messages.ProposalResult
    ) -> list[effects.Effect]:
        """Routes a result to the origin of the command or the next hop."""
        relayed = self._relayed_by_proposal.pop(result.proposal, None)
        if relayed is not None:
            return [effects.SendPeer(relayed.source, result)]
        if isinstance(result.outcome, messages.Undecided):
            # The outcome is unknown; the next retry may reach the leader.
            return []
        if self._local_by_proposal.pop(result.proposal, None) is None:
            return []
        return [effects.Decided(result.proposal, result.outcome)]

    def expire(self, now: datetime.timedelta) -> list[effects.Effect]:
        """Fails commands past their deadline and drops expired relays."""
        overdue = [
            proposal
            for proposal, local in self._local_by_proposal.items()
            if now >= local.deadline
        ]
        for proposal in overdue:
            del self._local_by_proposal[proposal]
        for proposal, relayed in list(self._relayed_by_proposal.items()):
            if now >= relayed.expires_at:
                del self._relayed_by_proposal[proposal]
        return [effects.Decided(proposal, None) for proposal in overdue]
