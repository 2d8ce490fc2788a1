"""Injects random faults, which may overlap, into a soak."""

import collections
import typing

import attrs

from figford.tools.soaking import entries
from figford.tools.soaking import fakes
from figford.tools.soaking import schedule
from figford.tools.soaking import world

STOP_TIMEOUT = schedule.seconds(65)
STOP_POLL_INTERVAL = schedule.seconds(0.2)


@attrs.define(eq=False)
class FaultInjector:
    """Injects faults at random times, ends them and counts them by kind."""

    soak: world.Soak
    count_by_kind: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    active: bool = True
    _weights: dict[str, tuple[int, typing.Callable[[], bool]]] = attrs.field(
        init=False
    )

    def __attrs_post_init__(self) -> None:
        """Sets the weights of the faults and schedules the first one."""
        self._weights = {
            "entry killed": (3, self._kill_entry),
            "entry frozen": (4, self._freeze_entry),
            "entry stopped": (2, self._stop_entry),
            "disk lost": (1, self._lose_disk),
            "entries cut": (4, self._partition_pair),
            "entry isolated": (2, self._isolate_entry),
            "data centre cut": (2, self._partition_data_centre),
            "engine killed": (4, self._kill_upstream),
            "upstream frozen": (5, self._freeze_upstream),
            "upstream cut": (3, self._partition_upstream),
            "upstream leaves": (3, self._announce_leaving),
            "domain dark": (1, self._fail_domain),
        }
        self._schedule_next()

    @property
    def _clock(self) -> schedule.VirtualClock:
        return self.soak.clock

    def _schedule_next(self) -> None:
        self._clock.after(self._clock.jitter(0.3, 5.0), self._inject_next)

    def _inject_next(self) -> None:
        if not self.active:
            return
        self._schedule_next()
        kinds = list(self._weights)
        weights = [self._weights[kind][0] for kind in kinds]
        kind = self._clock.rng.choices(kinds, weights)[0]
        if self._weights[kind][1]():
            self.count_by_kind[kind] += 1
            self._clock.record_event("fault", kind)

    def _run_later(
        self, low: float, high: float, action: typing.Callable[[], None]
    ) -> None:
        self._clock.after(self._clock.jitter(low, high), action)

    # ---- Entries --------------------------------------------------------

    def _pick_entry(self) -> entries.SoakEntry | None:
        candidates = [
            entry
            for entry in self.soak.entry_by_name.values()
            if entry.working and not entry.stopping
        ]
        return self._clock.rng.choice(candidates) if candidates else None

    def _kill_entry(self) -> bool:
        entry = self._pick_entry()
        if entry is None:
            return False
        self._crash_entry(entry)
        self._restart_later(entry)
        return True

    def _crash_entry(self, entry: entries.SoakEntry) -> None:
        entry.crash()
        self.soak.close_links(entry.name)

    def _restart_later(self, entry: entries.SoakEntry) -> None:
        generation = entry.generation

        def restart() -> None:
            if not entry.alive and entry.generation == generation:
                entry.start()

        self._run_later(0.5, 12.0, restart)

    def _freeze_entry(self) -> bool:
        entry = self._pick_entry()
        if entry is None:
            return False
        entry.pause()
        generation = entry.generation

        def unfreeze() -> None:
            if entry.generation == generation:
                entry.resume()

        self._run_later(0.2, 12.0, unfreeze)
        return True

    def _stop_entry(self) -> bool:
        entry = self._pick_entry()
        if entry is None:
            return False
        entry.begin_stop()
        stop_started_at = self._clock.now()
        generation = entry.generation

        def poll() -> None:
            if entry.generation != generation:
                return
            if entry.working and not entry.gateway.in_progress:
                self._crash_entry(entry)
                self._restart_later(entry)
                return
            if (
                self._clock.now() - stop_started_at > STOP_TIMEOUT
                and entry.working
            ):
                self.soak.checks.fail(f"{entry.name} didn't stop in time")
            self._clock.after(STOP_POLL_INTERVAL, poll)

        poll()
        return True

    def _lose_disk(self) -> bool:
        entry = self._pick_entry()
        if entry is None or entry.disk is None:
            return False
        if not self._may_lose_disk(entry):
            return False
        self._crash_entry(entry)
        entry.disk.erase()
        self._restart_later(entry)
        return True

    def _may_lose_disk(self, entry: entries.SoakEntry) -> bool:
        """Returns whether every electorate keeps a majority of its disks.

        The log can't recover from the loss of a majority; that takes an
        operator.
        """
        electorates = []
        retained_voters = set()
        for other in self.soak.entry_by_name.values():
            if other.disk is None or not other.alive:
                if other.disk is not None:
                    return False
                continue
            voter = other.node.control
            if voter is None:
                continue
            electorates.append(voter.agreement.voters)
            # A learner may be becoming a voter at this time.
            electorates.append(
                [*voter.agreement.voters, *sorted(voter.agreement.learners)]
            )
            retained_voters.add(voter.agreement.voter)
        if entry.node.control is None:
            return False
        retained_voters.discard(entry.node.control.agreement.voter)
        for voters in electorates:
            if voters and 2 * len(retained_voters & set(voters)) <= len(
                voters
            ):
                return False
        return True

    def _partition_pair(self) -> bool:
        names = list(self.soak.entry_by_name)
        one, other = self._clock.rng.sample(names, 2)
        self._partition_for([(one, other)], 0.5, 15.0)
        return True

    def _partition_for(
        self, pairs: list[tuple[str, str]], low: float, high: float
    ) -> None:
        for one, other in pairs:
            self.soak.partition_entries(one, other)

        def heal() -> None:
            for one, other in pairs:
                self.soak.heal(one, other)

        self._run_later(low, high, heal)

    def _isolate_entry(self) -> bool:
        name = self._clock.rng.choice(list(self.soak.entry_by_name))
        pairs = [
            (name, other) for other in self.soak.entry_by_name if other != name
        ]
        self._partition_for(pairs, 1.0, 20.0)
        return True

    def _partition_data_centre(self) -> bool:
        data_centre = self._clock.rng.choice(world.DATA_CENTRES)
        inside = []
        outside = []
        for entry in self.soak.entry_by_name.values():
            side = inside if entry.data_centre == data_centre else outside
            side.append(entry.name)
        pairs = [(one, other) for one in inside for other in outside]
        self._partition_for(pairs, 2.0, 25.0)
        return True

    # ---- Upstreams ------------------------------------------------------

    def _pick_upstream(self) -> fakes.FakeUpstream | None:
        candidates = [
            upstream
            for upstream in self.soak.all_upstreams
            if upstream.working and upstream.leaving_since is None
        ]
        return self._clock.rng.choice(candidates) if candidates else None

    def _kill_upstream(self) -> bool:
        upstream = self._pick_upstream()
        if upstream is None:
            return False
        self._kill_and_restart(upstream, 1.0, 30.0)
        return True

    def _kill_and_restart(
        self, upstream: fakes.FakeUpstream, low: float, high: float
    ) -> None:
        upstream.kill()
        generation = upstream.generation

        def restart() -> None:
            if upstream.generation == generation:
                upstream.restart()

        self._run_later(low, high, restart)

    def _freeze_upstream(self) -> bool:
        upstream = self._pick_upstream()
        if upstream is None:
            return False
        upstream.pause()
        self._run_later(0.3, 10.0, upstream.resume)
        return True

    def _partition_upstream(self) -> bool:
        upstream = self._pick_upstream()
        if upstream is None:
            return False
        upstream.partitioned = True

        def heal() -> None:
            upstream.partitioned = False

        self._run_later(0.3, 10.0, heal)
        return True

    def _announce_leaving(self) -> bool:
        upstream = self._pick_upstream()
        if upstream is None:
            return False
        upstream.leaving_since = self._clock.now()
        upstream.send_announcement()
        generation = upstream.generation

        def terminate() -> None:
            if upstream.generation == generation:
                self._kill_and_restart(upstream, 2.0, 10.0)

        self._run_later(8.0, 15.0, terminate)
        return True

    def _fail_domain(self) -> bool:
        domain = self._clock.rng.choice(
            sorted(
                {engine.domain for engine in self.soak.engine_by_name.values()}
            )
        )
        members = [
            engine
            for engine in self.soak.engine_by_name.values()
            if engine.domain == domain
        ]
        duration = self._clock.rng.uniform(2.0, 20.0)
        for engine in members:
            if engine.working:
                self._kill_and_restart(engine, duration, duration + 1.0)
        return True

    # ---- Recovery -------------------------------------------------------

    def heal_all(self) -> None:
        """Ends all faults and restarts all stopped processes."""
        self.active = False
        for pair in list(self.soak.partition_start_by_pair):
            one, other = sorted(pair)
            self.soak.heal(one, other)
        for entry in self.soak.entry_by_name.values():
            if not entry.alive:
                entry.start()
            elif entry.paused:
                entry.resume()
        for upstream in self.soak.all_upstreams:
            upstream.partitioned = False
            if not upstream.alive:
                upstream.restart()
            elif upstream.paused:
                upstream.resume()
