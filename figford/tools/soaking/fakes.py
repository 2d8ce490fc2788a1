"""Fakes of disks, engines and services in virtual time."""

import datetime
import random
import typing

import attrs

from figford import effects
from figford import errors
from figford import messages
from figford.tools import engine as engines
from figford.tools.soaking import checks as oracle
from figford.tools.soaking import schedule
from figford import upstreams as upstream_client

HEARTBEAT_INTERVAL = schedule.seconds(1)
TOKEN_INTERVAL = schedule.seconds(0.08)
ANSWER_TOKENS = 12


@attrs.define(eq=False)
class FakeDisk:
    """A disk with a journal, whose unsynced tail is lost in a crash."""

    clock: schedule.VirtualClock
    records: list[messages.Record] = attrs.field(factory=list)
    _waiting: list[effects.PersistRecords | effects.RewriteJournal] = (
        attrs.field(factory=list)
    )
    _writing: list[effects.PersistRecords | effects.RewriteJournal] = (
        attrs.field(factory=list)
    )
    _generation: int = 0

    def submit(
        self,
        batch: effects.PersistRecords | effects.RewriteJournal,
        on_synced: typing.Callable[[effects.PersistRecords], None],
    ) -> None:
        """Queues a batch; calls back once its records are synced."""
        self._waiting.append(batch)
        if not self._writing:
            self._sync(on_synced)

    def _sync(
        self, on_synced: typing.Callable[[effects.PersistRecords], None]
    ) -> None:
        batches, self._waiting = self._waiting, []
        self._writing = batches
        generation = self._generation
        slow = self.clock.rng.random() < 0.01
        delay = (
            self.clock.jitter(0.2, 0.6)
            if slow
            else (self.clock.jitter(0.0005, 0.01))
        )

        def done() -> None:
            if generation == self._generation:
                self._finish(batches, on_synced)

        self.clock.after(delay, done)

    def _finish(
        self,
        batches: list[effects.PersistRecords | effects.RewriteJournal],
        on_synced: typing.Callable[[effects.PersistRecords], None],
    ) -> None:
        for batch in batches:
            if isinstance(batch, effects.RewriteJournal):
                self.records = list(batch.records)
            else:
                self.records.extend(batch.records)
        self._writing = []
        for batch in batches:
            if isinstance(batch, effects.PersistRecords):
                on_synced(batch)
        if self._waiting and not self._writing:
            self._sync(on_synced)

    def crash(self) -> None:
        """Drops all unsynced records but a random prefix of them."""
        self._generation += 1
        batches = [*self._writing, *self._waiting]
        self._writing = []
        self._waiting = []
        for batch in batches:
            if isinstance(batch, effects.RewriteJournal):
                # The old journal is kept until the new one is complete.
                return
            kept_count = self.clock.rng.randint(0, len(batch.records))
            self.records.extend(batch.records[:kept_count])
            if kept_count < len(batch.records):
                return

    def erase(self) -> None:
        """Drops all records, synced or not."""
        self.crash()
        self.records = []


@attrs.define(eq=False)
class FakeStream:
    """A model request in progress at an engine."""

    request: str
    prompt: str
    position: int
    receiver: upstream_client.StreamReceiver | None


Announce = typing.Callable[["FakeUpstream", messages.Announcement], None]


