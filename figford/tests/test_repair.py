"""Tests the choice of a repair by expected cost."""

import attrs
import pytest

from figford import repair

WEIGHTS = repair.Weights(downtime=1.0, stranding=1.0)
BROKEN = repair.BrokenGroup(
    group="g",
    size=4,
    minimum_size=0,
    healthy=3,
    silent_seconds=(4.0,),
    leaving=0,
    spares=0,
    spare_load_seconds=0.0,
    join_seconds=2.0,
    mergeable=0,
    move_load_seconds=None,
)


def decide(weights=WEIGHTS, history=None, **changes):
    broken = attrs.evolve(BROKEN, **changes)
    return repair.decide(broken, weights, history or repair.SilenceHistory())


def history_of(*seconds):
    history = repair.SilenceHistory()
    for _ in range(30):
        for value in seconds:
            history.record_return(value)
    return history


@pytest.mark.parametrize(
    ("changes", "kind"),
    [
        ({}, repair.Wait),
        ({"spares": 1}, repair.Replace),
        ({"mergeable": 1}, repair.Merge),
        ({"spares": 1, "spare_load_seconds": 500.0}, repair.Wait),
        ({"move_load_seconds": 1.0}, repair.Move),
        ({"spares": 1, "move_load_seconds": 1.0}, repair.Replace),
        ({"leaving": 1, "silent_seconds": (), "spares": 1}, repair.Replace),
        ({"silent_seconds": (), "minimum_size": 3}, repair.Shrink),
    ],
)
def test_option_of_least_cost_is_chosen(changes, kind):
    assert isinstance(decide(**changes), kind)


def test_waits_if_past_silences_were_short():
    short = history_of(4.5)
    waits = decide(history=short, spares=1, spare_load_seconds=4.0)
    assert isinstance(waits, repair.Wait)
    long = history_of(300.0)
    replaces = decide(history=long, spares=1, spare_load_seconds=4.0)
    assert isinstance(replaces, repair.Replace)


def test_does_not_wait_if_the_silence_exceeds_all_past_ones():
    decision = decide(
        history=history_of(4.5), spares=1, silent_seconds=(60.0,)
    )
    assert isinstance(decision, repair.Replace)


def test_history_is_bounded():
    history = repair.SilenceHistory()
    for value in range(5 * repair.HISTORY_LIMIT):
        history.record_return(float(value))
    assert len(history.ended_seconds) <= repair.HISTORY_LIMIT
