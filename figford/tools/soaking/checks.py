"""Invariants of a deployment, checked against the state of the simulation."""

import collections
import datetime

import attrs

from figford import errors
from figford import membership
from figford.tools.soaking import schedule

# Simulated network delays add to the silence after which a member counts as
# missing.
NETWORK_SLACK = schedule.seconds(1.0)
MEMBER_SILENCE_TIMEOUT = membership.UPSTREAM_SILENCE_TIMEOUT + NETWORK_SLACK
LEAVING_BOUND = schedule.seconds(5)
PROPAGATION_BOUND = schedule.seconds(13)


class ViolationError(errors.FigfordError):
    """An invariant was violated."""


@attrs.define
class Checks:
    """Records events and raises ViolationError if an invariant is violated."""

    clock: schedule.VirtualClock
    document_by_version: dict[int, str] = attrs.field(factory=dict)
    accepted_at_by_version: dict[int, datetime.timedelta] = attrs.field(
        factory=dict
    )
    runs_by_call: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    not_run_calls: set[str] = attrs.field(factory=set)
    counts: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def fail(self, message: str) -> None:
        """Raises ViolationError with the virtual time."""
        raise ViolationError(f"at {self.clock.now()}: {message}")

    # ---- Configuration --------------------------------------------------

    def check_document(self, entry: str, version: int, document: str) -> None:
        """Checks that a version has the same document everywhere."""
        known = self.document_by_version.setdefault(version, document)
        if known != document:
            self.fail(f"version {version} at {entry} has another document")

    def check_version_increases(
        self, entry: str, before: int, after: int
    ) -> None:
        """Checks that an entry only moves to a higher version."""
        if after <= before:
            self.fail(f"{entry} went from version {before} to {after}")

    def check_serving_version(
        self, entry: str, version: int, started_at: datetime.timedelta
    ) -> None:
        """Checks that a restarted entry doesn't serve with a stale version.

        Once a quorum confirmed the entry's version, each version that was
        accepted before its start must be in force there.
        """
        highest = self.highest_accepted_before(started_at)
        if version < highest:
            self.fail(
                f"{entry} serves with version {version}; {highest} was"
                " accepted before it started"
            )

    def check_single_planner(
        self, data_centre: str, holders: list[str]
    ) -> None:
        """Checks that at most one entry is the planner of a data centre."""
        if len(holders) > 1:
            self.fail(f"{data_centre} has several planners: {holders}")

    def record_accepted(self, version: int, document: str) -> None:
        """Records that an operator's submission was acknowledged."""
        self.accepted_at_by_version.setdefault(version, self.clock.now())
        self.check_document("operator", version, document)
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

    def check_member_seated(
        self,
        group: str,
        member: str,
        last_seated: datetime.timedelta | None,
    ) -> None:
        """Checks that a request goes to a group with all its members."""
        if last_seated is None:
            self.fail(f"{member} was never a member of {group}")
        elif self.clock.now() - last_seated > MEMBER_SILENCE_TIMEOUT:
            self.fail(f"{group} is sent a request while {member} is missing")
        self.counts["members checked"] += 1

    def check_not_leaving(
        self, upstream: str, since: datetime.timedelta
    ) -> None:
        """Checks that a leaving upstream soon gets no new requests."""
        if self.clock.now() - since > LEAVING_BOUND:
            self.fail(f"{upstream} gets new requests although it is leaving")

    def check_no_streams_aborted(self, engine: str, streams: int) -> None:
        """Checks that an order to a healthy group interrupts no request."""
        if streams:
            self.fail(
                f"a planned change interrupted {streams} requests at {engine}"
            )

    # ---- Calls ----------------------------------------------------------

    def record_run(self, call: str) -> None:
        """Records that a service ran a non-repeatable call."""
        self.runs_by_call[call] += 1
        self.counts["calls run"] += 1
        if self.runs_by_call[call] > 1:
            self.fail(f"{call} ran twice")

    def check_not_refused(self, attempt: str) -> None:
        """Checks that an attempt refused as not run is not delivered."""
        if attempt in self.not_run_calls:
            self.fail(
                f"{attempt} was delivered after being refused as not run"
            )

    def record_refused_not_run(self, attempt: str, was_run: bool) -> None:
        """Records a refusal that says that the call was not run."""
        if was_run:
            self.fail(f"{attempt} was refused as not run but ran")
        self.not_run_calls.add(attempt)
        self.counts["refused as not run"] += 1

    def check_answer(self, request: str, actual: str, expected: str) -> None:
        """Checks an answer that the caller received as complete."""
        if actual != expected:
            self.fail(f"{request} got a wrong answer")
        self.counts["whole answers"] += 1
