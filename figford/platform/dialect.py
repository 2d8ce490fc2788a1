"""HTTP headers of the platform's callers and upstreams."""

import datetime
import re

import attrs

from figford import errors
from figford import wire

_ATTEMPT = b"figford-attempt-id"
_REMAINING = b"figford-deadline-remaining"
_KEY = b"x-api-key"
_MODEL = b"figford-model"
# The prompt's tokens and the maximum of output tokens, not usage so far.
_TOKENS = b"figford-token-usage"
# The parts of the prompt as ID:TOKENS, separated by commas.
_PARTS = b"figford-prompt-prefix"
_RESUME = b"last-event-id"
_UPSTREAM = b"figford-expect-instance"
_ACCOUNT = b"figford-tenant"
_URGENCY = b"figford-request-urgency"
_SIGNATURE = b"figford-response-signature"
_NOT_RUN = b"figford-not-executed"
_LOAD = b"figford-server-load"
_LIMIT = b"server-limit"
_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
# The id of the upstream that made a group fail.
_AT_FAULT = b"at-server"

_MILLISECOND = datetime.timedelta(milliseconds=1)
MAX_KEEP_ALIVE = datetime.timedelta(days=1)
_MISDIRECTED = 421
_UNAVAILABLE = 503

# Headers that concern one connection only (RFC 9110, section 7.6.1).
_CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
_REPLACED_HEADERS = frozenset(
    {_REMAINING, _KEY, _UPSTREAM, _ACCOUNT, _URGENCY}
)


def _number(text: bytes | None) -> int | None:
    if text is None:
        return None
    text = text.strip()
    return int(text) if text.isdigit() and len(text) < 16 else None


def _numbers(text: bytes | None, count: int) -> tuple[int, ...] | None:
    if text is None:
        return None
    parts = [_number(part) for part in text.split(b",")]
    if len(parts) != count or None in parts:
        return None
    return tuple(part for part in parts if part is not None)


def _limit(value: bytes | None) -> wire.LimitNotice | None:
    """Returns the limit that a header names; None if it can't be read."""
    if value is None:
        return wire.LimitNotice(None)
    number = _decimal(value)
    return None if number is None else wire.LimitNotice(number)


def _decimal(value: bytes) -> float | None:
    text = value.strip()
    if not re.fullmatch(rb"\d{1,12}(\.\d{0,12})?", text):
        return None
    return float(text)


def _parts(headers: wire.HeaderList) -> tuple[str, ...]:
    """Returns the names of a prompt's parts, of all headers together."""
    items = b",".join(
        value for name, value in headers if name.lower() == _PARTS
    ).split(b",")
    names = (item.partition(b":")[0].strip().lower() for item in items)
    return tuple(name.decode("latin-1") for name in names if name)


def _text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1").strip()


def _header_value(text: str) -> bytes:
    """Returns a text as the value of a header, in UTF-8 if need be."""
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError:
        return text.encode("utf-8", "replace")


def _keep_alive_timeout(value: bytes | None) -> datetime.timedelta | None:
    """Returns the timeout of a Keep-Alive header, in whole seconds."""
    for part in (value or b"").split(b","):
        name, _, number = part.partition(b"=")
        seconds = _number(number)
        if name.strip().lower() == b"timeout" and seconds is not None:
            longest = MAX_KEEP_ALIVE // datetime.timedelta(seconds=1)
            return datetime.timedelta(seconds=min(seconds, longest))
    return None


@attrs.frozen
class PlatformDialect:
    """Reads and writes the platform's headers."""

    def read_call(self, headers: wire.HeaderList) -> wire.CallHead:
        """Returns a caller's headers as values.

        Raises BadRequest if the attempt id is missing.
        """
        by_name = {name.lower(): value for name, value in headers}
        attempt = _text(by_name.get(_ATTEMPT))
        if not attempt:
            raise errors.BadRequest("the request has no attempt id")
        remaining = _number(by_name.get(_REMAINING))
        tokens = _numbers(by_name.get(_TOKENS), 2) or (0, 0)
        return wire.CallHead(
            attempt=attempt,
            remaining=(
                None if remaining is None else remaining * _MILLISECOND
            ),
            key=_text(by_name.get(_KEY)),
            model=_text(by_name.get(_MODEL)),
            prompt_tokens=tokens[0],
            output_tokens=tokens[1],
            resume_after=_text(by_name.get(_RESUME)),
            parts=_parts(headers),
        )

    def request_headers(
        self, headers: wire.HeaderList, outgoing: wire.Outgoing
    ) -> wire.HeaderList:
        """Returns the headers of the request to an upstream."""
        connection_options = b",".join(
            value for name, value in headers if name.lower() == b"connection"
        )
        dropped = {
            item.strip().lower() for item in connection_options.split(b",")
        }
        dropped |= _CONNECTION_HEADERS | _REPLACED_HEADERS
        if outgoing.resume_after is not None:
            dropped.add(_RESUME)
        result = [
            (name, value)
            for name, value in headers
            if name.lower() not in dropped
        ]
        remaining = max(1, outgoing.remaining // _MILLISECOND)
        result.append((_REMAINING, str(remaining).encode()))
        result.append((_UPSTREAM, outgoing.upstream.encode()))
        optional = (
            (_ACCOUNT, outgoing.account),
            (_URGENCY, outgoing.urgency),
            (_RESUME, outgoing.resume_after),
        )
        for name, value in optional:
            if value is not None:
                result.append((name, _header_value(str(value))))
        return result

    def read_answer(
        self, status: int, headers: wire.HeaderList
    ) -> wire.AnswerHead:
        """Returns the status and headers of an upstream's answer as values."""
        by_name = {name.lower(): value for name, value in headers}
        load = _numbers(by_name.get(_LOAD), 3)
        asked = by_name.get(_RETRY_AFTER) if status == _UNAVAILABLE else None
        pause = None if asked is None else _decimal(asked)
        media_type = by_name.get(b"content-type", b"").partition(b";")[0]
        return wire.AnswerHead(
            status=status,
            headers=[
                (name, value)
                for name, value in headers
                if name.lower() not in _CONNECTION_HEADERS
                and name.lower() not in (_LOAD, _NOT_RUN)
            ],
            attempt=_text(by_name.get(_ATTEMPT)),
            signed=bool(by_name.get(_SIGNATURE)),
            not_run=_NOT_RUN in by_name or status == _MISDIRECTED,
            encoded=b"content-encoding" in by_name,
            streamed=media_type.strip().lower() == b"text/event-stream",
            load=wire.UpstreamLoad(*load) if load else None,
            at_fault=_text(by_name.get(_AT_FAULT)),
            keep_alive_timeout=_keep_alive_timeout(by_name.get(b"keep-alive")),
            limit=_limit(by_name.get(_LIMIT)),
            leaving=by_name.get(_LEAVING, b"").strip() == b"1",
            pause=None if pause is None else datetime.timedelta(seconds=pause),
            pause_unreadable=asked is not None and pause is None,
        )

    def retry_after(self, duration: datetime.timedelta) -> bytes:
        """Returns fractional seconds, which the platform's callers accept."""
        return f"{duration.total_seconds():.3f}".encode()
