"""Controllers and entries in virtual time, with partitions and lost disks.

An acknowledged version is never lost, and no read returns an older one. An
entry's route table never goes back to an older version while its process
runs.
"""

import datetime
import random

import attrs
import pytest

from figford import agreement
from figford import control
from figford import controller
from figford import controllerdaemon
from figford import effects
from figford import entry as entries
from figford import fleetmessages
from figford import formations
from figford import groupplanner
from figford import membership
from figford import messages
from figford import permitslots
from figford import planrounds
from figford import routes
from figford import signoffs
from figford.tests import plannerworld

STEP = datetime.timedelta(milliseconds=20)
SECOND = datetime.timedelta(seconds=1)
CONTROLLERS = ("c1", "c2", "c3")
ENTRIES = ("e1", "e2")
# After the start of the first incarnation, before that of the second.
SIGNED_OFF_MS = 50_000


@attrs.define
class Process:
    """A running process: its state and its unsynced disk writes."""

    name: str
    state: object
    unsynced: list = attrs.field(factory=list)
    outcomes: dict = attrs.field(factory=dict)
    changes: list[effects.StateChanged] = attrs.field(factory=list)
    counted: list[str] = attrs.field(factory=list)
    status: fleetmessages.FleetStatus | None = None
    highest_seen: int = 0


