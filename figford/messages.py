"""Typed messages between processes, and the values that they carry."""

import datetime
import enum

import attrs

from figford import bounds
from figford import fleetmessages
from figford import signoffs

# ---- Upstreams ----------------------------------------------------------


class UpstreamKind(enum.Enum):
    """Whether an upstream serves models or a plain service."""

    ENGINE = "engine"
    SERVICE = "service"


class UpstreamState(enum.Enum):
    """The activity that an upstream reports."""

    IDLE = "idle"
    LOADING = "loading"
    SERVING = "serving"
    LEAVING = "leaving"


@attrs.frozen
class Seat:
    """A place in a group: the upstream is member `rank` of `size`."""

    group: str = attrs.field(validator=bounds.is_text)
    serving_group: str = attrs.field(validator=bounds.is_text)
    fence: int = attrs.field(validator=bounds.is_count)
    rank: int = attrs.field(validator=bounds.is_count)
    size: int = attrs.field(validator=bounds.is_count)


@attrs.frozen
class Load:
    """Load as reported by an upstream, delayed by up to its report lag."""

    running: int = attrs.field(default=0, validator=bounds.is_count)
    queued: int = attrs.field(default=0, validator=bounds.is_count)
    tokens_per_second: int = attrs.field(default=0, validator=bounds.is_count)
    step_microseconds: int = attrs.field(default=0, validator=bounds.is_count)


@attrs.frozen
class Announcement:
    """An upstream's full description of itself, sent as its heartbeat.

    `clock_ms` is the upstream's monotonic time in milliseconds at sending,
    which serves to detect delayed messages; 0 if the upstream sends none.
    """

    upstream: str = attrs.field(validator=bounds.is_text)
    incarnation: int = attrs.field(validator=bounds.is_count)
    sequence: int = attrs.field(validator=bounds.is_count)
    data_centre: str = attrs.field(validator=bounds.is_text)
    fabric_domain: str = attrs.field(validator=bounds.is_text)
    address: str = attrs.field(validator=bounds.is_text)
    kind: UpstreamKind
    accelerators: int = attrs.field(default=1, validator=bounds.is_count)
    state: UpstreamState = UpstreamState.IDLE
    checks_fencing: bool = True
    models: list[str] = attrs.field(factory=list, validator=bounds.are_texts)
    service: str | None = None
    seat: Seat | None = None
    highest_fence: int = attrs.field(default=0, validator=bounds.is_count)
    load: Load = Load()
    clock_ms: int = attrs.field(default=0, validator=bounds.is_count)

    @property
    def leaving(self) -> bool:
        """Returns whether the upstream asks for no new work."""
        return self.state is UpstreamState.LEAVING


@attrs.frozen
class Beat:
    """A heartbeat in which only sequence, load and clock have changed.

    `digest` covers the other fields of the announcement. An entry whose own
    digest differs missed a change and requests the full announcement.
    """

    upstream: str = attrs.field(validator=bounds.is_text)
    incarnation: int = attrs.field(validator=bounds.is_count)
    sequence: int = attrs.field(validator=bounds.is_count)
    load: Load
    digest: int
    clock_ms: int = attrs.field(default=0, validator=bounds.is_count)


@attrs.frozen
class CacheEvent:
    """A prompt prefix was added to or evicted from an upstream's cache."""

    upstream: str = attrs.field(validator=bounds.is_text)
    sequence: int = attrs.field(validator=bounds.is_count)
    prefix: int
    stored: bool


@attrs.frozen
class JoinGroup:
    """Order: load the model if necessary and take a seat in a group."""

    fence: int
    seat: Seat
    model: str
    peers: list[str]


@attrs.frozen
class ReleaseSeat:
    """Order: leave the group, finish work in progress and become idle."""

    fence: int
    group: str


Order = JoinGroup | ReleaseSeat


# ---- Agreement ----------------------------------------------------------


@attrs.frozen
class VoterChange:
    """Log entry content: sets the voters from this entry on.

    With `former` voters, a quorum of these is needed as well until another
    entry ends the change.
    """

    voters: list[str]
    former: list[str] | None = None


@attrs.frozen
class Noop:
    """Log entry content: marks the start of a leader's term."""


@attrs.frozen
class Submit:
    """Command: make `document` the configuration after `base_version`."""

    submission: str
    base_version: int
    document: dict
    author: str = ""


@attrs.frozen
class ClaimCall:
    """Command: claim a call that must not be repeated."""

    account: str
    key: str
    digest: str
    owner: str
    attempt: str
    expires: datetime.timedelta


@attrs.frozen
class RecordOutcome:
    """Command: store the answer of a claimed call, or release the claim.

    `answer` is None if it is certain that the owner sent nothing.
    """

    account: str
    key: str
    attempt: str
    answer: "StoredAnswer | None"