@attrs.define(eq=False)
class FakeUpstream:
    """The common base of the fakes of engines and services.

    `generation` changes at each start and kill, so that actions which an
    earlier process scheduled are ignored.
    """

    clock: schedule.VirtualClock
    checks: oracle.Checks
    name: str
    data_centre: str
    announce: Announce
    alive: bool = True
    paused: bool = False
    partitioned: bool = False
    leaving_since: datetime.timedelta | None = None
    incarnation: int = 1
    sequence: int = 0
    generation: int = 0

    @property
    def working(self) -> bool:
        """Returns whether the process runs and is not frozen."""
        return self.alive and not self.paused

    def start(self) -> None:
        """Starts the heartbeat of this process."""
        self.generation += 1
        self._repeat(HEARTBEAT_INTERVAL, self.send_announcement)

    def _repeat(
        self, interval: datetime.timedelta, action: typing.Callable[[], None]
    ) -> None:
        """Repeats an action until the process ends."""
        generation = self.generation

        def run_and_reschedule() -> None:
            if generation == self.generation:
                self.clock.after(interval, run_and_reschedule)
                action()

        self.clock.after(
            interval * self.clock.rng.random(), run_and_reschedule
        )

    def send_announcement(self) -> None:
        """Announces the current state, unless the process is frozen."""
        if not self.working:
            return
        self.sequence += 1
        self.announce(self, self.announcement())

    def announcement(self) -> messages.Announcement:
        """Returns the announcement of the upstream's current state."""
        raise NotImplementedError

    def clock_ms(self) -> int:
        """Returns the upstream's clock; its offset depends on the name."""
        offset = sum(self.name.encode()) * 1000
        return self.clock.now() // schedule.seconds(0.001) + offset

    def kill(self) -> None:
        """Kills the process."""
        self.generation += 1
        self.alive = False

    def restart(self) -> None:
        """Starts a new process with the next incarnation."""
        self.alive = True
        self.paused = False
        self.leaving_since = None
        self.incarnation += 1
        self.sequence = 0
        self.start()

    def pause(self) -> None:
        """Freezes the process."""
        self.paused = True

    def resume(self) -> None:
        """Unfreezes the process."""
        self.paused = False


