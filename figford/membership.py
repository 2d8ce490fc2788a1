"""Tables of the other entries and of the upstreams of the data centre.

There is no central list of upstreams. An announcement reaches one entry,
which forwards it to the others of its data centre. A message of an older
incarnation, or an older message of the same one, never replaces newer state.
"""

import datetime
import typing

import attrs
import xxhash

from figford import codec
from figford import messages

# An upstream or peer that is silent this long counts as missing.
UPSTREAM_SILENCE_TIMEOUT = datetime.timedelta(seconds=3)
PEER_SILENCE_TIMEOUT = datetime.timedelta(seconds=3)
# A missing upstream or peer is removed from its table after this time.
MISSING_RETENTION = datetime.timedelta(minutes=30)
# Window of the minimum delay; clocks drift by some milliseconds within it.
DELAY_WINDOW = datetime.timedelta(seconds=60)
_MILLISECOND = datetime.timedelta(milliseconds=1)
BATCH_INTERVAL = datetime.timedelta(milliseconds=250)
# Messages that arrive this soon after a pause may have been buffered.
SETTLE_AFTER_PAUSE = datetime.timedelta(seconds=1)


@attrs.define
class KnownPeer:
    """An entry and the time of its last message on a direct link."""

    peer: messages.Peer
    heard_at: datetime.timedelta | None = None


@attrs.define
class DelayTracker:
    """Estimates from the upstream's clock how late announcements arrive.

    The baseline is the minimum delay of the current and the previous
    window, so that only the difference of the clocks' rates matters, not
    their values.
    """

    _minimum_delay: float | None = None
    _previous_minimum: float | None = None
    _window_started_at: datetime.timedelta = datetime.timedelta(0)

    def excess_delay(
        self,
        clock_ms: int,
        now: datetime.timedelta,
        age: datetime.timedelta = datetime.timedelta(0),
    ) -> datetime.timedelta:
        """Returns by how much an announcement's delay exceeds the baseline.

        The age that another entry tells may be that of an announcement before
        this one, so it does not lower the baseline.
        """
        if not clock_ms:
            return datetime.timedelta(0)
        delay = (now - age).total_seconds() - clock_ms / 1000
        if age:
            return self._excess(delay)
        if now - self._window_started_at > DELAY_WINDOW:
            self._previous_minimum = self._minimum_delay
            self._minimum_delay = None
            self._window_started_at = now
        if self._minimum_delay is None or delay < self._minimum_delay:
            self._minimum_delay = delay
        return self._excess(delay)

    def _excess(self, delay: float) -> datetime.timedelta:
        minima = (self._minimum_delay, self._previous_minimum)
        known = [minimum for minimum in minima if minimum is not None]
        baseline = min(known, default=delay)
        return datetime.timedelta(seconds=max(0.0, delay - baseline))


@attrs.define
class KnownUpstream:
    """An upstream and the estimated time of its last announcement."""

    announcement: messages.Announcement
    heard_at: datetime.timedelta
    delay_tracker: DelayTracker = attrs.field(factory=DelayTracker)
    digest: int = 0


def _recency(item: messages.Peer | messages.Announcement | messages.Beat):
    return item.incarnation, item.sequence


