"""A limit holds for all entries together, under cuts, restarts and takeovers.

Controllers and entries run in virtual time; all entries always want to send
more than the limits allow.
"""

import random

import attrs
import pytest

from figford import fleetmessages
from figford import limits
from figford import permitslots
from figford.tests.platform import limitmeter
from figford.tests.test_controller import CONTROLLERS
from figford.tests.test_controller import Net
from figford.tests.test_controller import SECOND
from figford.tests.test_controller import STEP
from figford.tools import limitworld

ENTRIES = ("e1", "e2", "e3", "e4", "e5", "e6")
# Data centres that can be cut off from each other.
SITES = (
    {"c1", "e1", "e2"},
    {"c2", "e3", "e4"},
    {"c3", "e5", "e6"},
)
RATE_BY_UPSTREAM = {"u1": 1.0, "u2": 0.2, "u3": 7.5}
REPORT_STEPS = 60
WANT = fleetmessages.PermitWant("app", None, 5, 0)
SEEDS = range(6)
FAULTS = 14
FAULT_SECONDS = (0.3, 9.0)


@attrs.define
class LimitNet(Net):
    """A net with upstreams that name limits and count all requests."""

    upstreams: dict[str, limitworld.Upstream] = attrs.field(factory=dict)
    # Entries that ask for permits, but send nothing.
    quiet: set[str] = attrs.field(factory=set)
    _steps: int = 0

    def add_upstreams(self) -> None:
        """Starts upstreams that report to all controllers."""
        for name, rate in RATE_BY_UPSTREAM.items():
            self.upstreams[name] = limitworld.Upstream(name, rate)

    def run_limits(self, seconds: float) -> None:
        """Advances virtual time; all entries send what they may."""
        for _ in range(round(seconds * SECOND / STEP)):
            self.run(STEP / SECOND)
            self._steps += 1
            if self._steps % REPORT_STEPS == 1:
                self._report()
            for name in self.entries:
                process = self.process_by_name.get(name)
                if process is not None:
                    self._send_requests(process)

    def _report(self) -> None:
        for name in self.upstreams:
            item = fleetmessages.Registration(
                name, 1, self._steps, "app", f"{name}:1", "dc", 4
            )
            for controller in CONTROLLERS:
                process = self.process_by_name.get(controller)
                if process is not None:
                    effects = process.state.report(item, self.now)
                    self.carry_out(process, effects)

    def _send_requests(self, process) -> None:
        permits = process.state.permits
        permits.issue_slots(self.now)
        for name, upstream in self.upstreams.items():
            if name not in process.state.fleet.by_name:
                continue
            limited = permits.limited(name, 1)
            if process.name in self.quiet:
                continue
            while not limited or permits.held(name, self.now):
                permits.withdraw(name, 1, self.now)
                upstream.arrivals.append(self.now)
                limit = fleetmessages.UpstreamLimit(name, 1, upstream.rate)
                if permits.apply(limit):
                    effects = process.state.send_limit(limit)
                    self.carry_out(process, effects)
                if not limited:
                    break
        wants = [WANT] if permits.table.by_upstream else []
        request = permits.request(wants, self.now)
        if request is not None:
            message = (process.name, permits.keeper, request)
            if frozenset(message[:2]) in self.linked:
                self.in_flight.append(message)

    def check(self, since) -> None:
        """Checks the users' bound, and the sum over the whole time."""
        for upstream in self.upstreams.values():
            meter = limitmeter.LimitMeter(upstream.rate)
            assert upstream.most_in_window(since) <= meter.allowed()
        whole = (self.now - since) / SECOND
        for upstream in self.upstreams.values():
            count = sum(at > since for at in upstream.arrivals)
            rate = limits.requests_per_second(upstream.rate)
            assert count <= 1.05 * rate * whole + limitmeter.RESERVE

    def admitted(self, since) -> float:
        """Returns the part of what the limits allow that was sent."""
        allowed = sum(RATE_BY_UPSTREAM.values()) * (self.now - since) / SECOND
        return (
            sum(
                at > since
                for upstream in self.upstreams.values()
                for at in upstream.arrivals
            )
            / allowed
        )


@pytest.fixture(name="net", params=SEEDS)
def fixture_net(request):
    net = LimitNet(request.param, entries=ENTRIES)
    net.add_upstreams()
    net.run_limits(8)
    return net


def cut_site(net: LimitNet, inside: set[str]) -> None:
    outside = set(net.entries) | set(CONTROLLERS)
    outside -= inside
    net.cut |= {frozenset((a, b)) for a in inside for b in outside}


def test_all_entries_together_use_the_whole_limit(net) -> None:
    since = net.now
    net.run_limits(30)
    net.check(since)
    assert net.admitted(since) >= 0.95