@attrs.define
class Net:
    """All processes, their disks and the network between them."""

    seed: int
    entries: tuple[str, ...] = ENTRIES
    founders: tuple[str, ...] = CONTROLLERS
    voter_silence_timeout: datetime.timedelta = control.VOTER_SILENCE_TIMEOUT
    fault_tolerance: int = 1
    now: datetime.timedelta = 10 * SECOND
    process_by_name: dict = attrs.field(factory=dict)
    disk_by_name: dict = attrs.field(factory=dict)
    cut: set = attrs.field(factory=set)
    linked: set = attrs.field(factory=set)
    in_flight: list = attrs.field(factory=list)
    acknowledged: int = 0
    submitted: int = 0
    controllers: set[str] = attrs.field(init=False)
    rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Creates the founders with their disks; starts the entries."""
        self.rng = random.Random(self.seed)
        self.controllers = set(self.founders)
        for name in self.founders:
            others = [f"{other}.first" for other in self.founders]
            self.disk_by_name[name] = control.bootstrap_records(
                f"{name}.first", others
            )
        for name in (*self.founders, *self.entries):
            self.start(name)

    # ---- Processes ------------------------------------------------------

    def start(self, name: str) -> None:
        """Starts a process from the contents of its disk."""
        voter = None
        if name in self.controllers:
            if name not in self.disk_by_name:
                fresh = f"{name}.{self.rng.randrange(1 << 40):x}"
                self.disk_by_name[name] = [messages.Identity(fresh)]
            voter = self.disk_by_name[name][0].voter
        me = messages.Peer(
            name, int(self.now / STEP), 0, "dc", f"{name}:1", voter=voter
        )
        peers = membership.PeerTable(me)
        if voter is None:
            process = Process(name, entries.EntryState(peers))
        else:
            disk = control.Control(
                peers,
                agreement.Agreement(voter, self.rng),
                voter_silence_timeout=self.voter_silence_timeout,
                fault_tolerance=self.fault_tolerance,
            )
            state = controller.Controller(peers, disk, self.rng, self.now)
            process = Process(name, state)
        self.process_by_name[name] = process
        if voter is not None:
            records = list(self.disk_by_name[name])
            self.carry_out(process, process.state.start(records, self.now))

    def start_controller(self, name: str) -> None:
        """Starts a controller at a new address, with an empty disk."""
        self.controllers.add(name)
        self.start(name)

    def kill(self, name: str) -> None:
        """Ends a process; unsynced writes are lost."""
        self.process_by_name.pop(name, None)
        for other in list(self.process_by_name):
            self.unlink(name, other)

    def wipe(self, name: str) -> None:
        """Ends a process and loses its disk."""
        self.kill(name)
        del self.disk_by_name[name]

    def unlink(self, one: str, other: str) -> None:
        """Breaks a link and notifies its ends."""
        pair = frozenset((one, other))
        if pair in self.linked:
            self.linked.discard(pair)
            for name in pair & set(self.process_by_name):
                peer = next(iter(pair - {name}))
                self.process_by_name[name].state.link_down(peer)

    # ---- Time -----------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Advances virtual time."""
        end = self.now + seconds * SECOND
        while self.now < end:
            self.now += STEP
            self._link()
            self._sync()
            in_flight, self.in_flight = self.in_flight, []
            for sender, receiver, message in in_flight:
                self._deliver(sender, receiver, message)
            for process in list(self.process_by_name.values()):
                self.carry_out(process, process.state.tick(self.now))
                self._check(process)

    def _link(self) -> None:
        names = sorted(self.process_by_name)
        for one in names:
            for other in names:
                pair = frozenset((one, other))
                wanted = one < other and set(pair) & self.controllers
                if pair in self.cut:
                    self.unlink(one, other)
                elif wanted and pair not in self.linked:
                    self._link_pair(one, other)

    def _link_pair(self, one: str, other: str) -> None:
        self.linked.add(frozenset((one, other)))
        for name, peer in ((one, other), (other, one)):
            process = self.process_by_name[name]
            me = self.process_by_name[peer].state.me
            self.carry_out(process, process.state.link_up(me, self.now))

    def _sync(self) -> None:
        """Writes unsynced batches; some syncs take longer."""
        for process in list(self.process_by_name.values()):
            if process.unsynced and self.rng.random() < 0.7:
                unsynced, process.unsynced = process.unsynced, []
                for batch in unsynced:
                    self._write(process, batch)

    def _write(self, process: Process, batch: object) -> None:
        if isinstance(batch, effects.RewriteJournal):
            self.disk_by_name[process.name] = list(batch.records)
            return
        self.disk_by_name[process.name].extend(batch.records)
        for send in batch.sends:
            self.send(process.name, send)
        if batch.records:
            new_effects = process.state.synced(
                batch.last_index, batch.last_term, self.now
            )
            self.carry_out(process, new_effects)

    def send(self, sender: str, send: effects.SendPeer) -> None:
        """Sends a message over a link; a few are lost as their link breaks."""
        if frozenset((sender, send.instance)) not in self.linked:
            return
        if self.rng.random() < 0.001:
            self.unlink(sender, send.instance)
            return
        self.in_flight.append((sender, send.instance, send.message))

    def _deliver(self, sender: str, receiver: str, message: object) -> None:
        pair = frozenset((sender, receiver))
        process = self.process_by_name.get(receiver)
        if process is None or pair not in self.linked:
            return
        new_effects = process.state.receive(sender, message, self.now)
        self.carry_out(process, new_effects)

    def carry_out(self, process: Process, new_effects: list) -> None:
        """Executes effects."""
        for effect in new_effects:
            match effect:
                case effects.SendPeer():
                    self.send(process.name, effect)
                case controller.SendAll(instances, message):
                    for name in instances:
                        self.send(
                            process.name, effects.SendPeer(name, message)
                        )
                case effects.PersistRecords() | effects.RewriteJournal():
                    process.unsynced.append(effect)
                case effects.Decided(proposal, outcome):
                    process.outcomes[proposal] = outcome
                case effects.StateChanged():
                    process.changes.append(effect)
                case controller.EventCounted(event):
                    process.counted.append(event)
                case entries.FleetStatusReceived(status):
                    process.status = status

    # ---- Operators ------------------------------------------------------

    def submit(self, name: str) -> str | None:
        """Submits the next version; returns the proposal ID."""
        process = self.process_by_name.get(name)
        if process is None:
            return None
        self.submitted += 1
        command = fleetmessages.StoreRoutes(
            self.submitted, b"v%d" % self.submitted
        )
        proposal, new_effects = process.state.propose(
            command, self.now + 2 * SECOND, self.now
        )
        self.carry_out(process, new_effects)
        return proposal

    def outcome(self, name: str, proposal: str | None) -> object:
        """Returns the outcome of a proposal; None where there is none."""
        process = self.process_by_name.get(name)
        return process.outcomes.get(proposal) if process else None

    def read(self, name: str) -> str | None:
        """Reads the version in force; returns the proposal ID."""
        process = self.process_by_name.get(name)
        if process is None:
            return None
        proposal, new_effects = process.state.propose(
            messages.ReadVersion(), self.now + SECOND, self.now
        )
        self.carry_out(process, new_effects)
        return proposal

    def _check(self, process: Process) -> None:
        version = process.state.view.version
        assert (
            version >= process.highest_seen
        ), "a route table went back to an older version"
        process.highest_seen = version
        assert version <= self.submitted


