"""Typed messages between processes, and the values they carry."""

import datetime
import enum

import attrs

from figford import fleetmessages

# ---- Upstreams ----------------------------------------------------------


class UpstreamKind(enum.Enum):
    """What an upstream serves."""

    ENGINE = "engine"
    SERVICE = "service"


class UpstreamState(enum.Enum):
    """What an upstream says that it is doing."""

    IDLE = "idle"
    LOADING = "loading"
    SERVING = "serving"
    LEAVING = "leaving"


@attrs.frozen
class Seat:
    """A place in a group: the upstream is member `rank` of `size`."""

    group: str
    serving_group: str
    fence: int
    rank: int
    size: int


@attrs.frozen
class Load:
    """Load that an upstream reports, behind by up to its report lag."""

    running: int = 0
    queued: int = 0
    tokens_per_second: int = 0
    step_microseconds: int = 0


@attrs.frozen
class Announcement:
    """All that an upstream says of itself; repeated as its heartbeat.

    `clock_ms` is the upstream's own monotonic time in milliseconds when it
    announced, by which late arrivals are told; 0 where it has none.
    """

    upstream: str
    incarnation: int
    sequence: int
    data_centre: str
    fabric_domain: str
    address: str
    kind: UpstreamKind
    accelerators: int = 1
    state: UpstreamState = UpstreamState.IDLE
    checks_fencing: bool = True
    models: list[str] = attrs.field(factory=list)
    service: str | None = None
    seat: Seat | None = None
    highest_fence: int = 0
    load: Load = Load()
    clock_ms: int = 0

    @property
    def leaving(self) -> bool:
        """Returns whether the upstream asks for no new work."""
        return self.state is UpstreamState.LEAVING


@attrs.frozen
class Beat:
    """A heartbeat in which only sequence, load and clock have changed.

    `digest` is that of the rest of the announcement, so that an entry which
    missed a change asks for it.
    """

    upstream: str
    incarnation: int
    sequence: int
    load: Load
    digest: int
    clock_ms: int = 0


@attrs.frozen
class CacheEvent:
    """A prompt prefix entered or left the cache of an upstream."""

    upstream: str
    sequence: int
    prefix: int
    stored: bool


@attrs.frozen
class JoinGroup:
    """Order: load the model if need be and take a seat in a group."""

    fence: int
    seat: Seat
    model: str
    peers: list[str]


@attrs.frozen
class ReleaseSeat:
    """Order: leave the group, finish its work and be idle."""

    fence: int
    group: str


Order = JoinGroup | ReleaseSeat


# ---- Agreement ----------------------------------------------------------


@attrs.frozen
class VoterChange:
    """Log entry content: the voters from this entry on."""

    voters: list[str]


@attrs.frozen
class Noop:
    """Log entry content: opens a leader's term."""


@attrs.frozen
class Submit:
    """Command: make `document` the configuration after `base_version`."""

    submission: str
    base_version: int
    document: dict
    author: str = ""


@attrs.frozen
class ClaimCall:
    """Command: claim a call that may not be repeated."""

    account: str
    key: str
    digest: str
    owner: str
    attempt: str
    expires: datetime.timedelta


@attrs.frozen
class RecordOutcome:
    """Command: store the answer of a claimed call, or free the claim.

    `answer` is None when the owner certainly sent nothing.
    """

    account: str
    key: str
    attempt: str
    answer: "StoredAnswer | None"


@attrs.frozen
class StoredAnswer:
    """The answer of a call that may not be repeated."""

    status: int
    content_type: str
    body: bytes
    whole: bool = True


@attrs.frozen
class GrantWitness:
    """Command: give the witness vote of a data centre's planner lease."""

    data_centre: str
    candidate: str
    number: int
    duration: datetime.timedelta


@attrs.frozen
class RaiseVersion:
    """Command: go on at a higher version, after a recovery by hand.

    The gap keeps versions that were lost with a majority's disks from
    being given to other configurations.
    """

    version: int


@attrs.frozen
class ReadVersion:
    """Command: read the version in force, confirmed by a quorum.

    It is never written to the log.
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
)


@attrs.frozen
class Entry:
    """One entry of the replicated log.

    `at` is the log's own time: it rises only while a leader leads, so it
    never runs ahead of real time, whatever the leaders' clocks say.
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
    """A candidate asks for a vote, or for a promise of one."""

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

    On success `match_index` is known to be the same as the leader's; on
    failure it is the highest index worth trying next.
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


AgreementMessage = (
    VoteRequest | VoteReply | Append | AppendReply | InstallSnapshot
)


@attrs.frozen
class Addressed:
    """An agreement message for one voter, named by its disk identity."""

    voter: str
    message: AgreementMessage


# ---- Records of the journal ---------------------------------------------


@attrs.frozen
class Identity:
    """Record: the name under which this disk votes."""

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
    """The caller of the command may make its one attempt."""


@attrs.frozen
class ClaimBusy:
    """The call is claimed by `owner`, who has not recorded an outcome."""

    owner: str


@attrs.frozen
class ClaimAnswered:
    """The call ended with this answer."""

    answer: StoredAnswer


@attrs.frozen
class ClaimMismatch:
    """The key was used with another body."""


@attrs.frozen
class ClaimsFull:
    """The client account holds as many claims as it may."""


@attrs.frozen
class Done:
    """The command took effect and has nothing to say."""


@attrs.frozen
class WitnessReply:
    """Whether the witness voted for the candidate; `number` is highest."""

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

    It is forwarded at most `hops_left` times; the result comes back the
    same way.
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
    """What one entry says of itself to the others."""

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
    """Entries that the sender knows."""

    peers: list[Peer]


@attrs.frozen
class PeerState:
    """What changes of a Peer while its process lives."""

    sequence: int
    version: int
    draining: bool
    hears_quorum: bool


@attrs.frozen
class Pulse:
    """An entry's heartbeat on a link."""

    now: PeerState


@attrs.frozen
class Announcements:
    """Announcements and beats that the sender passes on.

    `ages_ms` says how old each full announcement is, in milliseconds; it
    is empty where all are new.
    """

    full: list[Announcement]
    beats: list[Beat]
    ages_ms: list[int] = attrs.field(factory=list)


@attrs.frozen
class AnnouncementQuery:
    """Asks for the full announcement of upstreams known by beats only."""

    upstreams: list[str]


# ---- Configuration for followers ----------------------------------------


@attrs.frozen
class ConfigurationView:
    """The configuration in force."""

    version: int
    document: dict


@attrs.frozen
class ConfigurationPull:
    """Asks a peer for what is newer than `version`."""

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
    """An entry's answer to LeaseRequest; `number` is its highest."""

    voter: str
    candidate: str
    incarnation: int
    round: int
    granted: bool
    number: int


@attrs.frozen
class DrainGroup:
    """The planner asks all entries to send a group no new work.

    It is repeated while the drain lasts and lapses after `duration`.
    """

    group: str
    fence: int
    number: int
    planner: str
    duration: datetime.timedelta


@attrs.frozen
class DrainReply:
    """How many requests the sender still has in progress on a group."""

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
    | fleetmessages.FleetStatus
    | fleetmessages.UpstreamDoubt
    | fleetmessages.CallersSeen
    | fleetmessages.RoutesView
    | fleetmessages.RoutesPull
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
    """Shows that the sender of a Hello knows the deployment's secret."""

    proof: bytes


Greeting = Hello | Proof