@attrs.define
class PeerTable:
    """The entries of the deployment, by instance."""

    me: messages.Peer
    by_instance: dict[str, KnownPeer] = attrs.field(factory=dict)
    stale_messages: int = 0

    def update(self, peer: messages.Peer) -> bool:
        """Stores a peer's description; returns whether it was newer."""
        if peer.instance == self.me.instance:
            return False
        known = self.by_instance.get(peer.instance)
        if known is None:
            self.by_instance[peer.instance] = KnownPeer(peer)
            return True
        if _recency(peer) <= _recency(known.peer):
            self.stale_messages += _recency(peer) < _recency(known.peer)
            return False
        restarted = peer.incarnation != known.peer.incarnation
        known.peer = peer
        if restarted:
            known.heard_at = None
        return True

    def update_from_pulse(
        self, instance: str, state: messages.PeerState, now: datetime.timedelta
    ) -> messages.Peer | None:
        """Applies a heartbeat; returns the peer with its new state."""
        known = self.by_instance.get(instance)
        if known is None:
            return None
        peer = attrs.evolve(
            known.peer,
            sequence=state.sequence,
            version=state.version,
            draining=state.draining,
            hears_quorum=state.hears_quorum,
        )
        self.update_from_peer(peer, now)
        return peer

    def update_from_peer(
        self, peer: messages.Peer, now: datetime.timedelta
    ) -> bool:
        """Stores a description that the peer itself sent."""
        fresh = self.update(peer)
        known = self.by_instance.get(peer.instance)
        if known and known.peer.incarnation == peer.incarnation:
            known.heard_at = now
        return fresh

    def is_live(self, instance: str, now: datetime.timedelta) -> bool:
        """Returns whether a peer was heard within its silence timeout."""
        known = self.by_instance.get(instance)
        if known is None or known.heard_at is None:
            return False
        return now - known.heard_at <= PEER_SILENCE_TIMEOUT

    def live(self, now: datetime.timedelta) -> list[messages.Peer]:
        """Returns the live peers, sorted by instance."""
        return [
            known.peer
            for instance, known in sorted(self.by_instance.items())
            if self.is_live(instance, now)
        ]

    def live_in(
        self, data_centre: str, now: datetime.timedelta
    ) -> list[messages.Peer]:
        """Returns the live peers of a data centre, sorted by instance."""
        return [
            peer for peer in self.live(now) if peer.data_centre == data_centre
        ]

    def instance_of_voter(self, voter: str) -> str | None:
        """Returns the instance whose disk has this voter name."""
        if voter == self.me.voter:
            return self.me.instance
        for known in self.by_instance.values():
            if known.peer.voter == voter:
                return known.peer.instance
        return None

    def all_peers(self) -> list[messages.Peer]:
        """Returns this entry and all peers that it knows."""
        return [self.me] + [known.peer for known in self.by_instance.values()]

    def evict_missing(self, now: datetime.timedelta) -> None:
        """Removes peers that have been missing for `MISSING_RETENTION`."""
        for instance, known in list(self.by_instance.items()):
            if known.heard_at is None:
                continue
            if now - known.heard_at > MISSING_RETENTION:
                del self.by_instance[instance]


