"""The clock counts the time for which an instance was suspended."""

import datetime
import time

import pytest

from figford import clocks
from figford.tests import test_controller

SECOND = datetime.timedelta(seconds=1)


def test_the_clock_counts_suspensions(monkeypatch) -> None:
    seconds_by_clock = {time.CLOCK_MONOTONIC: 5.0, time.CLOCK_BOOTTIME: 11.0}
    monkeypatch.setattr(time, "clock_gettime", seconds_by_clock.__getitem__)
    monkeypatch.setattr(time, "monotonic", lambda: 5.0)
    assert clocks.SystemClock().now() == 11 * SECOND


@pytest.mark.parametrize("counts_suspension", [True, False])
def test_a_suspended_leader_leads_no_more_if_its_clock_counts_that(
    counts_suspension: bool,
) -> None:
    """Others elected a leader meanwhile, and it has heard nothing yet."""
    net = test_controller.Net(seed=3)
    net.run(5)
    name = test_controller.leader_of(net)
    suspended = net.process_by_name[name].state
    asleep_at = net.now
    awake_at = asleep_at + 6 * SECOND if counts_suspension else asleep_at
    suspended.tick(awake_at)
    assert suspended.is_settled_leader is not counts_suspension
