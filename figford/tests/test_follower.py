"""Configuration at followers, confirmation at start, routing of results."""

import datetime

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from figford import effects
from figford import follower
from figford import messages
from figford import proposals
from figford import readiness

NOW = datetime.timedelta(seconds=100)
SECOND = datetime.timedelta(seconds=1)


def document(value):
    return {"policies": {"p": {"v": value}, f"q{value}": {"v": 0}}}


@settings(max_examples=150, derandomize=True)
@given(
    values=strategies.lists(strategies.integers(0, 9), max_size=20),
    start=strategies.integers(0, 20),
)
def test_entry_that_missed_changes_catches_up(values, start):
    ahead = follower.ConfigurationFollower()
    behind = follower.ConfigurationFollower()
    for version, value in enumerate(values, 1):
        view = messages.ConfigurationView(version, document(value))
        assert ahead.offer(view)
        if version <= start:
            behind.offer(view)
    pull = behind.pull(ahead.version, NOW)
    if pull is None:
        assert behind.version == ahead.version
        return
    answer = ahead.answer(pull)
    if isinstance(answer, messages.ConfigurationDelta):
        behind.offer_delta(answer)
    else:
        behind.offer(answer)
    assert behind.view == ahead.view


def test_stale_views_and_deltas_are_ignored():
    configuration = follower.ConfigurationFollower()
    configuration.offer(messages.ConfigurationView(5, document(5)))
    assert not configuration.offer(messages.ConfigurationView(4, document(4)))
    assert not configuration.offer_delta(messages.ConfigurationDelta(3, 6, {}))
    assert configuration.version == 5
    assert configuration.stale_messages == 2


def test_one_pull_at_a_time():
    configuration = follower.ConfigurationFollower()
    assert configuration.pull(3, NOW) is not None
    assert configuration.pull(3, NOW) is None
    assert configuration.pull(3, NOW + follower.PULL_TIMEOUT) is not None


def reachability(
    quorum=False, live=("a",), electorate=("a", "b", "c"), version=0
):
    return readiness.Reachability(
        quorum, frozenset(electorate), frozenset(live), version
    )


def test_started_entry_waits_for_the_quorums_version():
    state = readiness.Readiness(NOW)
    state.review(3, reachability(True), NOW)
    assert not state.confirmed
    state.record_quorum_reply(messages.VersionInForce(4))
    state.review(3, reachability(True), NOW)
    assert not state.confirmed
    state.review(4, reachability(True), NOW)
    assert state.confirmed


def test_data_centre_cut_off_serves_by_its_highest_version():
    state = readiness.Readiness(NOW)
    later = NOW + readiness.QUORUM_WAIT
    state.review(3, reachability(live=("a",)), later)
    assert not state.confirmed
    state.review(3, reachability(live=("a", "b"), version=4), later)
    assert not state.confirmed
    state.review(4, reachability(live=("a", "b"), version=4), later)
    assert state.confirmed


def test_entry_that_hears_no_majority_is_isolated():
    assert reachability(live=("a",)).is_isolated
    assert not reachability(quorum=True, live=("a",)).is_isolated
    assert not reachability(live=("a", "b")).is_isolated
    assert reachability(live=("a",), electorate=()).is_isolated


def test_proposal_is_retried_until_decided_or_past_its_deadline():
    tracker = proposals.ProposalTracker()
    tracker.start("p", messages.Noop(), NOW + SECOND, NOW)
    assert len(tracker.due(NOW)) == 1
    assert tracker.due(NOW) == []
    undecided = messages.ProposalResult("p", messages.Undecided())
    assert tracker.route_result(undecided) == []
    assert len(tracker.due(NOW + proposals.RETRY_INTERVAL)) == 1
    assert tracker.expire(NOW + SECOND) == [effects.Decided("p", None)]


def test_result_returns_along_the_path_of_the_proposal():
    tracker = proposals.ProposalTracker()
    asked = messages.Proposal("p", messages.Noop(), 1)
    assert tracker.relay(asked, "origin", NOW).hops_left == 0
    result = messages.ProposalResult("p", messages.Done())
    assert tracker.route_result(result) == [effects.SendPeer("origin", result)]
    assert tracker.route_result(result) == []
    last = messages.Proposal("q", messages.Noop(), 0)
    assert tracker.relay(last, "origin", NOW) is None
