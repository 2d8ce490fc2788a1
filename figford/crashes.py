"""Which requests were beginning at an upstream when it crashed.

An upstream crashed if attempts at it break, no connection of this entry to it
is left, and its address accepts no new one. A request whose answer had not
begun by then may be the cause.
"""

import datetime
import hashlib
import typing

import attrs

from figford import crashrecords
from figford import fleetmessages
from figford import requesttargets
from figford import wire

# The connections of a process that ended are all closed within this time.
SETTLE_TIME = datetime.timedelta(milliseconds=20)
# An answer has begun with this many events: an upstream may still send the
# first one of an answer that ends its process.
BEGUN_EVENTS = 2
# Requests per crash and prompt parts per request that are told.
MAX_SUSPECTS = 64
MAX_PARTS = 32
PART_NAME_LENGTH = 40


def part_names(head: wire.CallHead) -> list[str]:
    """Returns the prompt parts that a request may share with others.

    The last part is the request's own.

    >>> part_names(wire.CallHead("a", None, None, parts=("x", "y", "z")))
    ['x', 'y']
    """
    return [part[:PART_NAME_LENGTH] for part in head.parts[:-1][:MAX_PARTS]]


@attrs.frozen
class RequestIdentity:
    """What a caller's request and its repeats have in common.

    `caller` is the client account, or the key where there is none.
    """

    caller: str
    host: str
    method: bytes
    target: bytes
    parts: tuple[str, ...]
    body: bytes


def host_of(headers: wire.HeaderList) -> str:
    """Returns the normalized form of the host that a request names."""
    for name, value in headers:
        if name.lower() == b"host":
            return requesttargets.normalize_host(value.decode("latin-1"))
    return ""


def request_digest(identity: RequestIdentity) -> str:
    """Returns the same text for a request and its repeats by the caller."""
    digest = hashlib.blake2b(digest_size=8)
    for item in (
        identity.caller.encode("utf-8", "replace"),
        identity.host.encode("latin-1"),
        identity.method,
        requesttargets.normalize_escapes(
            identity.target.decode("latin-1")
        ).encode("latin-1"),
        ",".join(identity.parts).encode("utf-8", "replace"),
        identity.body,
    ):
        digest.update(len(item).to_bytes(8, "big") + item)
    return digest.hexdigest()


@attrs.define
class _BrokenUpstream:
    """The attempts at one upstream that broke at about the same time."""

    upstream: str
    incarnation: int
    address: str
    broken_at: datetime.timedelta
    suspect_by_request: dict[str, fleetmessages.Suspect] = attrs.field(
        factory=dict
    )
    # When the suspects were sent whose connections were closed at once.
    closed_sent_at: dict[str, datetime.timedelta] = attrs.field(factory=dict)
    answering: int = 0


@attrs.frozen
class Crash:
    """What looks like a crash until the address was probed.

    `answering` counts the requests whose answers had begun.
    """

    report: fleetmessages.CrashReport
    answering: int
    address: str


@attrs.frozen
class Reset:
    """Broken connections to an upstream that did not crash."""

    upstream: str
    incarnation: int


@attrs.define
class CrashCollector:
    """Collects broken attempts until it is clear which upstreams crashed."""

    _broken: dict[tuple[str, int], _BrokenUpstream] = attrs.field(factory=dict)

    def record(
        self,
        upstream: str,
        incarnation: int,
        address: str,
        suspect: fleetmessages.Suspect | None,
        sent_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Records a broken attempt; `suspect` is None if it had begun."""
        key = (upstream, incarnation)
        broken = self._broken.get(key)
        if broken is None:
            broken = _BrokenUpstream(upstream, incarnation, address, now)
            self._broken[key] = broken
        if suspect is None:
            broken.answering += 1
        elif (
            suspect.request not in broken.suspect_by_request
            and len(broken.suspect_by_request) < MAX_SUSPECTS
        ):
            broken.suspect_by_request[suspect.request] = suspect
            if now - sent_at < crashrecords.ACCEPTED_TIME:
                broken.closed_sent_at[suspect.request] = sent_at

    def take_settled(
        self,
        is_connected: typing.Callable[[str], bool],
        now: datetime.timedelta,
    ) -> list[Crash | Reset]:
        """Returns what it was that broke the attempts, once that is clear.

        `is_connected` tells whether a connection to an address is open.
        """
        found: list[Crash | Reset] = []
        for key, broken in list(self._broken.items()):
            if now - broken.broken_at < SETTLE_TIME:
                continue
            del self._broken[key]
            if is_connected(broken.address):
                found.append(Reset(*key))
                continue
            report = fleetmessages.CrashReport(
                broken.upstream,
                broken.incarnation,
                now - broken.broken_at,
                list(broken.suspect_by_request.values()),
                closed_sent_after={
                    request: sent_at - broken.broken_at
                    for request, sent_at in broken.closed_sent_at.items()
                },
            )
            found.append(Crash(report, broken.answering, broken.address))
        return found
