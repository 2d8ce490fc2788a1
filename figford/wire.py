"""Typed values of the headers of requests and answers.

An adapter reads and writes the headers; other modules use only these types.
"""

import datetime
import typing

import attrs

HeaderList = list[tuple[bytes, bytes]]
# Of the final status of an answer (RFC 9110, section 15); what else comes is
# no answer.
FINAL_STATUSES = range(200, 600)


@attrs.frozen
class CallHead:
    """The values of a caller's headers; sizes are in tokens.

    `parts` names the parts of the prompt in order; the last one is the
    request's own.
    """

    attempt: str
    remaining: datetime.timedelta | None
    key: str | None
    model: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    resume_after: str | None = None
    parts: tuple[str, ...] = ()


@attrs.frozen
class UpstreamLoad:
    """The load that an upstream reported with an answer."""

    running: int
    waiting: int
    slots: int


@attrs.frozen
class LimitNotice:
    """What an answer says of its upstream's limit.

    `rate` is in requests per second, from all callers together; None if the
    upstream names no limit.
    """

    rate: float | None


@attrs.frozen
class AnswerHead:
    """The status and headers of an upstream's answer.

    `headers` are those that are forwarded. `not_run` is set where the
    upstream states that it did not run the request. `at_fault` names the
    member that made a group fail. `limit` is None if the answer's limit can't
    be read. An upstream that is `leaving` takes no new requests; one that asks
    for a `pause` takes none from this entry for that long.
    """

    status: int
    headers: HeaderList
    attempt: str | None = None
    signed: bool = False
    not_run: bool = False
    encoded: bool = False
    streamed: bool = False
    load: UpstreamLoad | None = None
    at_fault: str | None = None
    keep_alive_timeout: datetime.timedelta | None = None
    limit: LimitNotice | None = None
    leaving: bool = False
    pause: datetime.timedelta | None = None
    pause_unreadable: bool = False


@attrs.frozen
class Outgoing:
    """The values that the entry adds to a request to an upstream."""

    remaining: datetime.timedelta
    upstream: str
    account: str | None
    urgency: int | None = None
    resume_after: str | None = None


class Dialect(typing.Protocol):
    """Reads and writes the headers of callers and upstreams."""

    def read_call(self, headers: HeaderList) -> CallHead:
        """Returns the values of a caller's headers; raises BadRequest."""

    def request_headers(
        self, headers: HeaderList, outgoing: Outgoing
    ) -> HeaderList:
        """Returns the headers of the request to an upstream."""

    def read_answer(self, status: int, headers: HeaderList) -> AnswerHead:
        """Returns the values of an upstream's answer."""

    def retry_after(self, duration: datetime.timedelta) -> bytes:
        """Returns the value of the Retry-After header."""
