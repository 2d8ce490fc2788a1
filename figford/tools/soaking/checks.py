"""What must always hold, checked against the truth that the soak knows."""

import collections
import datetime

import attrs

from figford import errors
from figford import membership
from figford.tools.soaking import schedule

# Virtual network delays add to the silence after which a member is missing.
NETWORK_SLACK = schedule.seconds(1.0)
SILENCE_BOUND = membership.UPSTREAM_SILENCE_TIMEOUT + NETWORK_SLACK
LEAVING_BOUND = schedule.seconds(5)
SPREAD_BOUND = schedule.seconds(13)


class ViolationError(errors.FigfordError):
    """Something that must always hold did not."""


@attrs.define
class Checks:
    """Collects what happened and raises ViolationError on a breach."""

    clock: schedule.Schedule
    document_by_version: dict[int, str] = attrs.field(factory=dict)
    accepted_at_by_version: dict[int, datetime.timedelta] = attrs.field(
        factory=dict
    )
    runs_by_call: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    not_run_calls: set[str] = attrs.field(factory=set)
    counts: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def fail(self, what: str) -> None:
        """Raises ViolationError."""
        raise ViolationError(f"at {self.clock.now()}: {what}")

    # ---- Configuration --------------------------------------------------

    def in_force(self, entry: str, version: int, document: str) -> None:
        """Checks that a version is the same document everywhere."""
        known = self.document_by_version.setdefault(version, document)
        if known != document:
            self.fail(f"version {version} at {entry} is another document")

    def version_rises(self, entry: str, before: int, after: int) -> None:
        """Checks that an entry never goes to a lower version."""
        if after <= before:
            self.fail(f"{entry} went from version {before} to {after}")

    def served_by(
        self, entry: str, version: int, started_at: datetime.timedelta
    ) -> None:
        """Checks that a restarted entry serves by no older version.

        What was accepted before it started must be in force when it
        serves, since a quorum told it so.
        """
        highest = self.highest_accepted_before(started_at)
        if version < highest:
            self.fail(
                f"{entry} serves by version {version}; {highest} was"
                " accepted before it started"
            )

    def planners(self, data_centre: str, holders: list[str]) -> None:
        """Checks that at most one entry plans a data centre."""
        if len(holders) > 1:
            self.fail(f"{data_centre} has the planners {holders}")

    def accepted(self, version: int, document: str) -> None:
        """Notes that an operator was told a version was accepted."""
        self.accepted_at_by_version.setdefault(version, self.clock.now())
        self.in_force("operator", version, document)
        self.counts["accepted"] += 1

    def highest_accepted_before(self, time: datetime.timedelta) -> int:
        """Returns the highest version accepted before a time."""
        return max(
            (
                version
                for version, at in self.accepted_at_by_version.items()
                if at <= time
            ),
            default=0,
        )

    # ---- Groups ---------------------------------------------------------

    def member_used(
        self,
        group: str,
        member: str,
        last_seated: datetime.timedelta | None,
    ) -> None:
        """Checks that work goes to a group whose members are there."""
        if last_seated is None:
            self.fail(f"{member} never was in {group}")
        elif self.clock.now() - last_seated > SILENCE_BOUND:
            self.fail(f"{group} is sent work while {member} is missing")
        self.counts["work on members"] += 1

    def leaving_used(self, upstream: str, since: datetime.timedelta) -> None:
        """Checks that a leaving upstream gets no new work for long."""
        if self.clock.now() - since > LEAVING_BOUND:
            self.fail(f"{upstream} is leaving and gets new work")

    def planned_cut(self, engine: str, streams: int) -> None:
        """Checks that an order to a healthy group cuts no request."""
        if streams:
            self.fail(f"a planned change cut {streams} requests at {engine}")

    # ---- Calls ----------------------------------------------------------

    def ran(self, call: str) -> None:
        """Notes that a service ran a call that may not be repeated."""
        self.runs_by_call[call] += 1
        self.counts["calls run"] += 1
        if self.runs_by_call[call] > 1:
            self.fail(f"{call} ran twice")

    def delivered(self, attempt: str) -> None:
        """Checks that a call refused as not run is never sent."""
        if attempt in self.not_run_calls:
            self.fail(f"{attempt} was refused as not run and ran")

    def refused_not_run(self, attempt: str, was_sent: bool) -> None:
        """Notes a refusal that says the request was not run."""
        if was_sent:
            self.fail(f"{attempt} ran and was refused as not run")
        self.not_run_calls.add(attempt)
        self.counts["refused as not run"] += 1

    def answered(self, what: str, found: str, wanted: str) -> None:
        """Checks an answer that the caller was told is whole."""
        if found != wanted:
            self.fail(f"{what} got a wrong answer")
        self.counts["whole answers"] += 1
