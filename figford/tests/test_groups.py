"""Tests which groups are complete, also for random announced seats."""

import datetime

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from figford import groups
from figford import membership
from figford import messages

NOW = datetime.timedelta(seconds=100)


def member(name, seat, state=messages.UpstreamState.SERVING, domain="f"):
    return messages.Announcement(
        upstream=name,
        incarnation=1,
        sequence=1,
        data_centre="north",
        fabric_domain=domain,
        address=f"127.0.0.1:{len(name)}",
        kind=messages.UpstreamKind.ENGINE,
        state=state,
        seat=seat,
    )


def seat(group, fence, rank, size=2):
    return messages.Seat(group, "chat", fence, rank, size)


def test_group_is_complete_when_all_ranks_agree():
    views = groups.complete_groups(
        [member("a", seat("g", 1, 0)), member("b", seat("g", 1, 1))]
    )
    assert views["g"].member_names == ("a", "b")
    assert views["g"].state is groups.GroupState.SERVING


def test_group_with_two_fences_is_not_complete():
    half = [member("a", seat("g", 2, 0)), member("b", seat("g", 1, 1))]
    assert groups.complete_groups(half) == {}


def test_members_of_two_domains_form_no_group():
    split = [
        member("a", seat("g", 1, 0)),
        member("b", seat("g", 1, 1), domain="other"),
    ]
    assert groups.complete_groups(split) == {}


def test_leaving_member_closes_and_loading_member_breaks_a_group():
    for state, wanted in (
        (messages.UpstreamState.LEAVING, [groups.GroupState.CLOSING]),
        (messages.UpstreamState.LOADING, []),
    ):
        views = groups.complete_groups(
            [member("a", seat("g", 1, 0)), member("b", seat("g", 1, 1), state)]
        )
        assert [view.state for view in views.values()] == wanted


def table_of(members):
    upstreams = membership.UpstreamTable("north")
    for announcement in members:
        upstreams.announce(announcement, NOW, False)
    return upstreams, groups.GroupTable(upstreams)


def test_group_expires_when_a_member_is_silent():
    upstreams, table = table_of(
        [member("a", seat("g", 1, 0)), member("b", seat("g", 1, 1))]
    )
    view = table.by_group(NOW)["g"]
    late = (
        NOW
        + membership.UPSTREAM_SILENCE_TIMEOUT
        + datetime.timedelta(seconds=1)
    )
    assert table.by_group(late) == {}
    assert not table.is_intact(view, late)


def test_finishing_members_do_not_break_work_in_progress():
    upstreams, table = table_of(
        [member("a", seat("g", 1, 0)), member("b", seat("g", 1, 1))]
    )
    view = table.by_group(NOW)["g"]
    released = member("b", None, messages.UpstreamState.IDLE)
    upstreams.announce(attrs.evolve(released, sequence=2), NOW, False)
    assert table.by_group(NOW) == {}
    assert table.is_intact(view, NOW)
    moved = member("b", seat("h", 5, 0))
    upstreams.announce(attrs.evolve(moved, sequence=3), NOW, False)
    assert not table.is_intact(view, NOW)


@settings(max_examples=300, derandomize=True)
@given(
    seats=strategies.lists(
        strategies.one_of(
            strategies.none(),
            strategies.builds(
                seat,
                strategies.sampled_from(["g", "h"]),
                strategies.integers(1, 3),
                strategies.integers(0, 2),
                strategies.integers(1, 3),
            ),
        ),
        max_size=8,
    )
)
def test_any_seats_give_disjoint_whole_groups(seats):
    members = [member(f"u{i}", held) for i, held in enumerate(seats)]
    views = groups.complete_groups(members)
    used = [name for view in views.values() for name in view.member_names]
    assert len(used) == len(set(used))
    for view in views.values():
        for rank, announced in enumerate(view.members):
            assert announced.seat.rank == rank
            assert announced.seat.fence == view.fence
            assert announced.seat.size == len(view.members)
