"""Every failure that figford reports, as a type.

Errors raised towards callers derive from `Refusal`; each has a stable
`kind`, the HTTP status and whether the request was run.
"""

import datetime
import enum

import attrs


class RunState(enum.Enum):
    """What is known about whether a refused request was run."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@attrs.frozen
class FigfordError(Exception):
    """Base of all errors of figford."""

    detail: str

    def __str__(self) -> str:
        """Returns the detail in words."""
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
    """Another process or an earlier founding owns the data folder."""


class MessageError(FigfordError):
    """A peer message that is unknown, malformed or too large."""


class HandshakeError(FigfordError):
    """A peer failed the handshake of a link."""


class OrderRefusedError(FigfordError):
    """An upstream refused an order."""


class UnreachableError(FigfordError):
    """No process of the deployment answered a command-line request."""


@attrs.frozen
class Refusal(FigfordError):
    """A request that gets no answer; the base of typed refusals.

    `retry_after` says when to come back; None where a retry is useless.
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
    """The bearer key names no client account."""

    kind = "unknown-account"
    status = 401


class NotAllowed(Refusal):
    """No rule lets this client account reach the model or service."""

    kind = "not-allowed"
    status = 403


class UnknownRoute(Refusal):
    """No serving group or plain service has this name or prefix."""

    kind = "unknown-route"
    status = 404


class KeyReused(Refusal):
    """An idempotency key came back with another body."""

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
    """The client account is over one of its limits."""

    kind = "too-many-requests"
    status = 429


class TooLarge(Refusal):
    """The body or the headers are over the limit."""

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


class NoQuorum(Refusal):
    """The replicated log is out of reach."""

    kind = "no-quorum"
    status = 503


class Draining(Refusal):
    """This entry is stopping or has no configuration that it trusts."""

    kind = "not-ready"
    status = 503


class UpstreamFailed(Refusal):
    """The upstream failed before its answer was whole."""

    kind = "upstream-failed"
    status = 502


class ConfigurationConflict(Refusal):
    """Another submission took the version that this one was based on."""

    kind = "configuration-conflict"
    status = 409


class ConfigurationInvalid(Refusal):
    """The submitted configuration is wrong."""

    kind = "configuration-invalid"
    status = 422
