"""Permits are spent once, expire, and end with their limit and keeper."""

import datetime

import pytest

from figford import fleetmessages
from figford import limits
from figford import permits

SECOND = datetime.timedelta(seconds=1)
NOW = 100 * SECOND
WANT = fleetmessages.PermitWant("app", None, 1, 0)


def new_permits(rate: float = 1.0) -> permits.Permits:
    own = permits.Permits()
    own.apply(fleetmessages.UpstreamLimit("u", 1, rate))
    own.keeper_heard("c1", 3, NOW)
    return own


def grant(
    own: permits.Permits,
    sender: str = "c1",
    term: int = 3,
    delay: datetime.timedelta = datetime.timedelta(0),
    incarnation: int = 1,
) -> bool:
    """Requests one permit and passes the grant on after a delay."""
    request = own.request([WANT], NOW)
    message = fleetmessages.PermitGrant(
        term,
        request.sequence,
        [fleetmessages.Permit("u", incarnation, 1)],
    )
    return own.receive_grant(sender, message, NOW + delay)


def test_a_permit_is_for_one_request() -> None:
    own = new_permits()
    assert own.held("u", NOW) == 0
    assert grant(own) and own.held("u", NOW) == 1
    own.withdraw("u", 1, NOW)
    assert own.held("u", NOW) == 0
    with pytest.raises(AssertionError):
        own.withdraw("u", 1, NOW)


def test_a_permit_expires_by_when_it_was_asked_for() -> None:
    own = new_permits()
    assert grant(own, delay=0.9 * SECOND)
    assert own.held("u", NOW + 0.99 * SECOND) == 1
    assert own.held("u", NOW + limits.PERMIT_VALIDITY) == 0
    # A grant that was held up on its way is of no use.
    own = new_permits()
    assert not grant(own, delay=limits.PERMIT_VALIDITY)
    assert own.rejected == 1


@pytest.mark.parametrize(
    "wrong", [{"sender": "c2"}, {"term": 2}, {"incarnation": 2}]
)
def test_only_the_newest_keeper_and_incarnation_count(wrong: dict) -> None:
    own = new_permits()
    assert not grant(own, **wrong)
    assert own.held("u", NOW) == 0


def test_a_keeper_of_an_earlier_term_is_ignored() -> None:
    own = new_permits()
    own.keeper_heard("c2", 4, NOW)
    own.keeper_heard("c1", 3, NOW + SECOND)
    assert own.keeper == "c2" and own.term == 4


def test_permits_end_with_their_limit() -> None:
    own = new_permits()
    grant(own)
    own.apply(fleetmessages.UpstreamLimit("u", 1, None))
    assert not own.limited("u", 1)
    own.apply(fleetmessages.UpstreamLimit("u", 1, 2.0))
    assert own.held("u", NOW) == 0


def test_a_new_incarnation_has_no_permits_of_the_old_one() -> None:
    own = new_permits()
    grant(own)
    own.apply(fleetmessages.UpstreamLimit("u", 2, 1.0))
    assert own.limited("u", 2) and not own.limited("u", 1)
    assert own.held("u", NOW) == 0


def test_requests_are_sent_on_changes_and_renewed() -> None:
    own = new_permits()
    assert own.request([], NOW) is None
    assert own.request([WANT], NOW) is not None
    assert own.request([WANT], NOW + permits.REQUEST_INTERVAL) is None
    assert own.request([WANT], NOW + permits.RENEWAL_INTERVAL) is not None
    # What is no longer wanted is taken back, once.
    later = NOW + SECOND
    assert own.request([], later).wants == []
    assert own.request([], later + SECOND) is None
    # A new keeper knows nothing of it.
    own.request([WANT], later + 2 * SECOND)
    own.keeper_heard("c2", 4, later + 2.2 * SECOND)
    assert own.request([WANT], later + 2.2 * SECOND) is not None


def slots_used(
    entries: int, rate: float, seconds: int, isolated: int
) -> list[datetime.timedelta]:
    """Returns when `isolated` of the entries, who always want to, send."""
    everyone = []
    for index in range(isolated):
        own = new_permits(rate)
        slot = fleetmessages.PermitSlot(3, index, entries, 7 * SECOND)
        own.assign_slot("c1", slot, NOW)
        everyone.append(own)
    sent = []
    for step in range(round(seconds / 0.03)):
        now = NOW + 0.03 * step * SECOND
        for own in everyone:
            own.issue_slots(now)
            while own.held("u", now):
                own.withdraw("u", 1, now)
                sent.append(now)
    return sent


@pytest.mark.parametrize("rate", [0.2, 1.0, 7.0, 60.0])
@pytest.mark.parametrize("entries", [1, 6, 40])
def test_isolated_entries_together_keep_to_the_limit(
    rate: float, entries: int
) -> None:
    sent = slots_used(entries, rate, 60, entries)
    assert min(sent) >= NOW + limits.ISOLATION_TIMEOUT
    window = 4 * SECOND
    for start in sent:
        count = sum(start <= at < start + window for at in sent)
        validity = max(permits.MIN_SLOT_VALIDITY / SECOND, 0.03)
        assert count <= rate * (4 + validity) + 2
    assert len(sent) >= 0.9 * rate * 57 - 1


def test_a_part_of_the_entries_uses_only_its_part() -> None:
    sent = slots_used(6, 6.0, 60, 2)
    assert 0.9 * 57 * 2 <= len(sent) <= 57 * 2 + 2


def test_slots_end_after_their_time() -> None:
    own = new_permits()
    own.assign_slot("c1", fleetmessages.PermitSlot(3, 0, 1, 0 * SECOND), NOW)
    assert not own.is_isolated(NOW + limits.ISOLATION_TIMEOUT)
    assert own.is_isolated(NOW + limits.ISOLATION_TIMEOUT + SECOND)
    assert not own.is_isolated(NOW + limits.ISOLATED_SERVICE)


def test_a_limit_of_zero_lets_a_probe_through() -> None:
    """Only an answer can show that the limit has ended."""
    sent = slots_used(1, 0.0, 65, 1)
    assert 1 <= len(sent) <= 3
