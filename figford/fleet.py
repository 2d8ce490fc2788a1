"""The table of upstreams that controllers keep and entries receive.

An upstream reports to any one of the controllers. Changes are forwarded
immediately; reports that only show that an upstream is alive are exchanged in
batches among controllers. The newest report by incarnation and sequence wins,
whichever process forwarded it. A beat shows that an upstream is alive, but not
what its reports said, so it leaves the sequence of the content as it is. A
sign-off is final for its incarnation; it has no sequence and is merged into
whatever report is known, or arrives later.
"""

import datetime

import attrs

from figford import fleetmessages
from figford import signoffs

# Upstreams report every 1.2 s; one report may be lost and the next late.
SILENCE_TIMEOUT = datetime.timedelta(seconds=3.2)
# A longer gap between two reports ends the contact with an upstream.
CONTACT_GAP = datetime.timedelta(seconds=2)
# How long an ended upstream stays in the table, so that a report that was
# delayed in the network does not restore it.
ENDED_RETENTION = datetime.timedelta(minutes=10)
# A process that signed off has exited after this time.
SIGNED_OFF_RETENTION = datetime.timedelta(seconds=30)
# The number of upstreams not known to have ended that a process without beats
# keeps.
MAX_PRESENT = 10_000


@attrs.define
class UpstreamRecord:
    """An upstream and when a report of it last reached this process.

    `registration` keeps the sequence of the report whose content it holds;
    `heard_sequence` is that of the newest report or beat. Since
    `in_touch_since` there was no gap between them.
    """

    registration: fleetmessages.Registration
    heard_at: datetime.timedelta
    in_touch_since: datetime.timedelta
    signed_off_at: datetime.timedelta | None = None
    heard_sequence: int = attrs.field(init=False)
    known_since: datetime.timedelta = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Starts with the sequence and time of the first report."""
        self.heard_sequence = self.registration.sequence
        self.known_since = self.heard_at

    def record_sequence(self, sequence: int, now: datetime.timedelta) -> None:
        """Records a report or beat; only a newer one shows a live process."""
        if sequence > self.heard_sequence:
            self.heard_sequence = sequence
            if now - self.heard_at >= CONTACT_GAP:
                self.in_touch_since = now
            self.heard_at = now


def _without_sequence(
    item: fleetmessages.Registration,
) -> fleetmessages.Registration:
    return attrs.evolve(item, sequence=0)


@attrs.define
class FleetTable:
    """Upstreams by name; `revision` increases with every change."""

    by_name: dict[str, UpstreamRecord] = attrs.field(factory=dict)
    revision: int = 0
    stale_reports: int = 0
    sign_offs: signoffs.SignOffTable = attrs.field(
        factory=signoffs.SignOffTable
    )
    _name_by_address: dict[str, str] = attrs.field(factory=dict)

    def report(
        self,
        registration: fleetmessages.Registration,
        now: datetime.timedelta,
    ) -> bool:
        """Applies a report; returns whether more than the sequence changed."""
        known = self.by_name.get(registration.upstream)
        incarnation = known.registration.incarnation if known else None
        if known is not None and incarnation == registration.incarnation:
            return self._merge(known, registration, now)
        if (
            incarnation is not None and registration.incarnation < incarnation
        ) or self._address_was_taken_over(registration):
            self.stale_reports += 1
            return False
        if known is not None:
            self._release_address(known)
        if self.sign_offs.covers(
            registration.upstream, registration.incarnation
        ):
            registration = attrs.evolve(
                registration, leaving=True, signed_off=True
            )
        signed_off_at = now if registration.signed_off else None
        self.by_name[registration.upstream] = UpstreamRecord(
            registration, now, now, signed_off_at
        )
        self._assign_address(registration, now)
        self.revision += 1
        return True

    def _merge(
        self,
        known: UpstreamRecord,
        registration: fleetmessages.Registration,
        now: datetime.timedelta,
    ) -> bool:
        """Merges a report into the record of the same incarnation."""
        if known.registration.gone:
            # The end of an incarnation is final.
            self.stale_reports += 1
            return False
        signed_off = registration.signed_off and self._mark_signed_off(
            known, now
        )
        # The process ran on if a beat is newer than the report of its end.
        outlived = (
            registration.gone and registration.sequence < known.heard_sequence
        )
        if (
            registration.sequence <= known.registration.sequence
            or outlived
            or self._address_was_taken_over(registration)
        ):
            self.stale_reports += 1
            return signed_off
        if known.registration.signed_off:
            registration = attrs.evolve(
                registration, leaving=True, signed_off=True
            )
        changed = _without_sequence(known.registration) != _without_sequence(
            registration
        )
        if changed:
            self._release_address(known)
        known.registration = registration
        known.record_sequence(registration.sequence, now)
        if changed:
            self.revision += 1
            self._assign_address(registration, now)
        return changed or signed_off

    def _address_was_taken_over(
        self, registration: fleetmessages.Registration
    ) -> bool:
        other = self.by_name.get(
            self._name_by_address.get(registration.address, "")
        )
        return (
            other is not None
            and other.registration.upstream != registration.upstream
            and other.registration.incarnation > registration.incarnation
        )

    def _assign_address(
        self,
        registration: fleetmessages.Registration,
        now: datetime.timedelta,
    ) -> None:
        """Assigns an address and ends any older upstream that had it."""
        previous = self._name_by_address.get(registration.address)
        self._name_by_address[registration.address] = registration.upstream
        if previous is None or previous == registration.upstream:
            return
        known = self.by_name[previous]
        if not known.registration.gone:
            self._mark_ended(known)
            known.heard_at = now

    def _release_address(self, known: UpstreamRecord) -> None:
        """Forgets who has an address, before its upstream changes or goes."""
        address = known.registration.address
        if self._name_by_address.get(address) == known.registration.upstream:
            del self._name_by_address[address]

    def _mark_ended(self, known: UpstreamRecord) -> None:
        """Marks the process of an upstream as ended."""
        if not known.registration.gone:
            known.registration = attrs.evolve(
                known.registration, leaving=True, gone=True, seat=None
            )
            self.revision += 1

    def beat(
        self,
        upstream: str,
        incarnation: int,
        sequence: int,
        now: datetime.timedelta,
    ) -> None:
        """Applies a heartbeat that another controller received."""
        known = self.by_name.get(upstream)
        if known is None or known.registration.gone:
            return
        if known.registration.incarnation == incarnation:
            known.record_sequence(sequence, now)

    def sign_off(
        self,
        sign_off: signoffs.SignOff,
        now: datetime.timedelta,
        age: datetime.timedelta = datetime.timedelta(0),
    ) -> bool:
        """Marks an upstream as signed off; returns whether that is new.

        Its process may continue with work in progress for a while. It need
        not be known: the sign-off is kept for reports that still arrive.
        """
        is_new = self.sign_offs.add(sign_off, now, age)
        known = self.by_name.get(sign_off.upstream)
        if known is None or not sign_off.covers(
            known.registration.incarnation,
            was_known=known.known_since <= now - age,
        ):
            return is_new
        return self._mark_signed_off(known, now) or is_new

    def apply_sign_offs(
        self, told: signoffs.SignOffs, now: datetime.timedelta
    ) -> list[str]:
        """Applies what another process told; returns what was new of it."""
        return [
            sign_off.upstream
            for sign_off, age_ms in zip(told.sign_offs, told.ages_ms)
            if self.sign_off(
                sign_off, now, datetime.timedelta(milliseconds=age_ms)
            )
        ]

    def _mark_signed_off(
        self, known: UpstreamRecord, now: datetime.timedelta
    ) -> bool:
        if known.registration.signed_off:
            return False
        known.registration = attrs.evolve(
            known.registration, leaving=True, signed_off=True
        )
        known.signed_off_at = now
        self.revision += 1
        return True

    def is_silent(self, upstream: str, now: datetime.timedelta) -> bool:
        """Returns whether an upstream is unknown or has timed out."""
        known = self.by_name.get(upstream)
        return known is None or now - known.heard_at > SILENCE_TIMEOUT

    def has_ended(self, upstream: str, incarnation: int) -> bool:
        """Returns whether an incarnation is known to have ended."""
        known = self.by_name.get(upstream)
        return known is not None and (
            known.registration.incarnation > incarnation
            or known.registration.gone
        )

    def is_heard_since(
        self, upstream: str, incarnation: int, at: datetime.timedelta
    ) -> bool:
        """Returns whether a report of an incarnation came after some time."""
        known = self.by_name.get(upstream)
        return (
            known is not None
            and known.registration.incarnation == incarnation
            and known.heard_at > at
        )

    def present(self) -> list[fleetmessages.Registration]:
        """Returns all upstreams that have not ended, sorted by name."""
        return [
            self.by_name[name].registration
            for name in sorted(self.by_name)
            if not self.by_name[name].registration.gone
        ]

    def all_registrations(self) -> list[fleetmessages.Registration]:
        """Returns all upstreams, including ended ones."""
        return [known.registration for known in self.by_name.values()]

    def evict_ended(self, now: datetime.timedelta) -> None:
        """Removes upstreams that have been silent for `ENDED_RETENTION`.

        For a process that receives all beats. Signed-off ones count as ended
        `SIGNED_OFF_RETENTION` after their sign-off or their last report,
        whichever is later.
        """
        self.sign_offs.evict(now)
        for known in list(self.by_name.values()):
            if known.signed_off_at is not None:
                last_sign = max(known.heard_at, known.signed_off_at)
                if now - last_sign > SIGNED_OFF_RETENTION:
                    self._mark_ended(known)
            if now - known.heard_at > ENDED_RETENTION:
                self._remove(known)

    def evict_told_ended(self, now: datetime.timedelta) -> None:
        """Removes upstreams whose end this process was told long ago.

        For a process that receives changes but no beats: to it, an upstream
        that is alive and does not change is silent. Upstreams that crash may
        never be reported as ended; above `MAX_PRESENT`, those with the
        oldest news are removed.
        """
        self.sign_offs.evict(now)
        not_ended = []
        for known in list(self.by_name.values()):
            if not (known.registration.gone or known.registration.signed_off):
                not_ended.append(known)
                continue
            told_at = max(
                known.heard_at, known.signed_off_at or known.heard_at
            )
            if now - told_at > ENDED_RETENTION:
                self._remove(known)
        excess = len(not_ended) - MAX_PRESENT
        if excess > 0:
            not_ended.sort(key=lambda known: known.heard_at)
            for known in not_ended[:excess]:
                self._remove(known)
            self.revision += 1

    def _remove(self, known: UpstreamRecord) -> None:
        self._release_address(known)
        del self.by_name[known.registration.upstream]