def test_a_cut_data_centre_gets_its_part_and_no_more(net) -> None:
    cut_site(net, SITES[net.seed % 3])
    net.run_limits(8)
    since = net.now
    before = {name: len(net.upstreams[name].arrivals) for name in ("u3",)}
    net.run_limits(30)
    net.check(since)
    assert net.admitted(since) >= 0.9
    assert len(net.upstreams["u3"].arrivals) > before["u3"]


def test_restarted_controllers_know_the_entries_that_are_cut_off(net) -> None:
    """They granted the part that those entries went on using."""
    net.cut |= {
        frozenset((entry, controller))
        for entry in ("e3", "e4", "e5", "e6")
        for controller in CONTROLLERS
    }
    net.run_limits(8)
    for name in CONTROLLERS:
        net.kill(name)
        net.start(name)
    net.run_limits(6)
    since = net.now
    net.run_limits(30)
    net.check(since)
    assert net.admitted(since) >= 0.9


def test_a_cut_entry_keeps_the_part_that_it_was_told(net) -> None:
    """Entries that join make the parts smaller, but not those behind a cut."""
    for name in ENTRIES[2:]:
        net.kill(name)
    # Those that ended hold no part after a while.
    net.run_limits(permitslots.RESERVATION_TIME / SECOND + 5)
    net.cut |= {frozenset(("e1", controller)) for controller in CONTROLLERS}
    net.run_limits(4)
    for name in ENTRIES[2:]:
        net.start(name)
    net.run_limits(4)
    since = net.now
    net.run_limits(30)
    net.check(since)
    assert net.admitted(since) >= 0.9


def test_permits_are_not_saved_up_for_a_burst(net) -> None:
    since = net.now
    for _ in range(3):
        net.quiet = set(ENTRIES)
        net.run_limits(12)
        net.quiet = set()
        net.run_limits(0.1)
    net.check(since)


def test_the_limit_is_used_while_no_controller_runs(net) -> None:
    for name in CONTROLLERS:
        net.kill(name)
    net.run_limits(8)
    since = net.now
    net.run_limits(40)
    net.check(since)
    assert net.admitted(since) >= 0.9


def test_faults_in_series_never_exceed_the_limit(net) -> None:
    since = net.now
    rng = random.Random(net.seed)
    for _ in range(FAULTS):
        match rng.randrange(5):
            case 0:
                cut_site(net, rng.choice(SITES))
            case 1:
                net.cut.clear()
            case 2:
                name = rng.choice(ENTRIES)
                net.kill(name)
                net.start(name)
            case 3:
                name = rng.choice(CONTROLLERS)
                net.kill(name)
                net.start(name)
            case 4:
                pair = frozenset(
                    (rng.choice(ENTRIES), rng.choice(CONTROLLERS))
                )
                net.cut.add(pair)
        net.run_limits(rng.uniform(*FAULT_SECONDS))
    net.check(since)
    net.cut.clear()
    net.run_limits(8)
    healed = net.now
    net.run_limits(20)
    net.check(since)
    assert net.admitted(healed) >= 0.9


def test_entries_that_join_learn_of_limits_before_upstreams(net) -> None:
    since = net.now
    before = {name: len(item.arrivals) for name, item in net.upstreams.items()}
    for name in ENTRIES:
        net.kill(name)
        net.start(name)
    net.run_limits(1)
    for name, item in net.upstreams.items():
        assert len(item.arrivals) - before[name] <= 2 * item.rate + 1
    net.check(since)


def test_an_ended_limit_frees_what_it_held(net) -> None:
    limit = fleetmessages.UpstreamLimit("u1", 1, None)
    net.upstreams["u1"].rate = None
    process = net.process_by_name["e1"]
    process.state.permits.apply(limit)
    net.carry_out(process, process.state.send_limit(limit))
    # A link that breaks meanwhile may bring it back until the next answer.
    net.run_limits(limitmeter.GRACE / SECOND)
    assert not any(
        net.process_by_name[name].state.permits.limited("u1", 1)
        for name in ENTRIES
    )
    assert not any(
        net.process_by_name[name].state.limit_table.by_upstream.get("u1")
        for name in CONTROLLERS
    )


def test_a_limit_that_only_one_controller_still_knows_ends(net) -> None:
    """Its entries got no permit, hence no answer that could end the limit."""
    for upstream in net.upstreams.values():
        upstream.rate = None
    net.run_limits(12)
    stale = fleetmessages.UpstreamLimit("u1", 1, 1.0)
    followers = [
        name
        for name in CONTROLLERS
        if not net.process_by_name[name].state.is_settled_leader
    ]
    net.process_by_name[followers[0]].state.limit_table.apply(stale)
    net.kill("e1")
    net.start("e1")
    net.run_limits(12)
    for name in ENTRIES:
        assert not net.process_by_name[name].state.permits.table.by_upstream
