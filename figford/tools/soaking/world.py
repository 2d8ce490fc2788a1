"""The simulated deployment: entries, upstreams, callers and operators."""

import datetime
import json
import random
import typing

import attrs
from twisted.internet import defer

from figford import control
from figford import effects
from figford import errors
from figford import messages
from figford import operators
from figford.tools import engine as engines
from figford.tools.soaking import checks as oracle
from figford.tools.soaking import entries
from figford.tools.soaking import fakes
from figford.tools.soaking import schedule
from figford import upstreams

KEY = "soak-key"
DATA_CENTRES = ("north", "south", "west")
ENTRIES = {
    "n1": ("north", True),
    "n2": ("north", True),
    "s1": ("south", True),
    "s2": ("south", True),
    "w1": ("west", True),
    "w2": ("west", False),
}
DOMAINS_PER_DATA_CENTRE = 2
ENGINES_PER_DOMAIN = 3
GROUP_SIZE = 2
RECONNECT_INTERVAL = schedule.seconds(0.5)
# A shorter partition delays messages; a longer one closes the links.
LINK_SILENCE_TIMEOUT = schedule.seconds(6)
CALL_TIMEOUT = schedule.seconds(3)


@attrs.define(eq=False)
class Link:
    """A connection between two entries, ordered in each direction.

    `held_deliveries` run after the end of a partition.
    """

    left: str
    right: str
    generations: tuple[int, int]
    last_delivery_at: dict[str, datetime.timedelta] = attrs.field(factory=dict)
    held_deliveries: list[typing.Callable[[], None]] = attrs.field(
        factory=list
    )
    open: bool = True