@attrs.frozen
class StoredAnswer:
    """The answer of a call that must not be repeated."""

    status: int
    content_type: str
    body: bytes
    whole: bool = True


@attrs.frozen
class GrantWitness:
    """Command: grant the witness vote for a data centre's planner lease."""

    data_centre: str
    candidate: str
    number: int
    duration: datetime.timedelta


@attrs.frozen
class RaiseVersion:
    """Command: continue at a higher version after a manual recovery.

    The gap ensures that versions that were lost with the disks of a
    majority are not assigned to other configurations.
    """

    version: int


@attrs.frozen
class ReadVersion:
    """Command: read the version in force, confirmed by a quorum.

    The command is never written to the log.
    """


Command = (
    Noop
    | VoterChange
    | Submit
    | ClaimCall
    | RecordOutcome
    | GrantWitness
    | RaiseVersion
    | ReadVersion
    | fleetmessages.StoreRoutes
    | fleetmessages.AssignSlots
    | fleetmessages.Convict
    | fleetmessages.RecordProbe
    | fleetmessages.LiftVerdict
)


@attrs.frozen
class Entry:
    """One entry of the replicated log.

    `at` is log time. It advances only while there is a leader, so it never
    runs ahead of real time, even if the leaders' clocks disagree.
    """

    index: int
    term: int
    at: datetime.timedelta
    command: Command


@attrs.frozen
class Snapshot:
    """State of the ledger up to and including entry `index`."""

    index: int
    term: int
    voters: list[str]
    state: bytes
    at: datetime.timedelta = datetime.timedelta(0)


@attrs.frozen
class VoteRequest:
    """A candidate's request for a vote, or for a pre-vote (`preliminary`)."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    preliminary: bool


@attrs.frozen
class VoteReply:
    """A voter's answer to VoteRequest."""

    term: int
    voter: str
    granted: bool
    preliminary: bool


@attrs.frozen
class Append:
    """The leader's heartbeat, with entries that follow `previous_index`."""

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit: int
    round: int


@attrs.frozen
class AppendReply:
    """A follower's answer to Append or InstallSnapshot.

    On success the log matches the leader's up to `match_index`; on failure
    `match_index` is the highest index that the leader should try next.
    """

    term: int
    voter: str
    success: bool
    match_index: int
    round: int


@attrs.frozen
class InstallSnapshot:
    """The leader's snapshot for a follower that is too far behind."""

    term: int
    leader: str
    snapshot: Snapshot
    round: int


@attrs.frozen
class TransferLeadership:
    """A leader's request that a voter with its whole log take over now."""

    term: int


AgreementMessage = (
    VoteRequest
    | VoteReply
    | Append
    | AppendReply
    | InstallSnapshot
    | TransferLeadership
)


@attrs.frozen
class Addressed:
    """An agreement message for one voter, named by its disk identity."""

    voter: str
    message: AgreementMessage


# ---- Records of the journal ---------------------------------------------


@attrs.frozen
class Identity:
    """Record: the voter name that belongs to this disk."""

    voter: str


@attrs.frozen
class HardState:
    """Record: the current term and the vote given in it."""

    term: int
    voted_for: str | None


@attrs.frozen
class Appended:
    """Record: entries, replacing any with the same or a higher index."""

    entries: list[Entry]


@attrs.frozen
class Compacted:
    """Record: a snapshot, replacing all entries up to its index."""

    snapshot: Snapshot


Record = Identity | HardState | Appended | Compacted


# ---- Outcomes of commands -----------------------------------------------


@attrs.frozen
class Accepted:
    """The configuration was accepted as `version`."""

    version: int


@attrs.frozen
class Conflict:
    """Another submission holds the version after the stated base."""

    version: int
    winner: str


SubmitOutcome = Accepted | Conflict


@attrs.frozen
class ClaimGranted:
    """The owner of the claim may make its only attempt."""


@attrs.frozen
class ClaimBusy:
    """The call is claimed by `owner`, which has not recorded an outcome."""

    owner: str


@attrs.frozen
class ClaimAnswered:
    """The call has ended, with this answer."""

    answer: StoredAnswer


@attrs.frozen
class ClaimMismatch:
    """The idempotency key was used with a different body."""


@attrs.frozen
class ClaimsFull:
    """The client account has reached its limit of claims."""


@attrs.frozen
class Done:
    """The command took effect and returns no data."""


@attrs.frozen
class WitnessReply:
    """The witness's answer; `number` is the highest that it voted for."""

    granted: bool
    number: int


@attrs.frozen
class VersionInForce:
    """The version of the configuration that a quorum confirmed."""

    version: int
    routes_version: int = 0


@attrs.frozen
class Undecided:
    """There is no leader, or it lost its term before the commit."""


