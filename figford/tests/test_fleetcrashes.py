"""Crashing parts are convicted fleet-wide, under cuts, restarts, takeovers.

Controllers and entries run in virtual time. At most `crashmeter.ALLOWED`
requests with a part are sent later than its window after the fifth crash, or
repeats of one request after the third, by entries that are in touch, and no
sound request is refused by a verdict.
"""

import random

import attrs
import pytest

from figford import crashguard
from figford import evidence
from figford import fleetmessages
from figford.tests.platform import crashmeter
from figford.tests.test_controller import CONTROLLERS
from figford.tests.test_controller import Net
from figford.tests.test_controller import SECOND
from figford.tests.test_controller import STEP
from figford.tools import crashworld

ENTRIES = ("e1", "e2", "e3", "e4", "e5", "e6")
SITES = (
    {"c1", "e1", "e2"},
    {"c2", "e3", "e4"},
    {"c3", "e5", "e6"},
)
SEEDS = range(4)
PART = "dead"
SHARE = 0.05


@attrs.define
class NetControl:
    """The guards of a net's entries, and the messages between them."""

    net: Net
    rulings: list = attrs.field(factory=list)
    # When each entry was last cut off or started.
    disturbed_at: dict = attrs.field(factory=dict)

    def guard(self, entry: str) -> crashguard.CrashGuard | None:
        """Returns the guard of an entry; None while it serves nothing."""
        process = self.net.process_by_name.get(entry)
        if process is None or not process.state.view.version:
            return None
        return process.state.guard

    def hears_leader(self, entry: str) -> bool:
        """Returns whether an entry hears a leader."""
        return self.net.process_by_name[entry].state.permits.hears_keeper(
            self.net.now, crashguard.LEADER_TIMEOUT
        )

    def send_crash(self, entry: str, report) -> None:
        """Sends an entry's report to all controllers."""
        process = self.net.process_by_name[entry]
        effects = process.state.send_crash(report, self.net.now)
        self.net.carry_out(process, effects)

    def advance(self, now) -> None:
        """Lets entries send what is due and judge without a leader."""
        for entry in self.net.entries:
            process = self.net.process_by_name.get(entry)
            if process is not None:
                due = process.state.send_due_to_keeper(now)
                self.net.carry_out(process, due)
                process.state.guard.judge_alone(self.hears_leader(entry), now)

    def take_rulings(self) -> list:
        """Returns the rulings that reached entries."""
        taken, self.net.rulings = self.net.rulings, []
        return taken


@attrs.define
class CrashNet(Net):
    """A net whose entries send requests, some of which crash upstreams."""

    world: crashworld.CrashWorld = attrs.field(init=False)
    meter: crashmeter.CrashMeter = attrs.field(factory=crashmeter.CrashMeter)
    meter_by_request: dict[str, crashmeter.CrashMeter] = attrs.field(
        factory=dict
    )
    violations: list[str] = attrs.field(factory=list)
    rulings: list = attrs.field(factory=list)
    disturbed_at: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Starts the world of callers and upstreams."""
        super().__attrs_post_init__()
        control = NetControl(self)
        self.world = _MeteredWorld(
            crashworld.Judged(control),
            random.Random(self.seed),
            self.entries,
            now=self.now,
            net=self,
        )

    def _deliver(self, sender: str, receiver: str, message: object) -> None:
        if isinstance(message, fleetmessages.CrashRuling):
            self.rulings.append((receiver, message))
        super()._deliver(sender, receiver, message)

    def run_world(self, seconds: float) -> None:
        """Advances virtual time of all processes and of the world."""
        for _ in range(round(seconds * SECOND / STEP)):
            self.run(STEP / SECOND)
            while self.world.now < self.now:
                self.world.step()

    def crash_by(self, share: float = SHARE) -> None:
        """Lets a share of the requests have the crashing part."""
        self.world.share_by_part[PART] = share

    def send_again_and_again(self, request: str, *parts: str) -> None:
        """Lets a request that crashes upstreams come again and again."""
        self.meter_by_request[request] = crashmeter.CrashMeter(
            crashmeter.REQUEST_CRASHES
        )
        suspect = fleetmessages.Suspect(request, list(parts))
        self.world.send_again_and_again(suspect)

    def meter_of(self, name: str) -> crashmeter.CrashMeter:
        """Returns the meter of a part or of a request that comes again."""
        return self.meter_by_request.get(name, self.meter)

    def disturb(self, *names: str) -> None:
        """Records that entries are cut off or restarted now."""
        for name in names:
            self.disturbed_at[name] = self.now

    def in_touch(self, entry: str) -> bool:
        """Returns whether the users' bound holds for an entry now."""
        names = {frozenset((entry, name)) for name in CONTROLLERS}
        if names & self.cut:
            self.disturbed_at[entry] = self.now
        since = self.disturbed_at.get(entry)
        return since is None or self.now - since > crashmeter.WINDOW

    def check(self, seconds: float = 5) -> None:
        """Checks the users' bound and that sound requests are served."""
        assert self.violations == []
        assert self.world.figures.sound_convicted == 0
        before = attrs.evolve(self.world.figures)
        self.run_world(seconds)
        served = self.world.figures.sound_answered - before.sound_answered
        assert served > 0.8 * (self.world.figures.sound - before.sound)

    def verdicts(self) -> set[str]:
        """Returns the traits that all controllers and entries refuse."""
        states = [process.state for process in self.process_by_name.values()]
        known = [
            (
                {item.trait for item in state.guard.verdicts}
                if hasattr(state, "guard")
                else set(state.control.ledger.state.verdict_by_trait)
            )
            for state in states
        ]
        assert all(item == known[0] for item in known)
        return known[0]