@attrs.define(eq=False)
class Soak:
    """A whole deployment in virtual time, with its callers and operators."""

    seed: int
    clock: schedule.VirtualClock = attrs.field(init=False)
    rng: random.Random = attrs.field(init=False)
    checks: oracle.Checks = attrs.field(init=False)
    entry_by_name: dict[str, entries.SoakEntry] = attrs.field(factory=dict)
    engine_by_name: dict[str, fakes.FakeEngine] = attrs.field(factory=dict)
    service_by_name: dict[str, fakes.FakeService] = attrs.field(factory=dict)
    partition_start_by_pair: dict[frozenset[str], datetime.timedelta] = (
        attrs.field(factory=dict)
    )
    _link_by_pair: dict[frozenset[str], Link] = attrs.field(factory=dict)
    recovery_started_at: datetime.timedelta | None = None
    _call_count: int = 0
    _submission_count: int = 0
    _failures: list[typing.Any] = attrs.field(factory=list)
    _outcome_by_submission: dict[str, messages.Outcome] = attrs.field(
        factory=dict
    )

    def __attrs_post_init__(self) -> None:
        """Builds the deployment and starts all processes and callers."""
        self.rng = random.Random(self.seed)
        self.clock = schedule.VirtualClock(self.rng)
        self.checks = oracle.Checks(self.clock)
        for name, (data_centre, has_disk) in ENTRIES.items():
            disk = fakes.FakeDisk(self.clock) if has_disk else None
            self.entry_by_name[name] = entries.SoakEntry(
                self, name, data_centre, disk
            )
        self._bootstrap()
        self._make_upstreams()
        for entry in self.entry_by_name.values():
            entry.start()
        self._connect_round()
        self.clock.after(schedule.seconds(2), self._operator_round)
        self.clock.after(schedule.seconds(4), self._model_round)
        self.clock.after(schedule.seconds(4), self._booking_round)

    def _bootstrap(self) -> None:
        founder = self.entry_by_name["n1"].disk
        if founder is None:
            raise AssertionError("the founding entry must have a disk")
        founder.records = control.bootstrap_records("n1.first")

    def _make_upstreams(self) -> None:
        for data_centre in DATA_CENTRES:
            for domain in range(DOMAINS_PER_DATA_CENTRE):
                for index in range(ENGINES_PER_DOMAIN):
                    name = f"{data_centre}-{domain}-{index}"
                    self.engine_by_name[name] = fakes.FakeEngine(
                        self.clock,
                        self.checks,
                        name,
                        data_centre,
                        self._announce,
                        domain=f"{data_centre}-{domain}",
                        checks_fencing=self.rng.random() < 0.7,
                    )
            for index in range(2):
                name = f"{data_centre}-service-{index}"
                self.service_by_name[name] = fakes.FakeService(
                    self.clock, self.checks, name, data_centre, self._announce
                )
        for upstream in self.all_upstreams:
            upstream.start()

    @property
    def all_upstreams(self) -> list[fakes.FakeUpstream]:
        """Returns all engines and services."""
        return [*self.engine_by_name.values(), *self.service_by_name.values()]

    def record_failure(self, failure: typing.Any) -> None:
        """Records a failure inside a callback, which `step` raises."""
        self._failures.append(failure)

    def step(self) -> None:
        """Runs the next event; raises the first failure that it recorded."""
        self.clock.step()
        if self._failures:
            self._failures[0].raiseException()

    def check_entry(self, entry: entries.SoakEntry) -> None:
        """Checks, at each tick, the invariants that hold at all times."""
        now = self.clock.now()
        node = entry.node
        if node.planning.holds(now):
            holders = [
                other.name
                for other in self.entry_by_name.values()
                if other.data_centre == entry.data_centre
                and other.working
                and other.node.planning.holds(now)
            ]
            self.checks.check_single_planner(entry.data_centre, holders)
        if node.is_ready(now) and node.readiness.confirmed_by_quorum:
            self.checks.check_serving_version(
                entry.name, node.follower.version, entry.started_at
            )

    # ---- Links ----------------------------------------------------------

    def is_partitioned(self, one: str, other: str) -> bool:
        """Returns whether two entries are partitioned from each other."""
        return frozenset((one, other)) in self.partition_start_by_pair

    def partition_entries(self, one: str, other: str) -> None:
        """Partitions two entries from each other."""
        self.partition_start_by_pair.setdefault(
            frozenset((one, other)), self.clock.now()
        )

    def heal(self, one: str, other: str) -> None:
        """Ends a partition; delivers held messages if the link is still up."""
        pair = frozenset((one, other))
        if self.partition_start_by_pair.pop(pair, None) is None:
            return
        link = self._link_by_pair.get(pair)
        if link is not None:
            held_deliveries, link.held_deliveries = link.held_deliveries, []
            for action in held_deliveries:
                self.clock.after(schedule.seconds(0.001), action)

    def _connect_round(self) -> None:
        self.clock.after(RECONNECT_INTERVAL, self._connect_round)
        names = list(self.entry_by_name)
        for index, left in enumerate(names):
            for right in names[index + 1 :]:
                self._update_link(left, right)

    def _update_link(self, left: str, right: str) -> None:
        pair = frozenset((left, right))
        link = self._link_by_pair.get(pair)
        if link is not None:
            since = self.partition_start_by_pair.get(pair)
            if since is not None and (
                self.clock.now() - since > LINK_SILENCE_TIMEOUT
            ):
                self._close_link(link)
            return
        one, other = self.entry_by_name[left], self.entry_by_name[right]
        if (
            not (one.working and other.working)
            or pair in self.partition_start_by_pair
        ):
            return
        link = Link(left, right, (one.generation, other.generation))
        self._link_by_pair[pair] = link
        for entry, peer in ((one, other), (other, one)):
            entry.carry_out(entry.node.link_up(peer.node.me, self.clock.now()))

    def _close_link(self, link: Link) -> None:
        link.open = False
        del self._link_by_pair[frozenset((link.left, link.right))]
        for name, generation in zip((link.left, link.right), link.generations):
            entry = self.entry_by_name[name]
            peer = link.right if name == link.left else link.left
            if entry.alive and entry.generation == generation:
                entry.run(lambda e=entry, p=peer: e.node.link_down(p))

    def close_links(self, name: str) -> None:
        """Closes all links of an entry that crashed."""
        for pair, link in list(self._link_by_pair.items()):
            if name in pair:
                self._close_link(link)

    def send(
        self, source: str, target: str, message: messages.PeerMessage
    ) -> None:
        """Sends a message over the link of two entries, in order."""
        link = self._link_by_pair.get(frozenset((source, target)))
        if link is None:
            return
        receiver = self.entry_by_name[target]
        generation = receiver.generation

        def arrive() -> None:
            if not link.open or receiver.generation != generation:
                return
            if self.is_partitioned(source, target):
                link.held_deliveries.append(arrive)
                return
            receiver.run(handle)

        def handle() -> None:
            if receiver.generation == generation:
                receiver.carry_out(
                    receiver.node.receive(source, message, self.clock.now())
                )

        due = self.clock.now() + self.clock.jitter(0.0005, 0.01)
        due = max(due, link.last_delivery_at.get(target, due))
        link.last_delivery_at[target] = due
        self.clock.after(due - self.clock.now(), arrive)

    # ---- Upstreams ------------------------------------------------------

    def _announce(
        self,
        upstream: fakes.FakeUpstream,
        announcement: messages.Announcement,
    ) -> None:
        """Delivers an announcement to a random entry of the data centre."""
        if upstream.partitioned:
            return
        candidates = [
            entry
            for entry in self.entry_by_name.values()
            if entry.data_centre == upstream.data_centre and entry.alive
        ]
        if not candidates:
            return
        entry = self.rng.choice(candidates)
        generation = entry.generation

        def arrive() -> None:
            if entry.generation == generation:
                entry.carry_out(
                    entry.node.announce(announcement, self.clock.now())
                )

        delay = self.clock.jitter(0.001, 0.05)
        self.clock.after(delay, lambda: entry.run(arrive))

    def send_order(
        self, entry: entries.SoakEntry, order: effects.SendOrder
    ) -> None:
        """Delivers an order to an engine, unless `valid_until` has passed."""
        engine = self.engine_by_name[order.upstream]
        generation = engine.generation
        # A member may return while a repair order is in transit; the order
        # is still not a planned change.
        healthy_when_sent = self._group_is_healthy(engine)

        def connected() -> None:
            # The entry checks `valid_until` after connecting.
            if self.clock.now() < order.valid_until and entry.alive:
                self.clock.after(self.clock.jitter(0.001, 0.02), arrive)

        def arrive() -> None:
            if engine.generation == generation and not engine.partitioned:
                healthy = healthy_when_sent and self._group_is_healthy(engine)
                engine.carry_out_order(order.order, healthy)

        self.clock.after(
            self.clock.jitter(0.001, 0.05), lambda: entry.run(connected)
        )

    def _group_is_healthy(self, engine: fakes.FakeEngine) -> bool:
        """Returns whether all members of the engine's group are healthy.

        A group is not healthy while any entry of the data centre is down or
        lacks a fresh announcement of a member: an order to repair it is not
        a planned change.
        """
        seat = engine.seat
        if seat is None:
            return False
        members = [
            other
            for other in self.engine_by_name.values()
            if other.seat is not None
            and (other.seat.group, other.seat.fence)
            == (seat.group, seat.fence)
        ]
        if len(members) != seat.size:
            return False
        now = self.clock.now()
        for member in members:
            if not member.working or member.partitioned:
                return False
            for entry in self.entry_by_name.values():
                if entry.data_centre != engine.data_centre:
                    continue
                if not entry.working:
                    return False
                if not entry.node.upstreams.is_fresh(member.name, now):
                    return False
        return True

    def open_stream(
        self,
        entry: entries.SoakEntry,
        address: str,
        headers: dict[bytes, bytes],
        body: bytes,
        receiver: upstreams.StreamReceiver,
    ) -> entries.FakeAttempt:
        """Opens the stream of a model request to an engine."""
        attempt = entries.FakeAttempt()
        engine = self.engine_by_name[address]
        group = headers[b"figford-group"].decode()
        fence = int(headers[b"figford-fence"])
        self._check_members(group, fence, entry)
        self.clock.record_event(entry.name, "stream", group, fence)
        guarded_receiver = entries.GenerationReceiver(
            entry, entry.generation, attempt, receiver
        )
        stream = fakes.FakeStream(
            headers[b"figford-request"].decode(),
            json.loads(body)["prompt"],
            int(headers[b"figford-resume-from"]),
            guarded_receiver,
        )
        attempt.stream = stream

        def arrive() -> None:
            if attempt.cancelled:
                return
            if engine.working and not engine.partitioned:
                if engine.open_stream(stream, group, fence):
                    return
                failure: errors.FigfordError = upstreams.NothingSentError(
                    "the engine is not in the group"
                )
            else:
                failure = upstreams.NothingSentError(
                    "the upstream can't be reached"
                )
            guarded_receiver.stream_ended(failure)

        self.clock.after(self.clock.jitter(0.001, 0.02), arrive)
        return attempt

    def _check_members(
        self, group: str, fence: int, entry: entries.SoakEntry
    ) -> None:
        view = entry.node.group_table.by_group(self.clock.now())[group]
        for name in view.member_names:
            engine = self.engine_by_name[name]
            self.checks.check_member_seated(
                group, name, engine.seated_at(group, fence)
            )

    def call_service(
        self,
        entry: entries.SoakEntry,
        request: upstreams.PlainRequest,
        may_send: typing.Callable[[], bool] | None,
    ) -> defer.Deferred:
        """Delivers a call to a service; fires with its answer."""
        service = self.service_by_name[request.address]
        result: defer.Deferred = defer.Deferred()
        generation = entry.generation
        name = request.body.decode()

        def fail(error: errors.FigfordError) -> None:
            if entry.generation == generation and not result.called:
                entry.run(lambda: result.called or result.errback(error))

        def connected() -> None:
            if entry.generation != generation:
                return
            if not service.working or service.partitioned:
                fail(
                    upstreams.NothingSentError("the upstream can't be reached")
                )
                return
            if may_send is not None and not may_send():
                fail(upstreams.NothingSentError("the call may not be sent"))
                return
            self.clock.after(self.clock.jitter(0.001, 0.02), arrive)

        def arrive() -> None:
            if not service.working or service.partitioned:
                self.clock.after(CALL_TIMEOUT, lost)
                return
            if service.leaving_since is not None:
                self.checks.check_not_leaving(
                    service.name, service.leaving_since
                )
            self.checks.check_not_refused(name)
            self.checks.record_run(name.partition("#")[0])
            if self.rng.random() < 0.05:
                self.clock.after(CALL_TIMEOUT, lost)
                return
            self.clock.after(self.clock.jitter(0.01, 0.5), answer)

        def lost() -> None:
            fail(upstreams.BrokenAnswerError("no answer"))

        def answer() -> None:
            if entry.generation != generation or result.called:
                return
            plain_answer = upstreams.PlainAnswer(
                200, [], b"booked " + request.body
            )
            entry.run(lambda: result.called or result.callback(plain_answer))

        delay = self.clock.jitter(0.001, 0.02)
        self.clock.after(delay, lambda: entry.run(connected))
        return result

    # ---- Callers --------------------------------------------------------

    def _random_entry(self) -> entries.SoakEntry | None:
        candidates = [
            entry for entry in self.entry_by_name.values() if entry.working
        ]
        return self.rng.choice(candidates) if candidates else None

    def _model_round(self) -> None:
        self.clock.after(self.clock.jitter(0.02, 0.3), self._model_round)
        entry = self._random_entry()
        if entry is None:
            return
        self._call_count += 1
        prompt = f"prompt {self._call_count % 50}"
        expected = "".join(
            engines.token_text(prompt, position)
            for position in range(fakes.ANSWER_TOKENS)
        )

        def on_finished(responder: entries.FakeResponder) -> None:
            if responder.refusal is not None:
                self.checks.counts[responder.refusal.kind] += 1
                return
            if responder.body.rstrip().endswith(b"data: [DONE]"):
                actual = _stream_text(responder.body)
                self.checks.check_answer(prompt, actual, expected)
            elif b"event: error" in responder.body:
                self.checks.counts["ended by an error event"] += 1
            else:
                self.checks.fail(
                    "an answer ended early without an error event"
                )

        responder = entries.FakeResponder(on_finished)
        entry.receive_model_request(KEY, "chat", prompt, responder)

    def _booking_round(self) -> None:
        self.clock.after(self.clock.jitter(0.1, 1.0), self._booking_round)
        self._call_count += 1
        key = f"key-{self._call_count}" if self.rng.random() < 0.8 else None
        call = key or f"single-{self._call_count}"
        self._send_booking(call, key, 0)

    def _send_booking(self, call: str, key: str | None, resend: int) -> None:
        entry = self._random_entry()
        if entry is None:
            return
        # The body is the name of the call followed by #. Resends of a call
        # have the same body; a call without a key is sent only once.
        body = f"{call}#"

        def on_finished(responder: entries.FakeResponder) -> None:
            self._booking_finished(responder, call, key, resend)

        responder = entries.FakeResponder(on_finished)
        entry.receive_booking(KEY, key, body, responder)
        if key is not None and resend < 3 and self.rng.random() < 0.3:
            # This resend may overlap with the call that it repeats.
            self.clock.after(
                self.clock.jitter(0.0, 4.0),
                lambda: self._send_booking(call, key, resend + 1),
            )

    def _booking_finished(
        self,
        responder: entries.FakeResponder,
        call: str,
        key: str | None,
        resend: int,
    ) -> None:
        refusal = responder.refusal
        if refusal is None:
            if not self.checks.runs_by_call[call]:
                self.checks.fail(f"{call} was answered but never ran")
            self.checks.check_answer(
                call, responder.body.decode(), f"booked {call}#"
            )
            return
        self.checks.counts[refusal.kind] += 1
        if refusal.run_state is errors.RunState.NOT_RUN:
            ran = self.checks.runs_by_call[call] > 0
            if key is None:
                self.checks.record_refused_not_run(f"{call}#", ran)
            elif ran and refusal.kind in ("no-capacity", "no-quorum"):
                self.checks.counts["refused though another send ran"] += 1
        if key is not None and resend < 3:
            self.clock.after(
                self.clock.jitter(0.2, 5.0),
                lambda: self._send_booking(call, key, resend + 1),
            )

    # ---- Operators ------------------------------------------------------

    def _operator_round(self) -> None:
        self.clock.after(self.clock.jitter(2, 12), self._operator_round)
        if self.recovery_started_at is not None:
            return
        competing_submissions = 2 if self.rng.random() < 0.3 else 1
        version = None
        for _ in range(competing_submissions):
            entry = self._random_entry()
            if entry is None:
                return
            if version is None:
                version = entry.node.follower.version
            self._submission_count += 1
            configuration = self._random_configuration()
            command = messages.Submit(
                f"submission-{self._submission_count}",
                version,
                configuration.to_document(),
                "soak",
            )
            self._submit(entry, command, 0)

    def _submit(
        self, entry: entries.SoakEntry, command: messages.Submit, resend: int
    ) -> None:
        deadline = self.clock.now() + schedule.seconds(5)

        def on_outcome(outcome: messages.Outcome | None) -> None:
            self._submission_decided(command, outcome, resend)

        if entry.working:
            entry.propose(command, deadline, on_outcome)

    def _submission_decided(
        self,
        command: messages.Submit,
        outcome: messages.Outcome | None,
        resend: int,
    ) -> None:
        first = self._outcome_by_submission.get(command.submission)
        match outcome:
            case messages.Accepted(version):
                self.checks.record_accepted(
                    version, _fingerprint(command.document)
                )
            case messages.Conflict():
                self.checks.counts["conflict"] += 1
        if outcome is not None:
            if first is not None and type(first) is not type(outcome):
                self.checks.fail(
                    "a resend of a submission got another outcome"
                )
            self._outcome_by_submission[command.submission] = outcome
        if resend < 2 and (outcome is None or self.rng.random() < 0.2):
            entry = self._random_entry()
            if entry is not None:
                self._submit(entry, command, resend + 1)

    def _random_configuration(self) -> operators.Configuration:
        replicas = {
            data_centre: self.rng.randint(1, 2) for data_centre in DATA_CENTRES
        }
        return operators.Configuration(
            serving_groups=[
                operators.ServingGroup(
                    name="chat",
                    model="m1",
                    replicas=replicas,
                    shape=operators.Replica(instances=GROUP_SIZE),
                    concurrency=8,
                )
            ],
            client_accounts=[
                operators.ClientAccount(
                    name="kiosks",
                    key_digest=operators.key_digest(KEY),
                    weight=float(self.rng.randint(1, 1000)),
                )
            ],
            plain_services=[
                operators.PlainService(name="bookings", prefix="/bookings")
            ],
            routing_rules=[
                operators.RoutingRule(
                    name="all",
                    accounts=["kiosks"],
                    models=["chat"],
                    services=["bookings"],
                )
            ],
            data_centres=[
                operators.DataCentre(
                    name=data_centre,
                    entries=[
                        name
                        for name, (entry_data_centre, _) in ENTRIES.items()
                        if entry_data_centre == data_centre
                    ],
                )
                for data_centre in DATA_CENTRES
            ],
        )

    def check_configuration(self, entry: entries.SoakEntry) -> None:
        """Checks a configuration that came into force at an entry."""
        view = entry.node.follower.view
        self.checks.check_version_increases(
            entry.name, entry.previous_version, view.version
        )
        entry.previous_version = view.version
        self.checks.check_document(
            entry.name, view.version, _fingerprint(view.document)
        )
        self.clock.record_event(entry.name, "version", view.version)


def _fingerprint(document: dict) -> str:
    return json.dumps(document, sort_keys=True)


def _stream_text(body: bytes) -> str:
    pieces = [piece for piece in body.split(b"\n\n") if piece]
    return "".join(
        piece.partition(b"data: ")[2].decode() for piece in pieces[:-1]
    )