@attrs.define
class UpstreamTable:
    """The upstreams of this data centre, by name."""

    data_centre: str
    by_name: dict[str, KnownUpstream] = attrs.field(factory=dict)
    stale_messages: int = 0
    revision: int = 0
    ended_silences: list[datetime.timedelta] = attrs.field(factory=list)
    _resumed_at: datetime.timedelta = datetime.timedelta(0)
    _settled_at: datetime.timedelta = datetime.timedelta(0)
    _outgoing_by_name: dict[str, messages.Announcement] = attrs.field(
        factory=dict
    )
    _beats_by_name: dict[str, messages.Beat] = attrs.field(factory=dict)
    _batch_due: datetime.timedelta = datetime.timedelta(0)
    _queries: set[str] = attrs.field(factory=set)

    def announce(
        self,
        announcement: messages.Announcement,
        now: datetime.timedelta,
        first_hand: bool,
        age: datetime.timedelta = datetime.timedelta(0),
    ) -> bool:
        """Stores an announcement; returns whether anything but load changed.

        One that came directly from the upstream (`first_hand`) is queued
        for the other entries. `age` is the time since the sender heard it.
        """
        known = self.by_name.get(announcement.upstream)
        if known and _recency(announcement) <= _recency(known.announcement):
            self.stale_messages += 1
            return False
        changed = known is None or _differs(known.announcement, announcement)
        if known is None or (
            known.announcement.incarnation < announcement.incarnation
        ):
            known = self._new_upstream(announcement, now - age)
        if changed:
            known.digest = announcement_digest(announcement)
            self.revision += 1
        self._refresh(known, announcement, now, age)
        if first_hand:
            self._queue(known, changed)
        return changed

    def _new_upstream(
        self, announcement: messages.Announcement, heard_at: datetime.timedelta
    ) -> KnownUpstream:
        if heard_at < self._settled_at:
            heard_at -= UPSTREAM_SILENCE_TIMEOUT
        known = KnownUpstream(announcement, heard_at)
        self.by_name[announcement.upstream] = known
        return known

    def beat(self, beat: messages.Beat, now: datetime.timedelta) -> bool:
        """Applies a heartbeat; returns whether its announcement is known."""
        known = self.by_name.get(beat.upstream)
        if known is None:
            return False
        announcement = known.announcement
        if beat.incarnation == announcement.incarnation and (
            beat.sequence <= announcement.sequence
        ):
            self.stale_messages += 1
            return True
        if beat.incarnation < announcement.incarnation:
            self.stale_messages += 1
            return True
        if beat.digest != known.digest:
            return False
        announcement = attrs.evolve(
            announcement,
            sequence=beat.sequence,
            load=beat.load,
            clock_ms=beat.clock_ms,
        )
        self._refresh(known, announcement, now, datetime.timedelta(0))
        return True

    def _refresh(
        self,
        known: KnownUpstream,
        announcement: messages.Announcement,
        now: datetime.timedelta,
        age: datetime.timedelta,
    ) -> None:
        known.announcement = announcement
        excess = known.delay_tracker.excess_delay(
            announcement.clock_ms, now, age
        )
        if now < self._settled_at:
            return
        sent_at = now - age - excess
        silence = sent_at - known.heard_at
        if silence > UPSTREAM_SILENCE_TIMEOUT:
            self.ended_silences.append(silence)
            self.revision += 1
        known.heard_at = max(known.heard_at, sent_at)

    def _queue(self, known: KnownUpstream, changed: bool) -> None:
        announcement = known.announcement
        name = announcement.upstream
        if changed or name in self._outgoing_by_name:
            self._outgoing_by_name[name] = announcement
            self._beats_by_name.pop(name, None)
            return
        self._beats_by_name[name] = messages.Beat(
            name,
            announcement.incarnation,
            announcement.sequence,
            announcement.load,
            known.digest,
            announcement.clock_ms,
        )

    def take_batch(
        self, now: datetime.timedelta
    ) -> messages.Announcements | None:
        """Returns the messages to forward to the data centre, if any are due.

        Changes are sent immediately, unchanged heartbeats in batches.
        """
        due = self._beats_by_name and now >= self._batch_due
        if not self._outgoing_by_name and not due:
            return None
        batch = messages.Announcements(
            full=list(self._outgoing_by_name.values()),
            beats=list(self._beats_by_name.values()),
        )
        self._outgoing_by_name.clear()
        self._beats_by_name.clear()
        self._batch_due = now + BATCH_INTERVAL
        return batch

    def fresh_announcements(
        self, names: typing.Iterable[str], now: datetime.timedelta
    ) -> messages.Announcements | None:
        """Returns announcements and their ages, of fresh upstreams only."""
        fresh = [
            self.by_name[name] for name in names if self.is_fresh(name, now)
        ]
        if not fresh:
            return None
        return messages.Announcements(
            full=[known.announcement for known in fresh],
            beats=[],
            ages_ms=[
                (now - known.heard_at) // _MILLISECOND for known in fresh
            ],
        )

    def process_resumed(self, now: datetime.timedelta) -> None:
        """Starts a period in which messages do not refresh an upstream.

        Messages that arrive right after a pause may have been buffered.
        """
        self._resumed_at = now
        self._settled_at = now + SETTLE_AFTER_PAUSE

    def is_fresh(self, name: str, now: datetime.timedelta) -> bool:
        """Returns whether an upstream was heard within its silence timeout."""
        known = self.by_name.get(name)
        return known is not None and (
            now - known.heard_at <= UPSTREAM_SILENCE_TIMEOUT
        )

    def is_silent(self, name: str, now: datetime.timedelta) -> bool:
        """Returns whether an upstream was silent for its silence timeout.

        The time for which this process was suspended does not count.
        """
        known = self.by_name.get(name)
        if known is None:
            return True
        since = max(known.heard_at, self._resumed_at)
        return now - since > UPSTREAM_SILENCE_TIMEOUT

    def fresh(self, now: datetime.timedelta) -> list[messages.Announcement]:
        """Returns the announcements of all fresh upstreams."""
        return [
            known.announcement
            for known in self.by_name.values()
            if now - known.heard_at <= UPSTREAM_SILENCE_TIMEOUT
        ]

    def next_expiry(
        self, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns when the next fresh upstream will count as missing."""
        times = [
            known.heard_at + UPSTREAM_SILENCE_TIMEOUT
            for known in self.by_name.values()
            if now - known.heard_at <= UPSTREAM_SILENCE_TIMEOUT
        ]
        return min(times, default=None)

    def evict_missing(self, now: datetime.timedelta) -> None:
        """Removes upstreams that have been missing for `MISSING_RETENTION`."""
        for name, known in list(self.by_name.items()):
            if now - known.heard_at > MISSING_RETENTION:
                del self.by_name[name]
                self.revision += 1


def _without_heartbeat_fields(
    announcement: messages.Announcement,
) -> messages.Announcement:
    """Returns a copy without the fields that change with every heartbeat."""
    return attrs.evolve(
        announcement, sequence=0, load=messages.Load(), clock_ms=0
    )


def _differs(old: messages.Announcement, new: messages.Announcement) -> bool:
    return _without_heartbeat_fields(old) != _without_heartbeat_fields(new)


def announcement_digest(announcement: messages.Announcement) -> int:
    """Returns a digest of all fields that a beat does not carry."""
    encoded = codec.encode(
        _without_heartbeat_fields(announcement), messages.Announcement
    )
    return xxhash.xxh32_intdigest(encoded)
