"""Calls that may not be repeated: at most one attempt sends any byte.

`Call` is the state machine of one call at the entry that received it. If the
call has an idempotency key, its claim is committed before the first byte goes
upstream, and its answer is recorded before the caller gets it.
"""

import datetime
import enum
import json

import attrs

from figford import errors
from figford import messages

CLAIM_LIFETIME = datetime.timedelta(hours=24)
RETRY_BUSY_CALL_AFTER = datetime.timedelta(seconds=1)
RETRY_WITHOUT_QUORUM_AFTER = datetime.timedelta(seconds=2)
RETRY_UPSTREAM_AFTER = datetime.timedelta(seconds=2)
# A larger answer is not stored; a resend gets a placeholder that says so.
STORED_ANSWER_LIMIT_BYTES = 64 * 1024


class CallState(enum.Enum):
    """The state of a call."""

    CLAIMING = "claiming"
    SENDING = "sending"
    RECORDING = "recording"
    ENDED = "ended"


@attrs.frozen
class ClaimDecided:
    """Event: the log's decision on the claim; None if it was unreachable."""

    outcome: messages.Outcome | None


@attrs.frozen
class NothingSent:
    """Event: the attempt certainly sent no byte to its upstream."""


@attrs.frozen
class Answered:
    """Event: the upstream's whole answer arrived."""

    answer: messages.StoredAnswer


@attrs.frozen
class AttemptLost:
    """Event: the attempt sent bytes and got no complete answer."""


@attrs.frozen
class NoUpstream:
    """Event: there is no upstream left to try."""


@attrs.frozen
class Recorded:
    """Event: the outcome is committed, or the log was unreachable."""

    committed: bool


Event = (
    ClaimDecided | NothingSent | Answered | AttemptLost | NoUpstream | Recorded
)


@attrs.frozen
class ProposeClaim:
    """Effect: commit the claim."""

    command: messages.ClaimCall


@attrs.frozen
class StartAttempt:
    """Effect: try one upstream that was not tried before."""


@attrs.frozen
class RecordAnswer:
    """Effect: commit the outcome of the call."""

    command: messages.RecordOutcome


@attrs.frozen
class ReleaseClaim:
    """Effect: commit, in the background, that nothing was sent."""

    command: messages.RecordOutcome


@attrs.frozen
class Respond:
    """Effect: send the caller the answer."""

    answer: messages.StoredAnswer


@attrs.frozen
class Refuse:
    """Effect: refuse the call."""

    refusal: errors.Refusal


Effect = (
    ProposeClaim
    | StartAttempt
    | RecordAnswer
    | ReleaseClaim
    | Respond
    | Refuse
)