def heal(net: Net, seconds: float = 6.0) -> None:
    """Heals all partitions, restarts ended processes and waits."""
    net.cut.clear()
    for name in (*CONTROLLERS, *ENTRIES):
        if name not in net.process_by_name:
            net.start(name)
    net.run(seconds)


def test_a_submission_reaches_all_processes_within_two_seconds() -> None:
    net = Net(seed=1)
    net.run(3)
    proposal = net.submit("c2")
    net.run(0.5)
    assert isinstance(net.outcome("c2", proposal), fleetmessages.RoutesStored)
    net.run(1.0)
    for process in net.process_by_name.values():
        assert process.state.view == fleetmessages.RoutesView(1, b"v1")


def test_an_older_version_changes_nothing_and_is_acknowledged() -> None:
    net = Net(seed=2)
    net.run(3)
    net.submitted = 8
    net.submit("c1")
    net.run(1)
    net.submitted = 4
    proposal = net.submit("c3")
    net.submitted = 9
    net.run(1)
    assert net.outcome("c3", proposal) == fleetmessages.RoutesStored(9)
    assert net.process_by_name["e1"].state.view.version == 9


def test_a_controller_cut_off_confirms_and_acknowledges_nothing() -> None:
    net = Net(seed=3)
    net.run(3)
    net.submit("c1")
    net.run(2)
    for other in ("c2", "c3"):
        net.cut.add(frozenset(("c1", other)))
    net.run(3)
    read, proposal = net.read("c1"), net.submit("c1")
    net.run(3)
    for asked in (read, proposal):
        assert net.outcome("c1", asked) is None


def test_an_entry_that_reaches_only_a_partitioned_controller_waits() -> None:
    net = Net(seed=4)
    net.run(3)
    net.submit("c1")
    net.run(2)
    for other in ("c2", "c3"):
        net.cut.add(frozenset(("c1", other)))
        net.cut.add(frozenset(("e1", other)))
    net.run(3)
    net.kill("e1")
    net.start("e1")
    net.run(4)
    assert not net.process_by_name["e1"].state.ready
    net.cut.clear()
    net.run(2)
    assert net.process_by_name["e1"].state.ready


def test_a_silent_voter_is_replaced_by_an_empty_disk() -> None:
    net = Net(seed=5)
    net.run(3)
    net.submit("c1")
    net.run(1)
    net.wipe("c3")
    net.start("c3")
    net.run(14)
    disk = net.process_by_name["c1"].state.control.agreement
    assert len(disk.voters) == 3
    assert net.disk_by_name["c3"][0].voter in disk.voters
    assert net.process_by_name["c3"].state.view.version == 1


def registration(sequence: int, **changes: object):
    base = fleetmessages.Registration(
        "u1", 1, sequence, "s", "10.0.0.1:80", "dc", 4
    )
    return attrs.evolve(base, **changes)


def test_a_leaving_upstream_is_reported_to_all_entries_at_once() -> None:
    net = Net(seed=6)
    net.run(3)
    process = net.process_by_name["c3"]
    net.carry_out(process, process.state.report(registration(1), net.now))
    net.run(0.2)
    for name in ENTRIES:
        state = net.process_by_name[name].state
        assert [item.upstream for item in state.fleet.present()] == ["u1"]
    leaving = registration(2, leaving=True)
    net.carry_out(process, process.state.report(leaving, net.now))
    net.run(0.2)
    for name in ENTRIES:
        state = net.process_by_name[name].state
        assert state.fleet.by_name["u1"].registration.leaving


def report_to(net: Net, name: str, item: object) -> None:
    """Reports an upstream to a controller."""
    process = net.process_by_name[name]
    net.carry_out(process, process.state.report(item, net.now))


