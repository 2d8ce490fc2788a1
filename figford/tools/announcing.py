"""Announces stand-in upstreams to the entries."""

import itertools
import json
import time
import typing

import attrs
from twisted.internet import defer
from twisted.web import client
from twisted.web import http_headers

from figford import codec
from figford import messages
from figford import upstreams

HEARTBEAT_SECONDS = 1.0
TIMEOUT_SECONDS = 1.0


@attrs.define(eq=False)
class Announcer:
    """Sends announcements to the entries in turn, as a load balancer would."""

    reactor: typing.Any
    entries: list[str]
    make_announcement: typing.Callable[[], messages.Announcement]
    sequence: int = 0
    failures: int = 0
    stopped: bool = False
    _agent: client.Agent = attrs.field(init=False)
    _next_entries: typing.Iterator[str] = attrs.field(init=False)
    _timer: typing.Any = None

    def __attrs_post_init__(self) -> None:
        """Creates the HTTP client."""
        pool = client.HTTPConnectionPool(self.reactor, persistent=True)
        pool.retryAutomatically = False
        self._agent = client.Agent(
            self.reactor, pool=pool, connectTimeout=TIMEOUT_SECONDS
        )
        self._next_entries = itertools.cycle(self.entries)

    def announce(self) -> defer.Deferred:
        """Announces now and then at every heartbeat interval.

        A failed announcement is retried once at each of the other entries.
        """
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        if not self.stopped:
            self._timer = self.reactor.callLater(
                HEARTBEAT_SECONDS, self.announce
            )
        self.sequence += 1
        announcement = attrs.evolve(
            self.make_announcement(),
            sequence=self.sequence,
            clock_ms=int(time.monotonic() * 1000),
        )
        return self._send(announcement, len(self.entries))

    def _send(
        self, announcement: messages.Announcement, attempts_left: int
    ) -> defer.Deferred:
        plain = codec.to_plain(announcement, messages.Announcement)
        deferred = self._agent.request(
            b"POST",
            f"http://{next(self._next_entries)}/announce".encode(),
            http_headers.Headers({b"content-type": [b"application/json"]}),
            upstreams.BytesProducer(json.dumps(plain).encode()),
        )
        deferred.addCallback(client.readBody)
        deferred.addTimeout(TIMEOUT_SECONDS, self.reactor)

        def on_failure(_: object) -> typing.Any:
            self.failures += 1
            if attempts_left > 1:
                return self._send(announcement, attempts_left - 1)
            return None

        return deferred.addErrback(on_failure)

    def stop(self) -> None:
        """Stops the heartbeats."""
        self.stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