@attrs.define
class _MeteredWorld(crashworld.CrashWorld):
    """Counts crashing requests of entries in touch against the bound."""

    net: CrashNet | None = None

    def _place(self, request) -> None:
        name = request.crashing_part
        before = len(self.figures.sent_by_part.get(name, ()))
        super()._place(request)
        sent = len(self.figures.sent_by_part.get(name, ())) > before
        if sent and self.net.in_touch(request.entry):
            violation = self.net.meter_of(name).record_request(self.now)
            if violation is not None:
                self.net.violations.append(violation)

    def _crash(self, upstream, part) -> None:
        if part is not None:
            self.net.meter_of(part).record_crash(self.now)
        super()._crash(upstream, part)


@pytest.fixture(name="net", params=SEEDS)
def fixture_net(request):
    net = CrashNet(request.param, entries=ENTRIES)
    net.run(2)
    net.submit("c1")
    net.run(1)
    net.world.now = net.now
    net.run_world(5)
    return net


def cut_site(net: CrashNet, inside: set[str]) -> None:
    outside = (set(net.entries) | set(CONTROLLERS)) - inside
    net.cut |= {frozenset((a, b)) for a in inside for b in outside}


def restart_three(net: CrashNet, rng: random.Random) -> None:
    names = rng.sample((*CONTROLLERS, *ENTRIES), 3)
    for name in names:
        net.kill(name)
    net.run_world(rng.uniform(0.1, 1.5))
    for name in names:
        net.start(name)
    net.disturb(*(name for name in names if name in ENTRIES))


def test_a_part_is_convicted_everywhere_after_a_few_crashes(net) -> None:
    net.crash_by()
    net.run_world(20)
    net.check()
    assert net.verdicts() == {evidence.part_trait(PART)}
    assert net.meter.crashes <= 7


def test_most_requests_with_a_part_that_crashes(net) -> None:
    net.crash_by(0.4)
    net.run_world(15)
    net.check()


def test_a_verdict_outlives_all_processes(net) -> None:
    net.crash_by()
    net.run_world(10)
    crashes = net.meter.crashes
    for names in (CONTROLLERS, ENTRIES, (*CONTROLLERS, *ENTRIES)):
        for name in names:
            net.kill(name)
        for name in names:
            net.start(name)
        net.disturb(*(name for name in names if name in ENTRIES))
        net.run_world(6)
    net.check()
    assert net.verdicts() == {evidence.part_trait(PART)}
    assert net.meter.crashes == crashes


def test_a_new_leader_knows_the_evidence(net) -> None:
    """Leaders are killed one after the other while a part crashes."""
    net.crash_by(0.02)
    for _ in range(4):
        leader = next(
            (
                name
                for name in CONTROLLERS
                if name in net.process_by_name
                and net.process_by_name[name].state.is_settled_leader
            ),
            CONTROLLERS[0],
        )
        net.kill(leader)
        net.run_world(2)
        net.start(leader)
        net.run_world(2)
    net.check()