def sign_off_at(net: Net, name: str) -> None:
    """Signs the upstream off at a controller."""
    process = net.process_by_name[name]
    sign_off = signoffs.SignOff("u1", SIGNED_OFF_MS)
    net.carry_out(process, process.state.sign_off(sign_off, net.now))


def stored_at(net: Net, name: str) -> fleetmessages.Registration:
    """Returns the upstream as a process knows it."""
    return net.process_by_name[name].state.fleet.by_name["u1"].registration


def test_a_sign_off_is_not_lost_to_a_beat_of_the_same_sequence() -> None:
    net = Net(seed=6)
    net.run(3)
    report_to(net, "c1", registration(1))
    net.run(1)
    # The next report reaches another controller before the sign-off.
    report_to(net, "c2", registration(2))
    sign_off_at(net, "c1")
    net.run(2)
    for name in (*CONTROLLERS, *ENTRIES):
        assert stored_at(net, name).signed_off, name
        assert stored_at(net, name).leaving, name


def test_a_sign_off_crosses_a_cut_that_hid_it() -> None:
    net = Net(seed=6)
    net.run(3)
    report_to(net, "c1", registration(1))
    net.run(1)
    net.cut.add(frozenset(("c1", "c2")))
    net.run(0.1)
    sign_off_at(net, "c1")
    for sequence in (2, 3):
        report_to(net, "c2", registration(sequence))
        net.run(1)
    net.cut.clear()
    net.run(1)
    assert stored_at(net, "c2").signed_off


def test_a_change_is_forwarded_with_the_sign_off_that_is_known() -> None:
    """A controller that missed the sign-off learns of it from a third."""
    net = Net(seed=6)
    net.run(3)
    report_to(net, "c1", registration(1))
    net.run(1)
    net.cut.add(frozenset(("c1", "c2")))
    net.run(0.1)
    sign_off_at(net, "c1")
    net.run(0.1)
    report_to(net, "c3", registration(2, staged=["m"]))
    net.run(0.1)
    assert stored_at(net, "c2").staged == ["m"]
    assert stored_at(net, "c2").signed_off


@pytest.mark.parametrize("called", CONTROLLERS)
def test_a_sign_off_that_no_controller_knows_reaches_all(called: str) -> None:
    """All controllers were killed while the upstream could not reach them."""
    net = Net(seed=7)
    net.run(3)
    report_to(net, "c1", registration(1))
    net.run(1)
    for name in CONTROLLERS:
        net.kill(name)
    net.run(0.5)
    for name in CONTROLLERS:
        net.start(name)
    net.run(4)
    assert stored_at(net, "e1").leaving is False
    sign_off_at(net, called)
    net.run(0.3)
    for name in ENTRIES:
        assert stored_at(net, name).signed_off, name
        assert stored_at(net, name).leaving, name


def test_a_sign_off_outlives_the_controller_that_acknowledged_it() -> None:
    """It is told to the others at once, so that any of them tells entries."""
    net = Net(seed=7)
    net.run(3)
    for name in ENTRIES:
        net.cut.add(frozenset(("c2", name)))
        net.cut.add(frozenset(("c3", name)))
    report_to(net, "c1", registration(1))
    net.run(1)
    for name in ENTRIES:
        net.cut.add(frozenset(("c1", name)))
    net.run(0.1)
    sign_off_at(net, "c1")
    net.run(0.1)
    net.kill("c1")
    net.cut.clear()
    net.run(1)
    for name in ENTRIES:
        assert stored_at(net, name).signed_off, name


def test_a_sign_off_reaches_entries_across_a_cut() -> None:
    """The controller that was called reaches one other controller only."""
    net = Net(seed=7)
    net.run(3)
    report_to(net, "c2", registration(1))
    net.run(1)
    for name in CONTROLLERS:
        net.kill(name)
        net.start(name)
    for name in (*ENTRIES, "c3"):
        net.cut.add(frozenset(("c1", name)))
    net.run(4)
    sign_off_at(net, "c1")
    net.run(0.3)
    for name in ENTRIES:
        assert stored_at(net, name).signed_off, name


