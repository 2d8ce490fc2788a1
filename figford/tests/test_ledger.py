"""The ledger, fuzzed against a simple oracle of submissions and claims."""

import datetime

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from figford import fleetmessages
from figford import ledger
from figford import messages

NAMES = strategies.sampled_from(["x", "y", "z"])
HOUR = datetime.timedelta(hours=1)
ANSWER = messages.StoredAnswer(200, "text/plain", b"booked")


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Oracle: a list of accepted submissions, a dict of claims."""

    def __init__(self):
        super().__init__()
        self.ledger = ledger.Ledger()
        self.index = 0
        self.at = datetime.timedelta(0)
        self.accepted = []
        self.first_outcomes = {}
        self.claims = {}

    def apply(self, command):
        self.index += 1
        return self.ledger.apply(
            messages.Entry(self.index, 1, self.at, command)
        )

    @stateful.rule(
        submission=strategies.integers(0, 12),
        base=strategies.integers(0, 6),
        value=strategies.integers(),
    )
    def submit(self, submission, base, value):
        name = f"s{submission}"
        document = {"policies": {"p": {"v": value}}}
        outcome = self.apply(messages.Submit(name, base, document, "op"))
        if name in self.first_outcomes:
            assert outcome == self.first_outcomes[name]
            return
        self.first_outcomes[name] = outcome
        if base == len(self.accepted):
            self.accepted.append(document)
            assert outcome == messages.Accepted(len(self.accepted))
        else:
            assert isinstance(outcome, messages.Conflict)
            assert outcome.version == len(self.accepted)

    @stateful.rule(
        account=NAMES,
        key=NAMES,
        digest=strategies.sampled_from(["d1", "d2"]),
        attempt=strategies.integers(0, 5),
    )
    def claim(self, account, key, digest, attempt):
        outcome = self.apply(
            messages.ClaimCall(
                account, key, digest, "owner", str(attempt), HOUR
            )
        )
        held = self.claims.get((account, key))
        if held is None:
            self.claims[account, key] = [digest, str(attempt), None, self.at]
            assert outcome == messages.ClaimGranted()
        elif held[0] != digest:
            assert outcome == messages.ClaimMismatch()
        elif held[2] is not None:
            assert outcome == messages.ClaimAnswered(held[2])
        elif held[1] == str(attempt):
            assert outcome == messages.ClaimGranted()
        else:
            assert outcome == messages.ClaimBusy("owner")

    @stateful.rule(
        account=NAMES,
        key=NAMES,
        attempt=strategies.integers(0, 5),
        answered=strategies.booleans(),
    )
    def record(self, account, key, attempt, answered):
        answer = ANSWER if answered else None
        self.apply(messages.RecordOutcome(account, key, str(attempt), answer))
        held = self.claims.get((account, key))
        if held is None or held[1] != str(attempt):
            return
        if answered:
            held[2] = ANSWER
        elif held[2] is None:
            del self.claims[account, key]

    @stateful.rule(minutes=strategies.integers(1, 40))
    def pass_time(self, minutes):
        self.at += datetime.timedelta(minutes=minutes)
        self.claims = {
            name: held
            for name, held in self.claims.items()
            if held[3] + HOUR > self.at
        }

    @stateful.rule()
    def restart_from_snapshot(self):
        state = self.ledger.dump()
        fresh = ledger.Ledger()
        fresh.load(messages.Snapshot(self.index, 1, [], state))
        assert fresh.state == self.ledger.state
        self.ledger = fresh

    @stateful.invariant()
    def configuration_is_the_last_accepted(self):
        assert self.ledger.state.version == len(self.accepted)
        if self.accepted:
            assert self.ledger.state.document == self.accepted[-1]


LedgerMachine.TestCase.settings = settings(
    max_examples=80, deadline=None, derandomize=True
)
TestLedgerMachine = LedgerMachine.TestCase


def grant(candidate, number, seconds=4):
    return messages.GrantWitness(
        "north", candidate, number, datetime.timedelta(seconds=seconds)
    )


def test_witness_serves_one_candidate_at_a_time():
    state = ledger.Ledger()

    def apply(index, second, command):
        at = datetime.timedelta(seconds=second)
        return state.apply(messages.Entry(index, 1, at, command))

    assert apply(1, 0, grant("a", 1)).granted
    assert not apply(2, 3, grant("b", 2)).granted
    assert apply(3, 3, grant("a", 1)).granted
    assert not apply(4, 6, grant("b", 2)).granted
    assert not apply(5, 8, grant("b", 1)).granted
    assert apply(6, 8, grant("b", 2)).granted


def test_claims_of_one_account_are_bounded(monkeypatch):
    monkeypatch.setattr(ledger, "MAX_CLAIMS_PER_ACCOUNT", 2)
    state = ledger.Ledger()
    outcomes = [
        state.apply(
            messages.Entry(
                index,
                1,
                datetime.timedelta(0),
                messages.ClaimCall("a", f"k{index}", "d", "o", "t", HOUR),
            )
        )
        for index in (1, 2, 3)
    ]
    assert outcomes[2] == messages.ClaimsFull()


def apply_all(*commands: messages.Command) -> ledger.Ledger:
    """Returns a ledger after commands, restored from its snapshot."""
    applied = ledger.Ledger()
    for index, command in enumerate(commands):
        applied.apply(messages.Entry(index + 1, 1, 0 * HOUR, command))
    restored = ledger.Ledger()
    restored.load(messages.Snapshot(index + 1, 1, [], applied.dump()))
    return restored


def test_verdicts_are_kept_in_snapshots_and_numbered() -> None:
    state = apply_all(
        fleetmessages.Convict("part:d", 3),
        fleetmessages.Convict("part:d", 9),
        fleetmessages.Convict("part:e", 2),
        fleetmessages.RecordProbe("part:e", 0),
        fleetmessages.RecordProbe("part:e", 0),
        fleetmessages.RecordProbe("part:x", 0),
        fleetmessages.LiftVerdict("part:d"),
        fleetmessages.LiftVerdict("part:x"),
    ).state
    assert list(state.verdict_by_trait.values()) == [
        fleetmessages.Verdict("part:e", 2, 1)
    ]
    # Two convictions, one probe and one verdict that ended.
    assert state.verdicts_revision == 4


def test_verdicts_are_bounded() -> None:
    commands = [
        fleetmessages.Convict(f"part:{number}", 2)
        for number in range(ledger.MAX_VERDICTS + 10)
    ]
    state = apply_all(*commands).state
    assert len(state.verdict_by_trait) == ledger.MAX_VERDICTS
