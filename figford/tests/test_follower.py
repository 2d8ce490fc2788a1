"""Configuration at followers, confirmation at start, proposals' way back."""

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


def test_older_and_crossed_versions_change_nothing():
    made = follower.ConfigurationFollower()
    made.offer(messages.ConfigurationView(5, document(5)))
    assert not made.offer(messages.ConfigurationView(4, document(4)))
    assert not made.offer_delta(messages.ConfigurationDelta(3, 6, {}))
    assert made.version == 5
    assert made.stale_messages == 2


def test_one_question_at_a_time():
    made = follower.ConfigurationFollower()
    assert made.pull(3, NOW) is not None
    assert made.pull(3, NOW) is None
    assert made.pull(3, NOW + follower.PULL_TIMEOUT) is not None


def company(quorum=False, live=("a",), electorate=("a", "b", "c"), version=0):
    return readiness.Company(
        quorum, frozenset(electorate), frozenset(live), version
    )


def test_started_entry_waits_for_the_quorums_version():
    made = readiness.Readiness(NOW)
    made.review(3, company(True), NOW)
    assert not made.confirmed
    made.quorum_said(messages.VersionInForce(4))
    made.review(3, company(True), NOW)
    assert not made.confirmed
    made.review(4, company(True), NOW)
    assert made.confirmed


def test_data_centre_cut_off_serves_by_its_highest_version():
    made = readiness.Readiness(NOW)
    later = NOW + readiness.QUORUM_WAIT
    made.review(3, company(live=("a",)), later)
    assert not made.confirmed
    made.review(3, company(live=("a", "b"), version=4), later)
    assert not made.confirmed
    made.review(4, company(live=("a", "b"), version=4), later)
    assert made.confirmed


def test_entry_that_hears_nobody_is_alone():
    assert company(live=("a",)).is_alone
    assert not company(quorum=True, live=("a",)).is_alone
    assert not company(live=("a", "b")).is_alone
    assert company(live=("a",), electorate=()).is_alone


def test_proposal_is_repeated_until_it_is_decided_or_late():
    desk = proposals.ProposalDesk()
    desk.start("p", messages.Noop(), NOW + SECOND, NOW)
    assert len(desk.due(NOW)) == 1
    assert desk.due(NOW) == []
    undecided = messages.ProposalResult("p", messages.Undecided())
    assert desk.result(undecided) == []
    assert len(desk.due(NOW + proposals.RETRY_EVERY)) == 1
    assert desk.expire(NOW + SECOND) == [effects.Decided("p", None)]


def test_result_goes_back_the_way_the_proposal_came():
    desk = proposals.ProposalDesk()
    asked = messages.Proposal("p", messages.Noop(), 1)
    assert desk.relay(asked, "origin", NOW).hops_left == 0
    result = messages.ProposalResult("p", messages.Done())
    assert desk.result(result) == [effects.SendPeer("origin", result)]
    assert desk.result(result) == []
    last = messages.Proposal("q", messages.Noop(), 0)
    assert desk.relay(last, "origin", NOW) is None