def test_a_report_that_a_sign_off_overtook_is_of_a_leaving_upstream() -> None:
    net = Net(seed=7)
    net.run(3)
    sign_off_at(net, "c1")
    net.run(0.3)
    report_to(net, "c2", registration(1))
    net.run(0.3)
    for name in (*CONTROLLERS, *ENTRIES):
        assert stored_at(net, name).signed_off, name


def test_a_sign_off_is_not_of_the_next_start_under_the_same_name() -> None:
    net = Net(seed=7)
    net.run(3)
    sign_off_at(net, "c1")
    net.run(0.3)
    report_to(net, "c2", registration(1, incarnation=SIGNED_OFF_MS + 2000))
    net.run(0.3)
    for name in (*CONTROLLERS, *ENTRIES):
        assert not stored_at(net, name).leaving, name


@pytest.mark.parametrize("behind_ms", [300, 600, 5000])
def test_an_upstream_starts_again_with_a_clock_behind(behind_ms) -> None:
    """It signed off before; each next start got no request any more."""
    net = Net(seed=7)
    net.run(3)
    incarnation = SIGNED_OFF_MS - 10_000
    for incarnation in (incarnation, SIGNED_OFF_MS - behind_ms):
        report_to(net, "c1", registration(1, incarnation=incarnation))
        net.run(0.3)
        for name in (*CONTROLLERS, *ENTRIES):
            assert not stored_at(net, name).leaving, name
        sign_off_at(net, "c2")
        net.run(0.3)
        for name in (*CONTROLLERS, *ENTRIES):
            assert stored_at(net, name).signed_off, name
    report_to(net, "c3", registration(1, incarnation=incarnation + 1))
    net.run(0.3)
    for name in ("c1", "e1"):
        net.kill(name)
        net.start(name)
    net.run(4)
    for name in (*CONTROLLERS, *ENTRIES):
        assert not stored_at(net, name).leaving, name


def test_a_known_upstream_signs_off_though_the_clock_was_set_back() -> None:
    net = Net(seed=7)
    net.run(3)
    report_to(net, "c1", registration(1, incarnation=SIGNED_OFF_MS + 4000))
    net.run(0.3)
    sign_off_at(net, "c1")
    net.run(0.3)
    for name in (*CONTROLLERS, *ENTRIES):
        assert stored_at(net, name).signed_off, name


def test_a_beat_does_not_hide_a_seat_that_a_cut_hid() -> None:
    """The planner would take the member of a group for free."""
    seat = fleetmessages.FleetSeat("g", 1, 0, fleetmessages.SeatState.OPEN)
    net = Net(seed=6)
    net.run(3)
    report_to(net, "c1", registration(1))
    net.run(1)
    net.cut.add(frozenset(("c1", "c2")))
    net.run(0.1)
    report_to(net, "c1", registration(2, seat=seat))
    net.run(1)
    report_to(net, "c3", registration(3, seat=seat))
    net.run(1)
    heard_at = net.process_by_name["c2"].state.fleet.by_name["u1"].heard_at
    assert net.now - heard_at <= SECOND
    net.cut.clear()
    net.run(0.2)
    for name in (*CONTROLLERS, *ENTRIES):
        assert stored_at(net, name).seat == seat, name


def test_old_content_does_not_come_back_with_a_beat_after_a_cut() -> None:
    """An entry would take back a change that it knew."""
    net = Net(seed=6)
    net.run(3)
    report_to(net, "c1", registration(1))
    net.run(1)
    net.cut.add(frozenset(("c1", "c2")))
    net.cut.add(frozenset(("e1", "c2")))
    net.run(0.1)
    report_to(net, "c1", registration(2, leaving=True))
    net.run(1)
    report_to(net, "c3", registration(3, leaving=True))
    net.run(1)
    net.cut.discard(frozenset(("e1", "c2")))
    net.run(0.2)
    assert stored_at(net, "e1").leaving


def test_a_controller_that_stops_passes_on_the_beats_that_it_received() -> (
    None
):
    """Its upstreams seemed silent for another interval between reports."""
    net = Net(seed=3)
    net.run(3)
    stopping = net.process_by_name["c1"]
    report_to(net, "c1", registration(1))
    net.run(1)
    report_to(net, "c1", registration(2))
    net.run(2 * STEP / SECOND)
    report_to(net, "c1", registration(3))
    reported_at = net.now
    net.carry_out(stopping, stopping.state.begin_stop(net.now))
    net.run(controllerdaemon.STOP_DELAY / SECOND)
    net.kill("c1")
    for name in ("c2", "c3"):
        table = net.process_by_name[name].state.fleet
        assert table.is_heard_since("u1", 1, reported_at)


