"""Whether an entry's configuration is recent enough to serve callers.

A started entry serves no calls until it has the version that a quorum
confirmed. If it can't reach a quorum, it needs the highest version reported
in its data centre, and must hear a majority of the entries there. An entry
that hears neither stops serving.
"""

import datetime

import attrs

from figford import messages

# How long a started entry waits for a quorum before it relies on a majority
# of its data centre's entries.
QUORUM_WAIT = datetime.timedelta(seconds=3)
VERSION_QUERY_INTERVAL = datetime.timedelta(milliseconds=500)
VERSION_QUERY_TIMEOUT = datetime.timedelta(milliseconds=450)


@attrs.frozen
class Reachability:
    """Whether an entry hears a quorum, and which peers it hears.

    `electorate` names the data centre's entries, `live` the entries there
    that are heard, this entry included; `highest_version` is the highest
    version that any peer of the data centre reports.
    """

    hears_quorum: bool
    electorate: frozenset[str]
    live: frozenset[str]
    highest_version: int

    @property
    def hears_majority(self) -> bool:
        """Returns whether most of the data centre's entries are heard."""
        if not self.electorate:
            return False
        return 2 * len(self.live & self.electorate) > len(self.electorate)

    @property
    def is_isolated(self) -> bool:
        """Returns whether neither a quorum nor a majority is heard."""
        return not self.hears_quorum and not self.hears_majority


@attrs.define
class Readiness:
    """Decides whether this entry's configuration is confirmed as current."""

    started_at: datetime.timedelta
    confirmed: bool = False
    _required_version: int | None = None
    _query_due: datetime.timedelta = datetime.timedelta(0)

    @property
    def confirmed_by_quorum(self) -> bool:
        """Returns whether a quorum, not only peers, reported a version."""
        return self._required_version is not None

    def version_query_due(self, now: datetime.timedelta) -> bool:
        """Returns whether a version query to a quorum is due now."""
        if self.confirmed or now < self._query_due:
            return False
        self._query_due = now + VERSION_QUERY_INTERVAL
        return True

    def record_quorum_reply(self, outcome: messages.Outcome | None) -> None:
        """Records the version that a quorum confirmed, if it replied."""
        match outcome:
            case messages.VersionInForce(version):
                self._required_version = version

    def review(
        self, version: int, reachability: Reachability, now: datetime.timedelta
    ) -> None:
        """Confirms this entry's version once it is known to be current."""
        if self._required_version is not None:
            # A quorum's reply overrides a confirmation by the peers.
            self.confirmed = version >= self._required_version
            return
        if self.confirmed:
            return
        waited = now - self.started_at >= QUORUM_WAIT
        if waited and reachability.hears_majority:
            self.confirmed = version >= reachability.highest_version

    def revoke_confirmation(self, now: datetime.timedelta) -> None:
        """Requires a new confirmation, as after a pause or isolation."""
        self.confirmed = False
        self._required_version = None
        self.started_at = now
        self._query_due = now
