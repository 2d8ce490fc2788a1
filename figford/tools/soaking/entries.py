"""One entry of the soak: the real state machines with fake I/O."""

import datetime
import json
import random
import typing

import attrs
from twisted.internet import defer

from figford import access
from figford import agreement
from figford import control
from figford import dispatch
from figford import effects
from figford import errors
from figford import gateway as gateways
from figford import membership
from figford import messages
from figford import metrics
from figford import modelcalls
from figford import node as nodes
from figford import operators
from figford import routing
from figford import servicecalls
from figford import settings
from figford.tools.soaking import fakes
from figford.tools.soaking import schedule
from figford import upstreams

TICK_INTERVAL = schedule.seconds(0.05)


class World(typing.Protocol):
    """The part of the simulation that an entry uses."""

    clock: schedule.VirtualClock

    def send(
        self, source: str, target: str, message: messages.PeerMessage
    ) -> None:
        """Sends a message to another entry."""

    def send_order(self, entry: "SoakEntry", order: effects.SendOrder) -> None:
        """Delivers an order to an engine."""

    def open_stream(
        self,
        entry: "SoakEntry",
        address: str,
        headers: dict[bytes, bytes],
        body: bytes,
        receiver: upstreams.StreamReceiver,
    ) -> "FakeAttempt":
        """Opens the stream of a model request to an engine."""

    def call_service(
        self,
        entry: "SoakEntry",
        request: upstreams.PlainRequest,
        may_send: typing.Callable[[], bool] | None,
    ) -> defer.Deferred:
        """Delivers a call to a service; fires with its answer."""

    def record_failure(self, failure: typing.Any) -> None:
        """Records a failure inside a callback."""

    def check_entry(self, entry: "SoakEntry") -> None:
        """Checks, at each tick, the invariants that hold at all times."""

    def check_configuration(self, entry: "SoakEntry") -> None:
        """Checks a configuration that came into force at an entry."""


@attrs.define(eq=False)
class FakeAttempt:
    """The handle by which an entry cancels a stream."""

    stream: fakes.FakeStream | None = None
    cancelled: bool = False

    def cancel(self) -> None:
        """Cancels the stream; the receiver gets no further events."""
        self.cancelled = True
        if self.stream is not None:
            self.stream.receiver = None

    def pause(self) -> None:
        """Does nothing, since streams have no flow control."""

    def resume(self) -> None:
        """Does nothing, since streams have no flow control."""


@attrs.define(eq=False)
class GenerationReceiver:
    """Passes stream events to the process that opened the stream.

    Events are dropped after that process ended; a frozen process gets them
    when it resumes.
    """

    entry: "SoakEntry"
    generation: int
    attempt: FakeAttempt
    receiver: upstreams.StreamReceiver

    def stream_data(self, data: bytes) -> None:
        """Passes data to the receiver."""
        self._run(lambda: self.receiver.stream_data(data))

    def stream_ended(self, error: errors.FigfordError | None) -> None:
        """Reports the end of the stream to the receiver."""
        self._run(lambda: self.receiver.stream_ended(error))

    def _run(self, action: typing.Callable[[], None]) -> None:
        def guarded() -> None:
            if not self.attempt.cancelled:
                action()

        if self.entry.generation == self.generation:
            self.entry.run(guarded)


@attrs.define(eq=False)
class FakeClient:
    """Stands in for the HTTP client of an entry."""

    world: World
    entry: "SoakEntry"

    def stream(
        self,
        address: str,
        headers: dict[bytes, bytes],
        body: bytes,
        receiver: upstreams.StreamReceiver,
    ) -> FakeAttempt:
        """Sends a model request."""
        return self.world.open_stream(
            self.entry, address, headers, body, receiver
        )

    def call(
        self,
        request: upstreams.PlainRequest,
        timeout: datetime.timedelta,
        may_send: typing.Callable[[], bool] | None = None,
    ) -> defer.Deferred:
        """Calls a plain service."""
        return self.world.call_service(self.entry, request, may_send)