def test_a_restarted_entry_receives_the_whole_fleet() -> None:
    net = Net(seed=7)
    net.run(3)
    process = net.process_by_name["c1"]
    net.carry_out(process, process.state.report(registration(1), net.now))
    net.run(1)
    net.kill("e1")
    net.start("e1")
    net.run(1)
    assert "u1" in net.process_by_name["e1"].state.fleet.by_name


def test_only_the_leader_plans() -> None:
    net = Net(seed=8)
    net.run(3)
    table = routes.RouteTable(
        1, (), (routes.Service("s", 1, routes.Engine(1, ())),)
    )
    for name in CONTROLLERS:
        net.process_by_name[name].state.table = table
    net.run(3)
    planning = [
        name
        for name in CONTROLLERS
        if net.process_by_name[name].state.planner.term
    ]
    leading = [
        name
        for name in CONTROLLERS
        if net.process_by_name[name].state.control.agreement.leading
    ]
    assert planning == leading and len(leading) == 1


TEN_ENTRIES = tuple(f"e{number}" for number in range(10))


def leader_of(net: Net) -> str:
    """Returns the controller that leads."""
    (name,) = [
        name
        for name in CONTROLLERS
        if net.process_by_name[name].state.is_settled_leader
    ]
    return name


def told(net: Net) -> dict[str, int]:
    """Returns by entry how many entries share the budget, as it was told."""
    return {
        name: process.status.entries
        for name, process in net.process_by_name.items()
        if name not in CONTROLLERS
    }


@pytest.mark.parametrize(
    "near, divisor, most", [(1, 11, 1.1), (2, 11, 1.1), (5, 12, 1), (9, 12, 1)]
)
def test_parts_of_the_budget_add_up_to_no_more_behind_a_cut(
    near: int, divisor: int, most: float
) -> None:
    """Entries that the leader no longer hears keep their parts."""
    net = Net(seed=1, entries=TEN_ENTRIES)
    net.run(5)
    assert set(told(net).values()) == {10}
    leader = leader_of(net)
    for name in TEN_ENTRIES[near:]:
        net.cut.add(frozenset((leader, name)))
    for _ in range(12):
        net.run(5)
        assert leader_of(net) == leader
        assert sum(1 / count for count in told(net).values()) < 1.001
    # An entry that starts meanwhile gets its part of the same budget.
    net.start("new")
    net.run(5)
    assert sum(1 / count for count in told(net).values()) < most + 0.001
    assert told(net)["new"] == divisor
    net.cut.clear()
    net.run(5)
    assert set(told(net).values()) == {11}


def test_a_restarted_entry_takes_its_part_back() -> None:
    net = Net(seed=1, entries=TEN_ENTRIES)
    net.run(5)
    for _ in range(3):
        net.kill("e1")
        net.run(5)
        net.start("e1")
        net.run(5)
    assert set(told(net).values()) == {10}


def test_an_entry_that_stopped_gives_its_part_back() -> None:
    net = Net(seed=1, entries=TEN_ENTRIES)
    net.run(5)
    for name in ("e1", "e2", "e3"):
        net.process_by_name[name].state.stopping = True
        net.run(1)
        net.kill(name)
        net.start(f"{name}-new")
    net.run(5)
    # Those that stopped had a tenth each, more than an equal part of 13.
    assert set(told(net).values()) == {14}
    net.run(permitslots.STOPPED_ENTRY_RETENTION / SECOND)
    assert set(told(net).values()) == {10}


def test_replaced_entries_take_no_more_than_half_of_the_budget() -> None:
    """Entries that crash again and again start under new names each time."""
    net = Net(seed=1, entries=("e0",))
    net.run(5)
    for number in range(12):
        net.kill(f"e{number}")
        net.run(4)
        net.start(f"e{number + 1}")
        net.run(2)
    assert told(net) == {"e12": 2}
    net.run(permitslots.RESERVATION_TIME / SECOND)
    assert told(net) == {"e12": 1}


