"""Calls that may not be repeated: sent at most once, correct run state."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from figford import claims
from figford import errors
from figford import messages

ANSWER = messages.StoredAnswer(200, "text/plain", b"booked")
LARGE = messages.StoredAnswer(
    200, "text/plain", b"x" * (claims.STORED_ANSWER_LIMIT_BYTES + 1)
)
UNPROVEN = messages.StoredAnswer(503, "text/plain", b"not run")


def call(key="k"):
    return claims.Call("account", key, "digest", "entry@1", "attempt")


def granted(key="k"):
    made = call(key)
    made.start()
    if key is not None:
        made.handle(claims.ClaimDecided(messages.ClaimGranted()))
    return made


def refusal(effects):
    found = [item for item in effects if isinstance(item, claims.Refuse)]
    assert len(found) == 1
    return found[0].refusal


def test_nothing_is_sent_before_the_claim():
    made = call()
    (effect,) = made.start()
    assert isinstance(effect, claims.ProposeClaim)
    assert not made.about_to_send()


def test_answer_is_recorded_before_the_response():
    made = granted()
    assert made.about_to_send()
    (effect,) = made.handle(claims.Answered(ANSWER))
    assert effect == claims.RecordAnswer(
        messages.RecordOutcome("account", "k", "attempt", ANSWER)
    )
    assert made.handle(claims.Recorded(True)) == [claims.Respond(ANSWER)]


@pytest.mark.parametrize(
    ("outcome", "owner_live", "kind"),
    [
        (messages.ClaimBusy("other@1"), True, errors.CallInProgress),
        (messages.ClaimBusy("other@1"), False, errors.OutcomeUnknown),
        (messages.ClaimMismatch(), False, errors.KeyReused),
        (messages.ClaimsFull(), False, errors.TooManyRequests),
        (None, False, errors.NoQuorum),
    ],
)
def test_refused_claims(outcome, owner_live, kind):
    made = call()
    made.start()
    effects = made.handle(claims.ClaimDecided(outcome), owner_live)
    assert isinstance(refusal(effects), kind)
    assert not made.about_to_send()


def test_busy_claim_is_never_reported_as_not_run():
    made = call()
    made.start()
    busy = claims.ClaimDecided(messages.ClaimBusy("other@1"))
    assert refusal(made.handle(busy)).run_state is errors.RunState.UNKNOWN


def test_stored_lost_outcome_is_reported_as_unknown():
    made = call()
    made.start()
    lost = messages.StoredAnswer(0, "", b"", whole=False)
    effects = made.handle(claims.ClaimDecided(messages.ClaimAnswered(lost)))
    assert isinstance(refusal(effects), errors.OutcomeUnknown)


@pytest.mark.parametrize("status", sorted(errors.NOT_RUN_STATUSES))
@pytest.mark.parametrize("key", ["k", None])
def test_an_upstreams_own_status_does_not_say_that_a_call_was_not_run(
    status, key
):
    """A booking that ran and was answered with 503 was made twice."""
    made = granted(key)
    made.about_to_send()
    answer = messages.StoredAnswer(status, "text/plain", b"not run")
    effects = made.handle(claims.Answered(answer))
    if key is not None:
        (effect,) = effects
        assert not effect.command.answer.whole
        effects = made.handle(claims.Recorded(True))
    found = refusal(effects)
    assert isinstance(found, errors.OutcomeUnknown)
    assert found.run_state is errors.RunState.UNKNOWN


@pytest.mark.parametrize("status", sorted(errors.NOT_RUN_STATUSES))
def test_a_stored_status_does_not_say_that_a_call_was_not_run(status):
    """An earlier version stored it as the answer."""
    made = call()
    made.start()
    stored = messages.StoredAnswer(status, "text/plain", b"not run")
    answered = claims.ClaimDecided(messages.ClaimAnswered(stored))
    assert isinstance(refusal(made.handle(answered)), errors.OutcomeUnknown)


def test_attempt_that_sent_nothing_is_retried_then_releases_the_claim():
    made = granted()
    assert made.handle(claims.NothingSent()) == [claims.StartAttempt()]
    effects = made.handle(claims.NoUpstream())
    assert refusal(effects).run_state is errors.RunState.NOT_RUN
    assert any(isinstance(item, claims.ReleaseClaim) for item in effects)
    assert not made.about_to_send()


def test_large_answer_is_returned_but_not_stored():
    made = granted()
    made.about_to_send()
    (effect,) = made.handle(claims.Answered(LARGE))
    assert len(effect.command.answer.body) < 1_000
    assert made.handle(claims.Recorded(True)) == [claims.Respond(LARGE)]


EVENTS = strategies.sampled_from(
    [
        claims.ClaimDecided(None),
        claims.ClaimDecided(messages.ClaimGranted()),
        claims.ClaimDecided(messages.ClaimBusy("other@2")),
        claims.ClaimDecided(messages.ClaimAnswered(ANSWER)),
        claims.NothingSent(),
        claims.Answered(ANSWER),
        claims.Answered(UNPROVEN),
        claims.ClaimDecided(messages.ClaimAnswered(UNPROVEN)),
        claims.AttemptLost(),
        claims.NoUpstream(),
        claims.Recorded(True),
        claims.Recorded(False),
        "send",
    ]
)


@settings(max_examples=400, derandomize=True)
@given(
    key=strategies.sampled_from(["k", None]),
    events=strategies.lists(EVENTS, max_size=12),
)
def test_any_order_of_events_sends_once_and_speaks_true(key, events):
    made = call(key)
    said = list(made.start())
    sendings = 0
    for event in events:
        refused_before = made.refused_as_not_run
        if event == "send":
            # The adapter calls `about_to_send` once per attempt; a second
            # call is a bug, for which the state machine itself raises.
            if made.sent and made.state is claims.CallState.SENDING:
                continue
            sent = made.about_to_send()
            sendings += sent
            assert not (sent and refused_before)
            continue
        try:
            said += made.handle(event)
        except AssertionError:
            # An event that can't happen in this state.
            continue
    assert sendings <= 1
    ends = [
        item
        for item in said
        if isinstance(item, (claims.Respond, claims.Refuse))
    ]
    assert len(ends) <= 1
    for end in ends:
        if isinstance(end, claims.Respond):
            assert end.answer.status not in errors.NOT_RUN_STATUSES
        if isinstance(end, claims.Refuse):
            not_run = end.refusal.run_state is errors.RunState.NOT_RUN
            assert not (not_run and sendings)
