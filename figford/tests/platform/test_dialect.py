"""Headers are read and written as the platform's documentation says."""

import datetime

import hypothesis
from hypothesis import strategies
import pytest

from figford import errors
from figford.platform import dialect
from figford import wire

DIALECT = dialect.PlatformDialect()
MS = datetime.timedelta(milliseconds=1)
CALL = [
    (b"Host", b"h.example"),
    (b"Figford-Attempt-Id", b"9c41d07be2a35f68"),
    (b"Last-Event-Id", b"12"),
    (b"Figford-Model", b"daka510000"),
    (b"Figford-Token-Usage", b"1460,80"),
    (b"Figford-Prompt-Prefix", b"5c1e07a2:800,91bd3f06:410"),
    (b"Figford-Deadline-Remaining", b"8000"),
    (b"X-Api-Key", b"secret"),
    (b"Figford-Tenant", b"forged"),
    (b"Connection", b"keep-alive, X-Hop"),
    (b"X-Hop", b"1"),
    (b"Content-Length", b"3"),
]
OUTGOING = wire.Outgoing(remaining=1500 * MS, upstream="i-1", account="acme")


def test_a_call_is_read_into_typed_fields() -> None:
    assert DIALECT.read_call(CALL) == wire.CallHead(
        attempt="9c41d07be2a35f68",
        remaining=8000 * MS,
        key="secret",
        model="daka510000",
        prompt_tokens=1460,
        output_tokens=80,
        resume_after="12",
        parts=("5c1e07a2", "91bd3f06"),
    )


@pytest.mark.parametrize(
    "values, parts",
    [
        ([], ()),
        ([b""], ()),
        ([b"A1:5, b2:7"], ("a1", "b2")),
        ([b"a1:5", b"b2:7"], ("a1", "b2")),
        ([b"a1,,:,b2:x:y"], ("a1", "b2")),
        ([b"\xff\xfe"], ("\xff\xfe",)),
    ],
)
def test_parts_of_prompts_are_read(values: list, parts: tuple) -> None:
    headers = [(b"Figford-Attempt-Id", b"a")]
    headers += [(b"Figford-Prompt-Prefix", value) for value in values]
    assert DIALECT.read_call(headers).parts == parts


def test_a_call_without_an_id_is_refused() -> None:
    with pytest.raises(errors.BadRequest):
        DIALECT.read_call([(b"Host", b"h")])


def test_the_key_is_dropped_and_the_account_is_set_by_the_entry() -> None:
    sent = DIALECT.request_headers(CALL, OUTGOING)
    names = [name.lower() for name, _ in sent]
    assert b"x-api-key" not in names
    assert [v for n, v in sent if n == b"figford-tenant"] == [b"acme"]
    assert names.count(b"figford-tenant") == 1


def test_connection_headers_are_not_forwarded() -> None:
    names = {n.lower() for n, _ in DIALECT.request_headers(CALL, OUTGOING)}
    assert not names & {b"connection", b"x-hop", b"content-length"}
    assert {b"host", b"figford-attempt-id", b"figford-model"} <= names


def test_the_remaining_time_replaces_the_callers_and_is_never_zero() -> None:
    sent = dict(DIALECT.request_headers(CALL, OUTGOING))
    assert sent[b"figford-deadline-remaining"] == b"1500"
    late = wire.Outgoing(remaining=-5 * MS, upstream="i-1", account=None)
    sent = dict(DIALECT.request_headers(CALL, late))
    assert sent[b"figford-deadline-remaining"] == b"1"
    assert b"figford-tenant" not in sent


def test_the_resume_position_replaces_the_callers_own() -> None:
    outgoing = wire.Outgoing(1500 * MS, "i-1", None, resume_after="31")
    sent = DIALECT.request_headers(CALL, outgoing)
    found = [v for n, v in sent if n.lower() == b"last-event-id"]
    assert found == [b"31"]


def test_an_answer_is_read_into_typed_fields() -> None:
    head = DIALECT.read_answer(
        200,
        [
            (b"Figford-Attempt-Id", b"9c"),
            (b"Figford-Response-Signature", b"3e1b.07"),
            (b"Figford-Server-Load", b"3,1,8"),
            (b"Content-Type", b"text/event-stream; charset=utf-8"),
            (b"Keep-Alive", b"max=3, timeout=7"),
            (b"Transfer-Encoding", b"chunked"),
        ],
    )
    assert head.signed and head.streamed and not head.not_run
    assert head.load == wire.UpstreamLoad(3, 1, 8)
    assert head.keep_alive_timeout == datetime.timedelta(seconds=7)
    assert [name for name, _ in head.headers] == [
        b"Figford-Attempt-Id",
        b"Figford-Response-Signature",
        b"Content-Type",
    ]


@pytest.mark.parametrize("status", [421, 503])
def test_only_the_header_or_status_421_means_not_run(status: int) -> None:
    with_header = DIALECT.read_answer(
        status, [(b"figford-not-executed", b"1")]
    )
    assert with_header.not_run
    without_header = DIALECT.read_answer(status, [])
    assert without_header.not_run is (status == 421)


@pytest.mark.parametrize(
    "value, rate",
    [(b"1", 1.0), (b" 1.5 ", 1.5), (b"0.25", 0.25), (b"0", 0.0)],
)
def test_a_limit_is_a_decimal_number(value: bytes, rate: float) -> None:
    head = DIALECT.read_answer(200, [(b"Server-Limit", value)])
    assert head.limit == wire.LimitNotice(rate)


@pytest.mark.parametrize(
    "value", [b"", b"-1", b"nan", b"inf", b"1e9", b"1,5", b"9" * 40]
)
def test_a_limit_that_can_t_be_read_is_no_end_of_a_limit(
    value: bytes,
) -> None:
    assert DIALECT.read_answer(200, [(b"Server-Limit", value)]).limit is None
    assert DIALECT.read_answer(200, []).limit == wire.LimitNotice(None)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                [name for name, _ in CALL]
                + [b"Figford-Server-Load", b"Keep-Alive", b"Server-Limit"]
            ),
            strategies.binary(max_size=30),
        ),
        max_size=12,
    )
)
def test_any_bytes_in_headers_are_read_or_refused(headers: list) -> None:
    try:
        DIALECT.read_call(headers)
    except errors.BadRequest:
        pass
    DIALECT.read_answer(200, headers)
    DIALECT.request_headers(headers, OUTGOING)