def test_an_entry_that_paused_gets_the_status_sent_meanwhile() -> None:
    net = Net(seed=1)
    net.run(5)
    report_to(net, "c1", registration(1))
    paused = net.process_by_name["e1"]
    paused.state._heartbeat_due = net.now + 8 * SECOND
    net.run(10)
    assert net.process_by_name["e2"].status.silent == ["u1"]
    assert paused.status == net.process_by_name["e2"].status


def test_a_pause_does_not_make_old_reports_new() -> None:
    """Only those heard lately may be given a group, and no one is lost."""
    net = Net(seed=8)
    net.run(3)
    state = net.process_by_name[leader_of(net)].state
    model = routes.Model("m", 1, 1.0, 1.0, SECOND, SECOND)
    state.table = routes.RouteTable(
        1, (), (routes.Service("s", 1, routes.Engine(1, (model,))),)
    )
    heard_at = net.now
    state.report(registration(1), heard_at)
    now = heard_at + planrounds.MEMBER_FRESHNESS + SECOND / 2
    state.tick(now)
    view = state._planning_view(now)
    state.planner.start(99, heard_at)
    assert state.planner.plan(view, now) == []
    assert view.heard_at["u1"] == heard_at
    assert view.silent == frozenset() and not view.settled


def planning_with_seat(
    group: str, state: fleetmessages.SeatState = fleetmessages.SeatState.READY
) -> Process:
    """Returns a leader of which a member with a seat waits for a group."""
    net = Net(seed=8)
    net.run(3)
    process = next(
        process
        for process in net.process_by_name.values()
        if process.name in CONTROLLERS
        and process.state.control.agreement.leading
    )
    model = routes.Model("m", 1, 1.0, 1.0, SECOND, SECOND)
    process.state.table = routes.RouteTable(
        1, (), (routes.Service("s", 1, routes.Engine(1, (model,))),)
    )
    term = process.state.control.agreement.term
    epoch = (term + 1) * groupplanner.EPOCHS_PER_TERM - 1
    seat = fleetmessages.FleetSeat(group, epoch, 0, state)
    item = registration(1, staged=["m"], seat=seat)
    net.carry_out(process, process.state.report(item, net.now))
    net.run(1)
    reply = formations.OrderCountReply(1, seat)
    process.state.planner.query_answered("u1", 1, reply, net.now)
    net.run(0.5)
    return process


def test_a_join_of_a_member_with_a_seat_elsewhere_is_counted() -> None:
    """Its group is over, since its head is broken."""
    process = planning_with_seat("former", fleetmessages.SeatState.BROKEN)
    assert process.counted == ["member-joined-while-seated"]
    (change,) = [
        change for change in process.changes if change.event == "group forming"
    ]
    former = dict(change.detail)["former"]
    assert former.startswith("u1/former/") and former.endswith("/broken/freed")
    assert change.kind == ""


def test_a_member_with_a_seat_elsewhere_does_not_join() -> None:
    """It has to leave first, and has not answered."""
    process = planning_with_seat("former")
    assert process.counted == []
    assert "group forming" not in [item.event for item in process.changes]


def test_a_join_of_a_spare_that_warmed_up_is_not_counted() -> None:
    process = planning_with_seat("warm-1")
    assert process.counted == []
    (change,) = [
        change for change in process.changes if change.event == "group forming"
    ]
    assert "former" not in dict(change.detail)


def test_the_seats_of_a_freed_group_are_logged_beside_its_cause() -> None:
    net = Net(seed=8)
    state = net.process_by_name["c1"].state
    state.planner.notes.append(
        formations.Note(
            "freed",
            "g1",
            7,
            "head lost",
            formations.Cause.HEAD_LOST,
            (("seated", "u1/9000"),),
        )
    )
    (change,) = state._notes()
    assert change.event == "group freed" and change.kind == "head lost"
    assert dict(change.detail) == {
        "group": "g1",
        "epoch": 7,
        "cause": "head lost",
        "seated": "u1/9000",
    }


