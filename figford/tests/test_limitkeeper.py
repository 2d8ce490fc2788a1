"""The keeper grants what limits allow, to whoever waits for it."""

import datetime

import pytest

from figford import fleetmessages
from figford import limitkeeper
from figford import limits

SECOND = datetime.timedelta(seconds=1)
STEP = limitkeeper.GRANT_INTERVAL
NOW = 100 * SECOND
KEY = ("app", None)


def keys(upstream: str, incarnation: int) -> list[limits.Key]:
    return [KEY]


def want(
    waiting: int = 0, expected: int = 0, *excluded: str
) -> fleetmessages.PermitRequest:
    return fleetmessages.PermitRequest(
        1,
        [fleetmessages.PermitWant(*KEY, waiting, expected, list(excluded))],
    )


def new_keeper(
    **rate_by_upstream: float,
) -> tuple[limitkeeper.LimitKeeper, limits.LimitTable]:
    table = limits.LimitTable()
    for name, rate in rate_by_upstream.items():
        table.apply(fleetmessages.UpstreamLimit(name, 1, rate))
    keeper = limitkeeper.LimitKeeper()
    keeper.start(1, NOW)
    return keeper, table


def run(
    keeper: limitkeeper.LimitKeeper,
    table: limits.LimitTable,
    seconds: float,
    wants: dict[str, fleetmessages.PermitRequest],
    now: datetime.timedelta = NOW,
    part: float = 1.0,
) -> dict[str, int]:
    """Returns the permits by entry; requests are repeated all the time."""
    granted: dict[str, int] = {}
    for step in range(round(seconds * SECOND / STEP)):
        at = now + step * STEP
        for entry, request in wants.items():
            keeper.receive_request(entry, request, at)
        for entry, grant in keeper.grant(table, keys, part, at).items():
            count = sum(permit.count for permit in grant.permits)
            granted[entry] = granted.get(entry, 0) + count
    return granted


@pytest.mark.parametrize("rate", [0.25, 1.0, 1.5, 40.0])
def test_a_limit_is_granted_whole_and_no_more(rate: float) -> None:
    keeper, table = new_keeper(u=rate)
    granted = run(keeper, table, 40, {"e1": want(9), "e2": want(9)})
    # One second passes until a new keeper grants; the bucket fills up then.
    allowed = rate * 40
    assert allowed * 0.95 - rate - 1 <= sum(granted.values()) <= allowed + 1
    assert abs(granted["e1"] - granted["e2"]) <= 1


def test_a_new_keeper_waits_for_the_end_of_its_predecessor() -> None:
    keeper, table = new_keeper(u=40.0)
    wait = limitkeeper.TAKEOVER_WAIT / SECOND
    assert run(keeper, table, wait, {"e1": want(99)}) == {}
    assert run(keeper, table, wait, {"e1": want(99)}, NOW + SECOND)
    keeper.start(2, NOW + 2 * SECOND)
    later = NOW + 2 * SECOND
    assert run(keeper, table, wait, {"e1": want(99)}, later) == {}


def test_what_waits_goes_before_what_is_expected() -> None:
    keeper, table = new_keeper(u=1.0)
    granted = run(keeper, table, 20, {"e1": want(0, 5), "e2": want(5)})
    assert set(granted) == {"e2"}
    later = NOW + 20 * SECOND
    assert "e1" in run(keeper, table, 20, {"e1": want(0, 5)}, later)


def test_the_part_of_isolated_entries_is_not_granted() -> None:
    keeper, table = new_keeper(u=2.0)
    granted = run(keeper, table, 40, {"e1": want(9)}, part=0.5)
    assert sum(granted.values()) <= 41


def test_an_entry_gets_no_permit_that_it_can_t_use() -> None:
    keeper, table = new_keeper(u=4.0, v=4.0)
    run(keeper, table, 3, {})
    keeper.receive_request("e1", want(9, 0, "u"), NOW + 3 * SECOND)
    grants = keeper.grant(table, keys, 1.0, NOW + 3 * SECOND)
    assert [item.upstream for item in grants["e1"].permits] == ["v"]


def test_an_old_request_is_not_granted() -> None:
    keeper, table = new_keeper(u=4.0)
    keeper.receive_request("e1", want(9), NOW)
    late = NOW + 2 * SECOND + limits.REQUEST_VALIDITY
    assert keeper.grant(table, keys, 1.0, late) == {}


def test_orders_are_charged_to_the_limit() -> None:
    keeper, table = new_keeper(u=1.0)
    run(keeper, table, 3, {})
    for _ in range(5):
        keeper.charge("u")
    later = NOW + 3 * SECOND
    assert run(keeper, table, 4, {"e1": want(9)}, later) == {}
    assert run(keeper, table, 4, {"e1": want(9)}, later + 4 * SECOND)


def test_an_ended_limit_frees_its_bucket() -> None:
    keeper, table = new_keeper(u=1.0)
    run(keeper, table, 3, {})
    table.apply(fleetmessages.UpstreamLimit("u", 1, None))
    later = NOW + 3 * SECOND
    assert run(keeper, table, 3, {"e1": want(9)}, later) == {}
    # A limit that begins anew starts with an empty bucket.
    table.apply(fleetmessages.UpstreamLimit("u", 1, 1.0))
    again = NOW + 6 * SECOND
    assert run(keeper, table, 0.9, {"e1": want(9)}, again) == {}
