"""Exception types of all failures that figford reports.

Errors that are returned to callers derive from `Refusal`. Each has a
stable `kind` and an HTTP status, and states whether the request was run.
"""

import datetime
import enum

import attrs

# These tell a caller that its request did not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class RunState(enum.Enum):
    """Whether a refused request was run, as far as that is known."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@attrs.frozen
class FigfordError(Exception):
    """Base class of all errors of figford."""

    detail: str

    def __str__(self) -> str:
        """Returns the detail."""
        return self.detail


@attrs.frozen
class SettingsError(FigfordError):
    """A wrong key or value in settings or configuration."""

    path: str

    def __str__(self) -> str:
        """Returns the path of the value and what is wrong with it."""
        return f"{self.path}: {self.detail}"


class StoreDamagedError(FigfordError):
    """The data folder holds records that fail their checksum."""


class StoreVersionError(FigfordError):
    """The data folder was written by another layout version."""


class DataFolderInUseError(FigfordError):
    """Another process uses the data folder, or it already has a journal."""


class MessageError(FigfordError):
    """A peer message that is unknown, malformed or too large."""


class HandshakeError(FigfordError):
    """A peer failed the handshake of a link."""


class OrderRefusedError(FigfordError):
    """An upstream refused an order."""


class UnreachableError(FigfordError):
    """No process of the deployment answered a request of the command line."""


@attrs.frozen
class Refusal(FigfordError):
    """Base class of errors that refuse a caller's request.

    `retry_after` is the delay until a retry; None if a retry is useless.
    """

    retry_after: datetime.timedelta | None = None
    run_state: RunState = RunState.NOT_RUN

    kind = "refused"
    status = 503


class BadRequest(Refusal):
    """The request is malformed."""

    kind = "bad-request"
    status = 400


class UnknownAccount(Refusal):
    """The bearer key belongs to no client account."""

    kind = "unknown-account"
    status = 401


class NotAllowed(Refusal):
    """No rule allows this client account to use the model or service."""

    kind = "not-allowed"
    status = 403


class UnknownRoute(Refusal):
    """No serving group or plain service has this name or prefix."""

    kind = "unknown-route"
    status = 404


class KeyReused(Refusal):
    """An idempotency key was reused with a different body."""

    kind = "idempotency-key-reused"
    status = 422


class CallInProgress(Refusal):
    """The call with this idempotency key is still running."""

    kind = "call-in-progress"
    status = 409


class OutcomeUnknown(Refusal):
    """The call may have run; its owner or its upstream was lost."""

    kind = "outcome-unknown"
    status = 502


class TooManyRequests(Refusal):
    """The client account exceeds one of its limits."""

    kind = "too-many-requests"
    status = 429


class TooLarge(Refusal):
    """The body or the headers exceed the size limit."""

    kind = "too-large"
    status = 413


class SlowCaller(Refusal):
    """The caller did not send its request in time."""

    kind = "slow-caller"
    status = 408


class DeadlineMissed(Refusal):
    """The request can't be or was not answered by its deadline."""

    kind = "deadline"
    status = 504


class NoCapacity(Refusal):
    """No complete group or live upstream can take the request."""

    kind = "no-capacity"
    status = 503


class CrashesUpstreams(Refusal):
    """Requests with the same part or content have crashed upstreams."""

    kind = "crashes-upstreams"
    status = 503


class NoQuorum(Refusal):
    """The replicated log is unavailable."""

    kind = "no-quorum"
    status = 503


class Draining(Refusal):
    """This entry is stopping or has no confirmed configuration."""

    kind = "not-ready"
    status = 503


class UpstreamFailed(Refusal):
    """The upstream failed before its answer was complete."""

    kind = "upstream-failed"
    status = 502


class ConfigurationConflict(Refusal):
    """Another submission already replaced the base version of this one."""

    kind = "configuration-conflict"
    status = 409


class ConfigurationInvalid(Refusal):
    """The submitted configuration is invalid."""

    kind = "configuration-invalid"
    status = 422