Outcome = (
    Accepted
    | Conflict
    | ClaimGranted
    | ClaimBusy
    | ClaimAnswered
    | ClaimMismatch
    | ClaimsFull
    | Done
    | WitnessReply
    | VersionInForce
    | fleetmessages.RoutesStored
    | Undecided
)


@attrs.frozen
class Proposal:
    """Asks the leader to append a command.

    It is forwarded at most `hops_left` times; the result returns along the
    same path.
    """

    proposal: str
    command: Command
    hops_left: int


@attrs.frozen
class ProposalResult:
    """Answers a Proposal."""

    proposal: str
    outcome: Outcome


# ---- Membership ---------------------------------------------------------


@attrs.frozen
class Peer:
    """An entry's description of itself, sent to the other entries."""

    instance: str
    incarnation: int
    sequence: int
    data_centre: str
    address: str
    callers_address: str = ""
    voter: str | None = None
    version: int = 0
    draining: bool = False
    hears_quorum: bool = False


@attrs.frozen
class Peers:
    """The entries that the sender knows."""

    peers: list[Peer]


@attrs.frozen
class PeerState:
    """The fields of a Peer that change while its process runs.

    `leading_term` is the term in which the process leads the log and knows
    all commits, else 0.
    """

    sequence: int
    version: int
    draining: bool
    hears_quorum: bool
    leading_term: int = 0


@attrs.frozen
class Pulse:
    """An entry's heartbeat on a link."""

    now: PeerState


@attrs.frozen
class Announcements:
    """Announcements and beats that the sender forwards.

    `ages_ms` holds the age of each full announcement in milliseconds; it is
    empty if all are new.
    """

    full: list[Announcement]
    beats: list[Beat]
    ages_ms: list[int] = attrs.field(factory=list)


@attrs.frozen
class AnnouncementQuery:
    """Requests full announcements that the sender lacks or has outdated."""

    upstreams: list[str]


# ---- Configuration for followers ----------------------------------------


@attrs.frozen
class ConfigurationView:
    """The configuration in force."""

    version: int
    document: dict


@attrs.frozen
class ConfigurationPull:
    """Requests the changes after `version` from a peer."""

    version: int


@attrs.frozen
class ConfigurationDelta:
    """Sections that changed between two versions; None marks a removal."""

    base_version: int
    version: int
    changes: dict


# ---- Planner leases and drains ------------------------------------------


@attrs.frozen
class LeaseRequest:
    """A candidate asks an entry of its data centre for a lease vote."""

    data_centre: str
    candidate: str
    incarnation: int
    number: int
    round: int
    duration: datetime.timedelta


@attrs.frozen
class LeaseVote:
    """An entry's answer to LeaseRequest; `number` is its highest so far."""

    voter: str
    candidate: str
    incarnation: int
    round: int
    granted: bool
    number: int


@attrs.frozen
class DrainGroup:
    """The planner's request to all entries to drain a group.

    Entries send a draining group no new work. The request is repeated
    during the drain and expires after `duration`.
    """

    group: str
    fence: int
    number: int
    planner: str
    duration: datetime.timedelta


@attrs.frozen
class DrainReply:
    """The number of requests that the sender has in progress on a group."""

    group: str
    fence: int
    number: int
    instance: str
    in_progress: int


PeerMessage = (
    Addressed
    | Proposal
    | ProposalResult
    | Peers
    | Pulse
    | Announcements
    | AnnouncementQuery
    | ConfigurationView
    | ConfigurationPull
    | ConfigurationDelta
    | LeaseRequest
    | LeaseVote
    | DrainGroup
    | DrainReply
    | fleetmessages.FleetUpdate
    | fleetmessages.FleetBeats
    | signoffs.SignOffs
    | fleetmessages.FleetStatus
    | fleetmessages.UpstreamDoubt
    | fleetmessages.CallersSeen
    | fleetmessages.LoadsTold
    | fleetmessages.RoutesView
    | fleetmessages.RoutesPull
    | fleetmessages.UpstreamLimits
    | fleetmessages.PermitRequest
    | fleetmessages.PermitGrant
    | fleetmessages.PermitSlot
    | fleetmessages.CrashReport
    | fleetmessages.SurvivalQuery
    | fleetmessages.SurvivalReport
    | fleetmessages.CrashRuling
    | fleetmessages.Verdicts
    | fleetmessages.VerdictDemand
    | fleetmessages.ProbeGrant
)


@attrs.frozen
class Hello:
    """The first message each way on a link."""

    protocol: int
    deployment: str
    peer: Peer
    nonce: bytes


@attrs.frozen
class Proof:
    """Proves that the sender of a Hello knows the deployment's secret."""

    proof: bytes


Greeting = Hello | Proof
