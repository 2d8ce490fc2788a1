"""Sends requests to upstreams over persistent connections, one at a time.

`h11` reads and writes the protocol. A connection that receives bytes which
belong to no request, or an answer to another request, is closed. Nothing
is retried here.
"""

import collections
import datetime
import enum
import socket
import typing

import attrs
import h11
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error as internet_errors
from twisted.internet import protocol

from figford import crashrecords
from figford import settings
from figford import wire

# A handshake within a region takes milliseconds. A lost SYN is retransmitted
# only after a second; trying another upstream is faster.
CONNECT_TIMEOUT_SECONDS = 0.25
# After a timer, so that the sockets are read between the two.
READ_SECONDS = 0.01
PROBE_SECONDS = crashrecords.ACCEPTED_TIME.total_seconds()
# Idle connections are closed this long before the upstream would do so.
KEEP_ALIVE_MARGIN = datetime.timedelta(milliseconds=700)
DEFAULT_KEEP_ALIVE = datetime.timedelta(seconds=4)
MAX_IDLE_PER_UPSTREAM = 24
# A second copy of an answer comes within so many requests.
REMEMBERED_ATTEMPTS = 64
# An answer that nobody waits for is read to its end, so that its connection
# can be kept, only if it is about this short.
IGNORED_LIMIT_BYTES = 64 << 10
# Interim answers (RFC 9110, section 15.2) of one request; few send any.
MAX_INTERIM_ANSWERS = 16
IGNORED_TIMEOUT = datetime.timedelta(seconds=1)
# TCP keepalive probes, which detect peers that vanished without a reset.
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
TCP_USER_TIMEOUT_MS = 2500


class Failure(enum.Enum):
    """How an exchange failed, by what the upstream may have received."""

    NOT_SENT = "not sent"
    BROKEN = "broken"
    INVALID = "invalid"


class ProbeResult(enum.Enum):
    """What became of a connection that was opened to probe an address."""

    OPEN = "open"
    CLOSED = "closed"
    UNREACHABLE = "unreachable"


class Receiver(typing.Protocol):
    """Receives the answer of one exchange; nothing is called after its end."""

    def answer_began(self, head: wire.AnswerHead) -> None:
        """Receives status and headers."""

    def answer_data(self, data: bytes) -> None:
        """Receives a part of the body."""

    def answer_ended(self) -> None:
        """Is called when the answer is complete."""

    def answer_failed(self, failure: Failure) -> None:
        """Is called when the answer can no longer be completed."""


@attrs.define(eq=False)
class Exchange:
    """One request to one upstream."""

    method: bytes
    target: bytes
    headers: wire.HeaderList
    body: bytes
    receiver: Receiver | None
    attempt: str = ""
    # Idle connections to the upstream that may be kept after this one.
    max_idle_connections: int = MAX_IDLE_PER_UPSTREAM
    sent: bool = False
    paused: bool = False
    # Set while the rest of the answer is read and ignored.
    ignored_since: datetime.timedelta | None = None
    _connection: "Connection | None" = None
    _connecting: typing.Any = None

    def cancel(self) -> None:
        """Cancels the exchange and closes its connection to the upstream."""
        self.receiver = None
        if self._connection is not None:
            self._connection.transport.abortConnection()
        elif self._connecting is not None:
            self._connecting.cancel()

    def ignore_rest(self, now: datetime.timedelta) -> None:
        """Ignores the rest of the answer; keeps the connection if it ends."""
        self.receiver = None
        self.ignored_since = now

    def pause(self) -> None:
        """Stops reading the answer until `resume` is called."""
        self.paused = True
        if self._connection is not None:
            self._connection.transport.pauseProducing()

    def resume(self) -> None:
        """Reads the answer again."""
        self.paused = False
        if self._connection is not None:
            self._connection.transport.resumeProducing()

    def fail(self, failure: Failure) -> None:
        """Reports a failure to the receiver, at most once."""
        receiver, self.receiver = self.receiver, None
        if receiver is not None:
            receiver.answer_failed(failure)


