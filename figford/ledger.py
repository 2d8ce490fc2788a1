"""The replicated state machine: configuration, claims and witness votes.

Applying the same entries in the same order gives the same state on every
voter, so time is the log time that the leader wrote into the entry.
"""

import datetime

import attrs

from figford import codec
from figford import fleetmessages
from figford import messages

# Outcomes of this many latest submissions are kept to answer retransmissions.
MAX_SUBMISSION_OUTCOMES = 2_000
MAX_CLAIMS_PER_ACCOUNT = 10_000
MAX_VERDICTS = 256


@attrs.define
class Claim:
    """A claim on a call that must not be repeated, and its answer if any."""

    digest: str
    owner: str
    attempt: str
    expires_at: datetime.timedelta
    answer: messages.StoredAnswer | None = None


@attrs.define
class Witness:
    """The witness vote of one data centre's planner lease."""

    candidate: str = ""
    number: int = 0
    expires_at: datetime.timedelta = datetime.timedelta(0)


@attrs.define
class LedgerState:
    """The state that a snapshot contains."""

    version: int = 0
    document: dict = attrs.field(factory=dict)
    winner: str = ""
    outcome_by_submission: dict[str, messages.SubmitOutcome] = attrs.field(
        factory=dict
    )
    claims_by_account: dict[str, dict[str, Claim]] = attrs.field(factory=dict)
    witness_by_data_centre: dict[str, Witness] = attrs.field(factory=dict)
    routes_version: int = 0
    routes_document: bytes = b""
    slot_shares: list[fleetmessages.SlotShare] = attrs.field(factory=list)
    verdicts_revision: int = 0
    verdict_by_trait: dict[str, fleetmessages.Verdict] = attrs.field(
        factory=dict
    )