@attrs.define
class Call:
    """One call that may not be repeated.

    `owner` is this entry with its incarnation; `attempt` is unique.
    """

    account: str
    key: str | None
    digest: str
    owner: str
    attempt: str
    state: CallState = CallState.CLAIMING
    sent: bool = False
    refused_as_not_run: bool = False
    _answer: messages.StoredAnswer | None = None
    _refusal: errors.Refusal | None = None

    def start(self) -> list[Effect]:
        """Returns the first effects of the call."""
        if self.key is None:
            return self._begin_attempt()
        command = messages.ClaimCall(
            self.account,
            self.key,
            self.digest,
            self.owner,
            self.attempt,
            CLAIM_LIFETIME,
        )
        return [ProposeClaim(command)]

    def handle(self, event: Event, owner_live: bool = False) -> list[Effect]:
        """Returns the effects of an event.

        `owner_live` says whether the entry that holds a busy claim is
        known to be alive.
        """
        match event, self.state:
            case ClaimDecided(outcome), CallState.CLAIMING:
                return self._on_claim(outcome, owner_live)
            case NothingSent(), CallState.SENDING:
                return self._begin_attempt()
            case NoUpstream(), CallState.SENDING:
                return self._refuse_not_run(
                    errors.NoCapacity(
                        "no upstream is available for the call",
                        retry_after=RETRY_UPSTREAM_AFTER,
                    )
                )
            case Answered(answer), CallState.SENDING:
                return self._on_answer(answer)
            case AttemptLost(), CallState.SENDING:
                return self._on_lost()
            case Recorded(), CallState.RECORDING:
                return self._on_recorded()
        raise AssertionError(f"unexpected {event} in state {self.state}")

    def about_to_send(self) -> bool:
        """Returns whether bytes may go upstream; if so, marks them as sent.

        Nothing may be sent once the call was refused as not run.
        """
        if self.state is not CallState.SENDING:
            return False
        if self.refused_as_not_run:
            raise AssertionError(
                "a call that was refused as not run is about to be sent"
            )
        if self.sent:
            raise AssertionError(
                "a non-repeatable call is about to be sent twice"
            )
        self.sent = True
        return True

    def _begin_attempt(self) -> list[Effect]:
        if self.sent:
            raise AssertionError("a second attempt after bytes were sent")
        self.state = CallState.SENDING
        return [StartAttempt()]

    def _refuse_not_run(self, refusal: errors.Refusal) -> list[Effect]:
        if self.sent:
            raise AssertionError(
                "a call that was sent is being refused as not run"
            )
        self.refused_as_not_run = True
        self.state = CallState.ENDED
        effects: list[Effect] = [Refuse(refusal)]
        if self.key is not None:
            effects.append(ReleaseClaim(self._outcome(None)))
        return effects

    def _on_claim(
        self, outcome: messages.Outcome | None, owner_live: bool
    ) -> list[Effect]:
        match outcome:
            case messages.ClaimGranted():
                return self._begin_attempt()
            case messages.ClaimAnswered(answer):
                return self._end_with_stored(answer)
            case messages.ClaimBusy():
                return self._end_busy(owner_live)
            case messages.ClaimMismatch():
                return self._end(
                    errors.KeyReused(
                        "the idempotency key was used for a different request"
                    )
                )
            case messages.ClaimsFull():
                return self._end(
                    errors.TooManyRequests(
                        "the client account holds too many idempotency keys",
                        retry_after=CLAIM_LIFETIME,
                    )
                )
        return self._refuse_not_run(
            errors.NoQuorum(
                "the claim could not be committed",
                retry_after=RETRY_WITHOUT_QUORUM_AFTER,
            )
        )

    def _end(self, refusal: errors.Refusal) -> list[Effect]:
        self.state = CallState.ENDED
        return [Refuse(refusal)]

    def _end_busy(self, owner_live: bool) -> list[Effect]:
        if owner_live:
            return self._end(
                errors.CallInProgress(
                    "the call is still running",
                    retry_after=RETRY_BUSY_CALL_AFTER,
                    run_state=errors.RunState.UNKNOWN,
                )
            )
        return self._end(
            errors.OutcomeUnknown(
                "the entry that ran the call was lost",
                run_state=errors.RunState.UNKNOWN,
            )
        )

    def _end_with_stored(self, answer: messages.StoredAnswer) -> list[Effect]:
        if not answer.whole or _is_unproven(answer):
            return self._end(_unknown_outcome())
        self.state = CallState.ENDED
        return [Respond(answer)]

    def _on_answer(self, answer: messages.StoredAnswer) -> list[Effect]:
        if _is_unproven(answer):
            return self._on_lost()
        self._answer = answer
        if self.key is None:
            return self._on_recorded()
        self.state = CallState.RECORDING
        return [RecordAnswer(self._outcome(_storable(answer)))]

    def _on_lost(self) -> list[Effect]:
        if not self.sent:
            raise AssertionError(
                "an attempt that sent nothing was reported as lost"
            )
        self._refusal = _unknown_outcome()
        if self.key is None:
            return self._on_recorded()
        self.state = CallState.RECORDING
        lost = messages.StoredAnswer(0, "", b"", whole=False)
        return [RecordAnswer(self._outcome(lost))]

    def _on_recorded(self) -> list[Effect]:
        # The answer is valid even if the log was unreachable. The claim
        # stays held, so a resend can't run the call again.
        self.state = CallState.ENDED
        if self._answer is not None:
            return [Respond(self._answer)]
        if self._refusal is None:
            raise AssertionError(
                "a call ended with neither an answer nor a refusal"
            )
        return [Refuse(self._refusal)]

    def _outcome(
        self, answer: messages.StoredAnswer | None
    ) -> messages.RecordOutcome:
        return messages.RecordOutcome(
            self.account, self.key or "", self.attempt, answer
        )


def _is_unproven(answer: messages.StoredAnswer) -> bool:
    """Returns whether a status says "not run" of a call that was sent.

    Upstreams of plain services have no other way to state that.
    """
    return answer.status in errors.NOT_RUN_STATUSES


def _unknown_outcome() -> errors.Refusal:
    return errors.OutcomeUnknown(
        "the upstream failed, or gave no complete answer",
        run_state=errors.RunState.UNKNOWN,
    )


def _storable(answer: messages.StoredAnswer) -> messages.StoredAnswer:
    """Returns the answer, or a placeholder if it is too large to store."""
    if len(answer.body) <= STORED_ANSWER_LIMIT_BYTES:
        return answer
    placeholder = {
        "type": "urn:figford:answer-not-kept",
        "title": "the call ran; its answer was too large to keep",
        "status": answer.status,
    }
    return messages.StoredAnswer(
        answer.status,
        "application/problem+json",
        json.dumps(placeholder).encode(),
    )
