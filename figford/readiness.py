"""Whether an entry may serve callers by the configuration that it holds.

A started entry serves nothing until it holds the version that a quorum
confirmed or, cut off from it, the highest among most entries of its data
centre. An entry that hears neither stops serving.
"""

import datetime

import attrs

from figford import messages

# How long a started entry looks for a quorum before its data centre's
# entries are enough.
QUORUM_WAIT = datetime.timedelta(seconds=3)
ASK_EVERY = datetime.timedelta(milliseconds=500)
ASK_TIMEOUT = datetime.timedelta(milliseconds=450)


@attrs.frozen
class Reachability:
    """Whom an entry hears: a quorum, and peers of its data centre.

    `electorate` names the data centre's entries, `live` those of them that
    are heard, this entry included; `highest_version` is the highest that
    any peer of the data centre says it has.
    """

    hears_quorum: bool
    electorate: frozenset[str]
    live: frozenset[str]
    highest_version: int

    @property
    def hears_majority(self) -> bool:
        """Returns whether most entries of the data centre are heard."""
        if not self.electorate:
            return False
        return 2 * len(self.live & self.electorate) > len(self.electorate)

    @property
    def is_isolated(self) -> bool:
        """Returns whether neither a quorum nor most peers are heard."""
        return not self.hears_quorum and not self.hears_majority


@attrs.define
class Readiness:
    """Decides whether the configuration at hand can be trusted."""

    started_at: datetime.timedelta
    confirmed: bool = False
    _required_version: int | None = None
    _ask_due: datetime.timedelta = datetime.timedelta(0)

    @property
    def confirmed_by_quorum(self) -> bool:
        """Returns whether a quorum, not the peers, gave confirmation."""
        return self._required_version is not None

    def ask_due(self, now: datetime.timedelta) -> bool:
        """Returns whether to ask a quorum for its version now."""
        if self.confirmed or now < self._ask_due:
            return False
        self._ask_due = now + ASK_EVERY
        return True

    def record_quorum_reply(self, outcome: messages.Outcome | None) -> None:
        """Notes a quorum's answer, if there was one."""
        match outcome:
            case messages.VersionInForce(version):
                self._required_version = version

    def review(
        self, version: int, reachability: Reachability, now: datetime.timedelta
    ) -> None:
        """Confirms the version held once it is known to be current."""
        if self._required_version is not None:
            # A quorum's word counts even after the peers' was taken.
            self.confirmed = version >= self._required_version
            return
        if self.confirmed:
            return
        waited = now - self.started_at >= QUORUM_WAIT
        if waited and reachability.hears_majority:
            self.confirmed = version >= reachability.highest_version

    def revoke_confirmation(self, now: datetime.timedelta) -> None:
        """Asks for confirmation again, as after a pause or being alone."""
        self.confirmed = False
        self._required_version = None
        self.started_at = now
        self._ask_due = now