@attrs.define(eq=False)
class FakeResponder:
    """Records the response to a caller instead of sending it."""

    on_finished: typing.Callable[["FakeResponder"], None]
    status: int = 0
    body: bytes = b""
    refusal: errors.Refusal | None = None
    ended: bool = False

    def begin(self, status: int, headers: dict[bytes, bytes]) -> None:
        """Records the status."""
        self.status = status

    def write(self, data: bytes) -> None:
        """Appends a part of the body."""
        self.body += data

    def finish(self) -> None:
        """Ends the response."""
        self.ended = True
        self.on_finished(self)

    def refuse(self, refusal: errors.Refusal) -> None:
        """Records a refusal and ends the response."""
        self.refusal = refusal
        self.finish()

    def abort(self) -> None:
        """Ends the response without a callback."""
        self.ended = True


@attrs.define(eq=False)
class SoakEntry:
    """An entry process that can be killed, frozen, stopped and restarted.

    `generation` changes at each start and crash, so that actions which an
    earlier process scheduled are ignored.
    """

    world: World
    name: str
    data_centre: str
    disk: fakes.FakeDisk | None
    alive: bool = False
    paused: bool = False
    generation: int = 0
    node: nodes.Node = attrs.field(init=False)
    gateway: gateways.Gateway = attrs.field(init=False)
    started_at: datetime.timedelta = schedule.seconds(0)
    stopping: bool = False
    buffered_actions: list[typing.Callable[[], None]] = attrs.field(
        factory=list
    )
    previous_version: int = 0
    _disk_count: int = 0
    _on_outcome_by_proposal: dict[str, gateways.OnOutcome] = attrs.field(
        factory=dict
    )

    @property
    def working(self) -> bool:
        """Returns whether the process runs and is not frozen."""
        return self.alive and not self.paused

    # ---- Process --------------------------------------------------------

    def start(self) -> None:
        """Starts the process with the records on its disk."""
        clock = self.world.clock
        self.generation += 1
        self.alive = True
        self.paused = False
        self.stopping = False
        self.buffered_actions = []
        self._on_outcome_by_proposal = {}
        self.started_at = clock.now()
        self.previous_version = 0
        rng = random.Random(clock.rng.getrandbits(64))
        records, voter = self._load_disk()
        me = messages.Peer(
            instance=self.name,
            incarnation=clock.now() // schedule.seconds(0.001),
            sequence=0,
            data_centre=self.data_centre,
            address=self.name,
            voter=voter,
        )
        peers = membership.PeerTable(me)
        replica = None
        if voter is not None:
            replica = control.Control(peers, agreement.Agreement(voter, rng))
        self.node = nodes.Node(peers, rng, clock.now(), control=replica)
        self._make_gateway(rng)
        self.carry_out(self.node.start(records, clock.now()))
        self._schedule_ticks(self.generation)

    def _load_disk(self) -> tuple[list[messages.Record], str | None]:
        if self.disk is None:
            return [], None
        for record in self.disk.records:
            if isinstance(record, messages.Identity):
                return list(self.disk.records), record.voter
        self._disk_count += 1
        identity = messages.Identity(f"{self.name}.{self._disk_count}")
        self.disk.records = [identity]
        return [identity], identity.voter

    def _make_gateway(self, rng: random.Random) -> None:
        dispatcher = dispatch.Dispatcher(
            self.node.group_table,
            routing.Router(rng),
            started_at=self.world.clock.now(),
        )
        self.node.drainer = dispatcher
        self.gateway = gateways.Gateway(
            node=self.node,
            dispatcher=dispatcher,
            client=FakeClient(self.world, self),
            metrics=metrics.Metrics(),
            clock=self.world.clock,
            limits=settings.Limits(),
            proposer=self,
            rng=rng,
            on_internal_error=self.world.record_failure,
        )

    def _schedule_ticks(self, generation: int) -> None:
        if generation != self.generation:
            return
        self.world.clock.after(
            TICK_INTERVAL, lambda: self._schedule_ticks(generation)
        )
        self.run(self._tick)

    def _tick(self) -> None:
        self.carry_out(self.node.tick(self.world.clock.now()))
        self.gateway.tick()
        self.world.check_entry(self)

    def run(self, action: typing.Callable[[], None]) -> None:
        """Runs an action, now or once a frozen process resumes."""
        if not self.alive:
            return
        if self.paused:
            self.buffered_actions.append(action)
        else:
            action()

    def pause(self) -> None:
        """Freezes the process."""
        self.paused = True

    def resume(self) -> None:
        """Unfreezes the process and runs the buffered actions in order."""
        self.paused = False
        pending, self.buffered_actions = self.buffered_actions, []
        for action in pending:
            self.run(action)

    def crash(self) -> None:
        """Kills the process."""
        self.generation += 1
        self.alive = False
        self.buffered_actions = []
        if self.disk is not None:
            self.disk.crash()

    def begin_stop(self) -> None:
        """Begins a graceful shutdown."""
        self.stopping = True
        self.carry_out(self.node.begin_stop(self.world.clock.now()))

    # ---- Effects --------------------------------------------------------

    def carry_out(self, new_effects: list[effects.Effect]) -> None:
        """Carries out the effects that the node returned."""
        for effect in new_effects:
            match effect:
                case effects.SendPeer(instance, message):
                    self.world.send(self.name, instance, message)
                case effects.PersistRecords() | effects.RewriteJournal():
                    self._submit(effect)
                case effects.SendOrder():
                    self.world.send_order(self, effect)
                case effects.Decided(proposal, outcome):
                    self._on_decided(proposal, outcome)
                case effects.ConfigurationChanged():
                    self.gateway.apply_configuration(self.node.configuration)
                    self.world.check_configuration(self)
                case effects.StateChanged(event, detail):
                    self.world.clock.record_event(self.name, event, detail)

    def _submit(
        self, batch: effects.PersistRecords | effects.RewriteJournal
    ) -> None:
        if self.disk is None:
            raise AssertionError(
                "an entry without a disk can't persist records"
            )
        generation = self.generation

        def on_synced(synced_batch: effects.PersistRecords) -> None:
            if generation == self.generation:
                self.run(lambda: self._synced(synced_batch))

        self.disk.submit(batch, on_synced)

    def _synced(self, batch: effects.PersistRecords) -> None:
        for send in batch.sends:
            self.world.send(self.name, send.instance, send.message)
        if batch.records:
            self.carry_out(
                self.node.synced(
                    batch.last_index, batch.last_term, self.world.clock.now()
                )
            )

    def _on_decided(
        self, proposal: str, outcome: messages.Outcome | None
    ) -> None:
        on_outcome = self._on_outcome_by_proposal.pop(proposal, None)
        if on_outcome is not None:
            on_outcome(outcome)

    def propose(
        self,
        command: messages.Command,
        deadline: datetime.timedelta,
        on_outcome: gateways.OnOutcome,
    ) -> None:
        """Proposes a command to the replicated log."""
        now = self.world.clock.now()
        proposal, new_effects = self.node.propose(command, deadline, now)
        self._on_outcome_by_proposal[proposal] = on_outcome
        self.carry_out(new_effects)

    # ---- Callers --------------------------------------------------------

    def receive_model_request(
        self, key: str, model: str, prompt: str, responder: FakeResponder
    ) -> None:
        """Handles a caller's model request."""
        now = self.world.clock.now()
        try:
            self.gateway.check_ready()
            account = self.gateway.access.account(f"Bearer {key}")
            group, granted = self.gateway.access.model(account, model)
            request = dispatch.ModelRequest(
                self.gateway.new_request_id(),
                account,
                granted.request_class,
                group,
                routing.prefix_hash(prompt),
                now + schedule.seconds(10),
            )
            call = modelcalls.ModelCall(
                self.gateway,
                request,
                json.dumps({"prompt": prompt}).encode(),
                True,
                responder,
                now,
            )
            self.gateway.begin_model_call(call)
        except errors.Refusal as refusal:
            responder.refuse(refusal)

    def receive_booking(
        self,
        key: str,
        idempotency_key: str | None,
        body: str,
        responder: FakeResponder,
    ) -> None:
        """Handles a caller's booking, which is a non-repeatable call."""
        now = self.world.clock.now()
        try:
            self.gateway.check_ready()
            account = self.gateway.access.account(f"Bearer {key}")
            service, granted = self.gateway.access.service(
                account, "/bookings/new"
            )
            call = servicecalls.NonRepeatableCall(
                self.gateway,
                service,
                access.AccessGrant(account, granted.request_class),
                operators.RequestClass.BOOKING,
                upstreams.PlainRequest(
                    b"POST", "", b"/bookings/new", [], body.encode()
                ),
                responder,
                now,
                call=self.gateway.new_claim(
                    account.name, idempotency_key, body
                ),
            )
            self.gateway.begin_service_call(call)
        except errors.Refusal as refusal:
            responder.refuse(refusal)