@pytest.mark.parametrize("seed", range(10))
def test_acknowledged_versions_survive_faults(seed: int) -> None:
    """Kills, partitions, restarts of all, and one lost disk at a time."""
    net = Net(seed=seed)
    net.run(3)
    wiped_at = net.now - 60 * SECOND
    for _ in range(40):
        name = net.rng.choice(CONTROLLERS)
        proposal = net.submit(name)
        match net.rng.randrange(8):
            case 0:
                net.kill(net.rng.choice(CONTROLLERS))
            case 1:
                for other in (*CONTROLLERS, *ENTRIES):
                    if other != name:
                        net.cut.add(frozenset((name, other)))
            case 2:
                for other in (*CONTROLLERS, *ENTRIES):
                    net.kill(other)
            case 3 if net.now - wiped_at > 20 * SECOND:
                # A second disk is lost only after the replacement of the
                # first has become a voter.
                heal(net, 8)
                wiped_at = net.now
                net.wipe(name)
            case 4:
                net.kill(net.rng.choice(ENTRIES))
            case _:
                heal(net, 0.1)
        net.run(net.rng.uniform(0.05, 2.0))
        if isinstance(net.outcome(name, proposal), fleetmessages.RoutesStored):
            stored = net.outcome(name, proposal).version
            net.acknowledged = max(net.acknowledged, stored)
        reader = net.rng.choice(CONTROLLERS)
        known = net.acknowledged
        read = net.read(reader)
        net.run(0.5)
        version_read = net.outcome(reader, read)
        if isinstance(version_read, messages.VersionInForce):
            assert version_read.routes_version >= known
    heal(net, 12)
    for process in net.process_by_name.values():
        assert process.state.view.version >= net.acknowledged
    assert net.acknowledged > 5


@pytest.mark.parametrize(
    ("heard", "crashes"),
    [("again", []), ("as another", ["r1"]), ("no more", ["r1"])],
)
def test_what_is_heard_of_an_upstream_settles_its_unconfirmed_crash(
    heard: str, crashes: list[str]
) -> None:
    net = Net(seed=8)
    net.run(5)
    state = net.process_by_name[leader_of(net)].state
    state.report(registration(1), net.now)
    suspect = fleetmessages.Suspect("r1", [])
    report = fleetmessages.CrashReport(
        "u1", registration(1).incarnation, 0 * SECOND, [suspect], False
    )
    state.receive("e1", report, net.now)
    assert state.judge.table.request_scores("u1", 1, ()) == {"r1": 0.0}
    net.run(1.5)
    if heard == "again":
        state.report(registration(2), net.now)
    elif heard == "as another":
        state.report(registration(1, incarnation=2), net.now)
    net.run(controller.UNHEARD_TIME / SECOND)
    scores = state.judge.table.request_scores("u1", 1, ())
    assert [name for name, score in scores.items() if score] == crashes


LOADING_POOL = routes.RouteTable(
    services=(
        routes.Service(
            "pool", 10, plannerworld.ENGINE
        ),
    )
)  # fmt: skip


@pytest.mark.parametrize("returns", [False, True])
def test_a_new_leader_knows_the_loads_that_its_predecessor_ordered(
    returns: bool,
) -> None:
    """Also one whose link to the leader was down when it told of them."""
    net = Net(seed=6)
    for name in CONTROLLERS:
        net.process_by_name[name].state.table = LOADING_POOL
    net.run(3)
    leader = leader_of(net)
    absent, *_ = [name for name in CONTROLLERS if name != leader]
    if returns:
        net.cut.add(frozenset((leader, absent)))
        net.run(0.2)
    record = net.process_by_name[leader].state.planner.load_record
    record.record_order(
        formations.GroupOrder(
            "u1", 1, "u1:1", formations.Action.STAGE, 1, 0, model="large"
        ),
        net.now,
    )
    net.run(0.3)
    net.cut.clear()
    net.run(0.5)
    net.kill(leader)
    net.run(4)
    (successor,) = [
        process.state.planner
        for name, process in net.process_by_name.items()
        if name in CONTROLLERS and process.state.is_settled_leader
    ]
    assert successor.load_record.is_undecided("u1", 1)
    assert successor.load_record.allows(plannerworld.ENGINE, 1, 10, net.now)