@attrs.define
class Ledger:
    """Applies committed entries to the state."""

    state: LedgerState = attrs.field(factory=LedgerState)
    applied_index: int = 0

    def apply(self, entry: messages.Entry) -> messages.Outcome:
        """Applies the next committed entry; returns its outcome."""
        if entry.index != self.applied_index + 1:
            raise AssertionError(
                "entries must be applied in order and only once"
            )
        self.applied_index = entry.index
        self._expire_claims(entry.at)
        match entry.command:
            case messages.Submit():
                return self._submit(entry.command)
            case messages.ClaimCall():
                return self._claim(entry.command, entry.at)
            case messages.RecordOutcome():
                return self._record_outcome(entry.command)
            case messages.GrantWitness():
                return self._grant_witness(entry.command, entry.at)
            case fleetmessages.StoreRoutes():
                return self._store_routes(entry.command)
            case fleetmessages.AssignSlots(shares):
                self.state.slot_shares = shares
            case fleetmessages.Convict(trait, crashes):
                self._convict(trait, crashes)
            case fleetmessages.RecordProbe(trait, probes):
                self._record_probe(trait, probes)
            case fleetmessages.LiftVerdict(trait):
                if self.state.verdict_by_trait.pop(trait, None) is not None:
                    self.state.verdicts_revision += 1
            case messages.RaiseVersion(version):
                self.state.version = max(self.state.version, version)
        return messages.Done()

    def dump(self) -> bytes:
        """Returns the encoded state for a snapshot."""
        return codec.encode(self.state, LedgerState)

    def load(self, snapshot: messages.Snapshot) -> None:
        """Replaces the state by the one in a snapshot."""
        if snapshot.index < self.applied_index:
            raise AssertionError("snapshot is older than the applied state")
        if snapshot.state:
            loaded = codec.decode(snapshot.state, LedgerState)
            if loaded.version < self.state.version or (
                loaded.routes_version < self.state.routes_version
            ):
                raise AssertionError(
                    "snapshot would revert the configuration or the routes"
                )
            self.state = loaded
        self.applied_index = snapshot.index

    def _store_routes(
        self, command: fleetmessages.StoreRoutes
    ) -> messages.Outcome:
        """Stores routes of a newer version; ignores any other version."""
        if command.version > self.state.routes_version:
            self.state.routes_version = command.version
            self.state.routes_document = command.document
        return fleetmessages.RoutesStored(self.state.routes_version)

    def _convict(self, trait: str, crashes: int) -> None:
        """Adds a verdict; the oldest is dropped when there are too many."""
        verdicts = self.state.verdict_by_trait
        if trait in verdicts:
            return
        verdicts[trait] = fleetmessages.Verdict(trait, crashes)
        while len(verdicts) > MAX_VERDICTS:
            del verdicts[next(iter(verdicts))]
        self.state.verdicts_revision += 1

    def _record_probe(self, trait: str, probes: int) -> None:
        verdict = self.state.verdict_by_trait.get(trait)
        if verdict is not None and verdict.probes == probes:
            self.state.verdict_by_trait[trait] = attrs.evolve(
                verdict, probes=probes + 1
            )
            self.state.verdicts_revision += 1

    def _submit(self, command: messages.Submit) -> messages.Outcome:
        outcomes = self.state.outcome_by_submission
        first_outcome = outcomes.get(command.submission)
        if first_outcome is not None:
            return first_outcome
        outcome = self._compare_and_set(command)
        outcomes[command.submission] = outcome
        while len(outcomes) > MAX_SUBMISSION_OUTCOMES:
            del outcomes[next(iter(outcomes))]
        return outcome

    def _compare_and_set(
        self, command: messages.Submit
    ) -> messages.SubmitOutcome:
        state = self.state
        if command.base_version != state.version:
            return messages.Conflict(state.version, state.winner)
        state.version += 1
        state.document = command.document
        state.winner = f"{command.author}/{command.submission}"
        return messages.Accepted(state.version)

    def _claim(
        self, command: messages.ClaimCall, at: datetime.timedelta
    ) -> messages.Outcome:
        claims = self.state.claims_by_account.setdefault(command.account, {})
        claim = claims.get(command.key)
        if claim is None:
            if len(claims) >= MAX_CLAIMS_PER_ACCOUNT:
                return messages.ClaimsFull()
            claims[command.key] = Claim(
                digest=command.digest,
                owner=command.owner,
                attempt=command.attempt,
                expires_at=at + command.expires,
            )
            return messages.ClaimGranted()
        if claim.digest != command.digest:
            return messages.ClaimMismatch()
        if claim.answer is not None:
            return messages.ClaimAnswered(claim.answer)
        if claim.attempt == command.attempt:
            # The reply was lost and the same attempt retransmits its claim.
            return messages.ClaimGranted()
        return messages.ClaimBusy(claim.owner)

    def _record_outcome(
        self, command: messages.RecordOutcome
    ) -> messages.Outcome:
        claims = self.state.claims_by_account.get(command.account, {})
        claim = claims.get(command.key)
        if claim is None or claim.attempt != command.attempt:
            return messages.Done()
        if command.answer is None:
            if claim.answer is None:
                del claims[command.key]
            return messages.Done()
        claim.answer = command.answer
        return messages.Done()

    def _expire_claims(self, at: datetime.timedelta) -> None:
        # Claims of an account are sorted by expiry unless their lifetimes
        # differ, so only the oldest few are examined.
        for account in list(self.state.claims_by_account):
            claims = self.state.claims_by_account[account]
            while claims:
                oldest = next(iter(claims))
                if claims[oldest].expires_at > at:
                    break
                del claims[oldest]
            if not claims:
                del self.state.claims_by_account[account]

    def _grant_witness(
        self, command: messages.GrantWitness, at: datetime.timedelta
    ) -> messages.Outcome:
        witness = self.state.witness_by_data_centre.setdefault(
            command.data_centre, Witness()
        )
        held_by_other = (
            witness.candidate != command.candidate and witness.expires_at > at
        )
        if held_by_other or command.number < witness.number:
            return messages.WitnessReply(False, witness.number)
        if (
            witness.candidate != command.candidate
            and command.number == witness.number
        ):
            return messages.WitnessReply(False, witness.number)
        witness.candidate = command.candidate
        witness.number = command.number
        witness.expires_at = at + command.duration
        return messages.WitnessReply(True, witness.number)