def test_entries_that_are_cut_off_judge_and_tell_later(net) -> None:
    cut_site(net, {"e1", "e2"})
    net.run_world(2)
    net.crash_by(0.2)
    net.run_world(10)
    for name in ("e1", "e2"):
        guard = net.process_by_name[name].state.guard
        assert guard.own_verdicts == [evidence.part_trait(PART)]
    net.cut.clear()
    net.run_world(8)
    net.check()
    assert net.verdicts() == {evidence.part_trait(PART)}
    guard = net.process_by_name["e1"].state.guard
    assert guard.own_verdicts == []


def test_the_evidence_of_a_cut_data_centre_convicts_later(net) -> None:
    """Only entries that are cut off get requests with the part."""
    cut_site(net, {"e1", "e2"})
    net.run_world(2)
    net.world.entries = ("e1", "e2")
    net.crash_by(0.2)
    net.run_world(5)
    net.world.share_by_part.clear()
    net.world.entries = ENTRIES
    net.run_world(10)
    net.cut.clear()
    net.run_world(5)
    assert net.verdicts() == {evidence.part_trait(PART)}
    assert net.world.figures.sound_convicted == 0


def test_a_part_that_comes_back_is_still_known(net) -> None:
    net.crash_by()
    net.run_world(10)
    crashes = net.meter.crashes
    net.world.share_by_part.clear()
    net.run_world(60)
    net.crash_by()
    net.run_world(10)
    net.check()
    assert net.meter.crashes == crashes


def test_other_crashes_convict_nobody(net) -> None:
    net.world.other_crashes = 1.0
    net.run_world(60)
    assert net.verdicts() == set()
    net.check()


def test_faults_in_series_keep_the_bound(net) -> None:
    net.crash_by()
    rng = random.Random(net.seed)
    for _ in range(10):
        match rng.randrange(4):
            case 0:
                restart_three(net, rng)
            case 1:
                cut_site(net, rng.choice(SITES))
            case 2:
                net.cut.clear()
            case _:
                net.world.other_crashes = rng.choice((0.0, 1.0))
        net.run_world(rng.uniform(0.3, 5.0))
    net.cut.clear()
    net.world.other_crashes = 0.0
    net.run_world(8)
    assert net.violations == []
    assert net.verdicts() == {evidence.part_trait(PART)}


def test_an_operator_lifts_a_verdict(net) -> None:
    net.crash_by()
    net.run_world(10)
    net.world.share_by_part.clear()
    controller = net.process_by_name["c1"]
    net.carry_out(
        controller,
        controller.state.lift_verdict(evidence.part_trait(PART), net.now),
    )
    net.run_world(2)
    assert net.verdicts() == set()


def serve_calls_by_three_upstreams(net: CrashNet) -> None:
    """Makes the world a service of calls that have no prompt parts."""
    net.world.keep_upstreams(3)
    net.world.with_parts = False
    net.world.requests_per_second = 8.0


def test_a_call_that_comes_again_is_convicted_by_its_third_crash(net) -> None:
    serve_calls_by_three_upstreams(net)
    net.run_world(2)
    net.send_again_and_again("again")
    net.run_world(30)
    net.check(30)
    assert net.verdicts() == {evidence.request_trait("again")}
    assert net.meter_by_request["again"].crashes <= 3


def test_a_stream_that_comes_again_is_convicted_by_its_third_crash(
    net,
) -> None:
    """Its only part is in answers to others all the time."""
    net.send_again_and_again("again", "first0")
    net.run_world(30)
    net.check()
    assert net.verdicts() == {evidence.request_trait("again")}
    assert net.meter_by_request["again"].crashes <= 3


def test_requests_that_come_again_are_convicted_beside_other_crashes(
    net,
) -> None:
    net.world.other_crashes = 1.0
    net.run_world(10)
    for number in range(3):
        net.send_again_and_again(f"again{number}", "first0")
    net.run_world(40)
    net.world.other_crashes = 0.0
    net.run_world(5)
    net.check()
    names = {evidence.request_trait(f"again{number}") for number in range(3)}
    assert net.verdicts() == names


def test_faults_in_series_keep_the_bound_of_requests_that_come_again(
    net,
) -> None:
    serve_calls_by_three_upstreams(net)
    net.send_again_and_again("again")
    rng = random.Random(net.seed)
    for _ in range(8):
        match rng.randrange(3):
            case 0:
                restart_three(net, rng)
            case 1:
                cut_site(net, rng.choice(SITES))
            case _:
                net.cut.clear()
        net.run_world(rng.uniform(0.3, 5.0))
    net.cut.clear()
    net.run_world(12)
    assert net.violations == []
    assert net.verdicts() == {evidence.request_trait("again")}