@attrs.define(eq=False)
class FakeEngine(FakeUpstream):
    """An engine in virtual time.

    Checks compare the entries' view of a group with the engine's own seat.
    """

    domain: str = attrs.field(kw_only=True)
    checks_fencing: bool = attrs.field(kw_only=True)
    state: messages.UpstreamState = messages.UpstreamState.IDLE
    seat: messages.Seat | None = None
    highest_fence: int = 0
    models: list[str] = attrs.field(factory=list)
    streams: list[FakeStream] = attrs.field(factory=list)
    last_seated: dict[tuple[str, int], datetime.timedelta] = attrs.field(
        factory=dict
    )

    def start(self) -> None:
        """Starts heartbeats and token generation of this process."""
        super().start()
        self._repeat(TOKEN_INTERVAL, self._generate_tokens)

    def announcement(self) -> messages.Announcement:
        """Returns the announcement of the engine's current state."""
        self._record_seated()
        state = self.state
        if self.leaving_since is not None:
            state = messages.UpstreamState.LEAVING
        return messages.Announcement(
            upstream=self.name,
            incarnation=self.incarnation,
            sequence=self.sequence,
            data_centre=self.data_centre,
            fabric_domain=self.domain,
            address=self.name,
            kind=messages.UpstreamKind.ENGINE,
            state=state,
            checks_fencing=self.checks_fencing,
            models=list(self.models),
            seat=self.seat,
            highest_fence=self.highest_fence,
            load=messages.Load(running=len(self.streams)),
            clock_ms=self.clock_ms(),
        )

    def _record_seated(self) -> None:
        if self.seat is not None and self.alive:
            key = (self.seat.group, self.seat.fence)
            self.last_seated[key] = self.clock.now()

    def seated_at(self, group: str, fence: int) -> datetime.timedelta | None:
        """Returns when the engine last had a seat in a group."""
        if self.working and self.seat is not None:
            if (self.seat.group, self.seat.fence) == (group, fence):
                return self.clock.now()
        return self.last_seated.get((group, fence))

    # ---- Faults ---------------------------------------------------------

    def kill(self) -> None:
        """Kills the engine, which loses its seat and streams."""
        if self.working:
            self._record_seated()
        super().kill()
        self._abort_streams()
        self.seat = None

    def restart(self) -> None:
        """Starts a new process, idle and with no model loaded."""
        self.state = messages.UpstreamState.IDLE
        self.models = []
        self.highest_fence = 0
        super().restart()

    def pause(self) -> None:
        """Freezes the engine."""
        self._record_seated()
        super().pause()

    # ---- Orders ---------------------------------------------------------

    def carry_out_order(
        self, order: messages.Order, group_is_healthy: bool
    ) -> bool:
        """Carries out an order; returns whether it was accepted."""
        if not self.working:
            return False
        if self.checks_fencing and order.fence < self.highest_fence:
            return False
        self.highest_fence = max(self.highest_fence, order.fence)
        self._record_seated()
        match order:
            case messages.JoinGroup():
                self._join(order, group_is_healthy)
            case messages.ReleaseSeat(group=group):
                if self.seat is not None and self.seat.group == group:
                    if group_is_healthy:
                        self.checks.check_no_streams_aborted(
                            self.name, len(self.streams)
                        )
                    self.seat = None
                    self.state = messages.UpstreamState.IDLE
        self.send_announcement()
        return True

    def _join(self, order: messages.JoinGroup, group_is_healthy: bool) -> None:
        if self.seat == order.seat:
            return
        if group_is_healthy:
            self.checks.check_no_streams_aborted(self.name, len(self.streams))
        self._abort_streams()
        self.seat = order.seat
        self.state = messages.UpstreamState.LOADING
        generation = self.generation
        loaded = order.model in self.models
        delay = self.clock.jitter(0.05, 0.1 if loaded else 2.0)

        def ready() -> None:
            if generation != self.generation or self.seat != order.seat:
                return
            if order.model not in self.models:
                self.models.append(order.model)
            self.state = messages.UpstreamState.SERVING
            self.send_announcement()

        self.clock.after(delay, ready)

    # ---- Streams --------------------------------------------------------

    def open_stream(self, stream: FakeStream, group: str, fence: int) -> bool:
        """Starts a stream if the engine serves as rank 0 of that group.

        Returns whether it does.
        """
        seat = self.seat
        if seat is None or self.state is not messages.UpstreamState.SERVING:
            return False
        if (seat.group, seat.fence, seat.rank) != (group, fence, 0):
            return False
        if self.leaving_since is not None:
            self.checks.check_not_leaving(self.name, self.leaving_since)
        self.streams.append(stream)
        return True

    def _abort_streams(self) -> None:
        for stream in self.streams:
            self._end_stream(stream, upstream_client.BrokenAnswerError("cut"))
        self.streams = []

    def _end_stream(
        self, stream: FakeStream, error: errors.FigfordError | None
    ) -> None:
        receiver = stream.receiver

        def end() -> None:
            if receiver is not None and stream.receiver is receiver:
                stream.receiver = None
                receiver.stream_ended(error)

        self.clock.after(schedule.seconds(0.004), end)

    def _generate_tokens(self) -> None:
        if not self.working:
            return
        for stream in list(self.streams):
            if stream.receiver is None:
                self.streams.remove(stream)
                continue
            self._send_token(stream)

    def _send_token(self, stream: FakeStream) -> None:
        if stream.position >= ANSWER_TOKENS:
            piece = "[DONE]"
            self.streams.remove(stream)
        else:
            piece = engines.token_text(stream.prompt, stream.position)
        event = f"id: {stream.request}:{stream.position}\ndata: {piece}\n\n"
        stream.position += 1
        for data in self._with_delivery_faults(event.encode(), stream):
            self._deliver(stream, data)
        if stream not in self.streams:
            self._end_stream(stream, None)

    def _with_delivery_faults(
        self, event: bytes, stream: FakeStream
    ) -> list[bytes]:
        """Returns the chunks that arrive of an event.

        At random, an event is duplicated, preceded by an event of another
        request, split in two or lost.
        """
        rng: random.Random = self.clock.rng
        draw = rng.random()
        if draw < 0.02:
            return [event, event]
        if draw < 0.03:
            other = f"id: other-request:{stream.position}\ndata: x\n\n"
            return [other.encode(), event]
        if draw < 0.08:
            middle = rng.randint(1, len(event) - 1)
            return [event[:middle], event[middle:]]
        if draw < 0.083:
            return []
        return [event]

    def _deliver(self, stream: FakeStream, data: bytes) -> None:
        receiver = stream.receiver

        def arrive() -> None:
            if stream.receiver is receiver and receiver is not None:
                receiver.stream_data(data)

        # The chunks of a stream arrive in order, as on one connection.
        self.clock.after(schedule.seconds(0.002), arrive)


@attrs.define(eq=False)
class FakeService(FakeUpstream):
    """A plain service, which serves from its start until it leaves."""

    def announcement(self) -> messages.Announcement:
        """Returns the announcement of the service's current state."""
        state = messages.UpstreamState.SERVING
        if self.leaving_since is not None:
            state = messages.UpstreamState.LEAVING
        return messages.Announcement(
            upstream=self.name,
            incarnation=self.incarnation,
            sequence=self.sequence,
            data_centre=self.data_centre,
            fabric_domain="none",
            address=self.name,
            kind=messages.UpstreamKind.SERVICE,
            state=state,
            service="bookings",
            clock_ms=self.clock_ms(),
        )