class Connection(protocol.Protocol):
    """One connection to an upstream."""

    def __init__(self, pool: "Pool", address: str) -> None:
        """Creates the protocol of a connection that is being opened."""
        self._pool = pool
        self.address = address
        self._http = h11.Connection(h11.CLIENT)
        self._exchange: Exchange | None = None
        self._head: wire.AnswerHead | None = None
        self.reusable_until = datetime.timedelta(0)
        self.idle_since = datetime.timedelta(0)
        self.max_idle_connections = MAX_IDLE_PER_UPSTREAM
        self._open = False
        self._ignored_bytes = 0
        self._interim_answers = 0
        # The ids of the last attempts that were sent on this connection.
        self._attempts: collections.deque[str] = collections.deque(
            maxlen=REMEMBERED_ATTEMPTS
        )

    def connectionMade(self) -> None:
        """Sets the socket options that detect dead connections."""
        self._open = True
        self.transport.setTcpNoDelay(True)
        handle = self.transport.getHandle()
        options = (
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
            (
                socket.IPPROTO_TCP,
                socket.TCP_KEEPINTVL,
                KEEPALIVE_INTERVAL_SECONDS,
            ),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
        )
        for level, option, value in options:
            handle.setsockopt(level, option, value)

    @property
    def usable(self) -> bool:
        """Returns whether a request may be sent on this connection."""
        return self._open and self._exchange is None

    def has_sent(self, attempt: str) -> bool:
        """Returns whether an attempt was sent on this connection lately."""
        return attempt in self._attempts

    def begin(self, exchange: Exchange) -> None:
        """Sends a request."""
        self._exchange = exchange
        if exchange.attempt:
            self._attempts.append(exchange.attempt)
        self._head = None
        self._ignored_bytes = 0
        self._interim_answers = 0
        self.max_idle_connections = exchange.max_idle_connections
        exchange._connection = self
        headers = list(exchange.headers)
        if exchange.body or exchange.method not in (b"GET", b"HEAD"):
            headers.append(
                (b"Content-Length", str(len(exchange.body)).encode())
            )
        request = h11.Request(
            method=exchange.method, target=exchange.target, headers=headers
        )
        data = self._http.send(request) or b""
        if exchange.body:
            data += self._http.send(h11.Data(data=exchange.body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        exchange.sent = True
        self.transport.write(data)
        if exchange.paused:
            self.transport.pauseProducing()

    def dataReceived(self, data: bytes) -> None:
        """Parses received bytes and reports the resulting events."""
        if self._exchange is None:
            # Bytes that belong to no request.
            self._pool.unmatched_answers += 1
            self._open = False
            self.transport.abortConnection()
            return
        try:
            self._http.receive_data(data)
            self._report_events()
        except h11.RemoteProtocolError:
            self._fail(Failure.INVALID)

    def _report_events(self) -> None:
        """Reports events; data in many small chunks is reported as one."""
        data: list[bytes] = []
        while self._exchange is not None:
            event = self._http.next_event()
            if isinstance(event, h11.Data):
                data.append(bytes(event.data))
                continue
            if data:
                self._on_data(b"".join(data))
                data.clear()
            match event:
                case h11.Response():
                    self._on_head(event)
                case h11.EndOfMessage():
                    if self._exchange is not None:
                        self._on_end()
                case h11.InformationalResponse():
                    self._interim_answers += 1
                    if self._interim_answers > MAX_INTERIM_ANSWERS:
                        self._fail(Failure.INVALID)
                case _:
                    return

    def _on_head(self, event: h11.Response) -> None:
        exchange = self._exchange
        if exchange is None:
            return
        if event.status_code not in wire.FINAL_STATUSES:
            self._fail(Failure.INVALID)
            return
        headers = list(event.headers.raw_items())
        head = self._pool.dialect.read_answer(event.status_code, headers)
        self._head = head
        if exchange.attempt and head.attempt != exchange.attempt:
            # An answer to another request. The next one may belong to this
            # exchange, but the connection can no longer be trusted.
            self._pool.unmatched_answers += 1
            self._fail(Failure.INVALID)
            return
        if exchange.receiver is not None:
            exchange.receiver.answer_began(head)

    def _on_data(self, data: bytes) -> None:
        exchange = self._exchange
        if exchange is None:
            return
        if exchange.receiver is not None:
            exchange.receiver.answer_data(data)
            return
        self._ignored_bytes += len(data)
        if self._ignored_bytes > IGNORED_LIMIT_BYTES:
            self._fail(Failure.INVALID)

    def abort_ignored(self, now: datetime.timedelta) -> None:
        """Aborts an answer that is ignored and doesn't end."""
        exchange = self._exchange
        if exchange is None or exchange.ignored_since is None:
            return
        if now - exchange.ignored_since > IGNORED_TIMEOUT:
            self._fail(Failure.INVALID)

    def _on_end(self) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None and exchange.paused and self._open:
            self.transport.resumeProducing()
        self._keep_or_close()
        if exchange is None:
            return
        exchange._connection = None
        receiver, exchange.receiver = exchange.receiver, None
        if receiver is not None:
            receiver.answer_ended()

    def _keep_or_close(self) -> None:
        trailing, _ = self._http.trailing_data
        reusable = (
            self._open
            and not trailing
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )
        if not reusable:
            self._pool.unmatched_answers += bool(trailing)
            self._open = False
            self.transport.abortConnection()
            return
        self._http.start_next_cycle()
        self._keep(self._head.keep_alive_timeout if self._head else None)

    def keep_unused(self) -> bool:
        """Keeps a connection that served no request; False if it is closed."""
        if self._open:
            self._keep(None)
        return self._open

    def _keep(self, keep_alive_timeout: datetime.timedelta | None) -> None:
        """Keeps the connection for the next request."""
        now = self._pool.clock.now()
        self.idle_since = now
        self.reusable_until = (
            now
            + (keep_alive_timeout or DEFAULT_KEEP_ALIVE)
            - KEEP_ALIVE_MARGIN
        )
        self._pool.keep(self)

    def connectionLost(
        self, reason: typing.Any = protocol.connectionDone
    ) -> None:
        """Ends the exchange; a clean close may complete its answer."""
        self._open = False
        self._pool.closed(self)
        if self._exchange is None:
            return
        if reason.check(internet_errors.ConnectionDone):
            try:
                self._http.receive_data(b"")
                self._report_events()
            except h11.RemoteProtocolError:
                self._fail(Failure.BROKEN)
                return
        self._fail(Failure.BROKEN)

    def _fail(self, failure: Failure) -> None:
        exchange, self._exchange = self._exchange, None
        if self._open:
            self._open = False
            self.transport.abortConnection()
        if exchange is not None:
            exchange._connection = None
            exchange.fail(failure)


class _Factory(protocol.Factory):
    """Creates the protocol of one connection."""

    noisy = False

    def __init__(self, pool: "Pool", address: str) -> None:
        self._pool = pool
        self._address = address

    def buildProtocol(self, addr: object) -> Connection:
        """Returns the protocol of the new connection."""
        return Connection(self._pool, self._address)


@attrs.define(eq=False)
class Pool:
    """A pool of connections to upstreams, by address."""

    reactor: typing.Any
    clock: typing.Any
    dialect: wire.Dialect
    unmatched_answers: int = 0
    opened: int = 0
    _idle_by_address: dict[str, collections.deque[Connection]] = attrs.field(
        factory=dict
    )
    _open: set[Connection] = attrs.field(factory=set)

    def send(
        self,
        address: str,
        exchange: Exchange,
        max_idle: datetime.timedelta | None = None,
    ) -> None:
        """Sends a request on an idle or a new connection.

        With `max_idle`, only a connection that was idle for at most that
        long is reused. One that the same attempt was sent on before is not:
        a second copy of the answer would be taken for the next one.
        """
        connection = self._take_idle(address, max_idle, exchange.attempt)
        if connection is not None:
            connection.begin(exchange)
            return
        connecting = self._connect(address)
        exchange._connecting = connecting

        def connected(opened: Connection) -> None:
            exchange._connecting = None
            if exchange.receiver is None:
                opened.transport.abortConnection()
                return
            opened.begin(exchange)

        def failed(_: object) -> None:
            # The receiver learns the kind of failure and logs its decision.
            exchange._connecting = None
            exchange.fail(Failure.NOT_SENT)

        connecting.addCallbacks(connected, failed)

    def _connect(self, address: str) -> defer.Deferred:
        """Opens a connection; the result fires when it is established."""
        host, port = settings.split_address(address)
        endpoint = endpoints.TCP4ClientEndpoint(self.reactor, host, port)

        def connected(opened: Connection) -> Connection:
            self.opened += 1
            self._open.add(opened)
            return opened

        connecting = endpoint.connect(_Factory(self, address))
        self._limit_time(connecting)
        return connecting.addCallback(connected)

    def _limit_time(self, connecting: defer.Deferred) -> None:
        """Cancels an attempt to connect that takes too long.

        The sockets are read once more before: a process that was late finds
        its timers due before connections that were established.
        """

        def expire() -> None:
            nonlocal timer
            timer = self.reactor.callLater(READ_SECONDS, connecting.cancel)

        def settled(result: typing.Any) -> typing.Any:
            if timer.active():
                timer.cancel()
            return result

        timer = self.reactor.callLater(CONNECT_TIMEOUT_SECONDS, expire)
        connecting.addBoth(settled)

    def probe(
        self, address: str, report: typing.Callable[[ProbeResult], None]
    ) -> None:
        """Opens a connection to an address and reports what becomes of it.

        It is kept for the next request.
        """

        def connected(opened: Connection) -> None:
            self.reactor.callLater(PROBE_SECONDS, settle, opened)

        def settle(opened: Connection) -> None:
            if opened.keep_unused():
                report(ProbeResult.OPEN)
            else:
                report(ProbeResult.CLOSED)

        self._connect(address).addCallbacks(
            connected, lambda _: report(ProbeResult.UNREACHABLE)
        )

    def _take_idle(
        self,
        address: str,
        max_idle: datetime.timedelta | None,
        attempt: str = "",
    ) -> Connection | None:
        idle_connections = self._idle_by_address.get(address)
        now = self.clock.now()
        while idle_connections:
            connection = idle_connections.pop()
            too_old = (
                max_idle is not None and now - connection.idle_since > max_idle
            )
            if connection.usable and now < connection.reusable_until:
                if not too_old and not connection.has_sent(attempt):
                    return connection
                idle_connections.append(connection)
                return None
            connection.transport.loseConnection()
        return None

    def is_connected(self, address: str) -> bool:
        """Returns whether a connection to an address is open."""
        return any(connection.address == address for connection in self._open)

    def keep(self, connection: Connection) -> None:
        """Keeps an idle connection for the next request."""
        idle_connections = self._idle_by_address.setdefault(
            connection.address, collections.deque()
        )
        idle_connections.append(connection)
        while len(idle_connections) > connection.max_idle_connections:
            idle_connections.popleft().transport.loseConnection()

    def closed(self, connection: Connection) -> None:
        """Removes a closed connection from the pool."""
        self._open.discard(connection)
        idle_connections = self._idle_by_address.get(connection.address)
        if idle_connections and connection in idle_connections:
            idle_connections.remove(connection)

    def drop(self, address: str) -> None:
        """Closes the idle connections to an address that is no longer used."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.transport.loseConnection()

    def close_expired(self) -> None:
        """Closes idle connections past their time, and ignored answers."""
        now = self.clock.now()
        for connection in list(self._open):
            connection.abort_ignored(now)
        for idle_connections in self._idle_by_address.values():
            while (
                idle_connections and now >= idle_connections[0].reusable_until
            ):
                idle_connections.popleft().transport.loseConnection()

    def close(self) -> None:
        """Closes all connections."""
        for connection in list(self._open):
            connection.transport.abortConnection()
