"""Loopback TCP relays that inject faults into the connections they forward.

Blocked bytes are delivered once the direction is open again, as TCP does
after packet loss; a reset discards them.
"""

import asyncio
import contextlib
import enum
import threading

import attrs

CHUNK_BYTES = 1 << 16
POLL_SECONDS = 0.01


class ConnectionFault(enum.Enum):
    """The fault that a relay injects into its connections."""

    NONE = "none"
    SLOW = "slow"
    # Only one direction is blocked: to the target, or back from it.
    CUT_TO_TARGET = "cut there"
    CUT_FROM_TARGET = "cut back"
    SILENT = "silent"
    RESET = "reset"


_BLOCK_TO_TARGET = {ConnectionFault.CUT_TO_TARGET, ConnectionFault.SILENT}
_BLOCK_FROM_TARGET = {ConnectionFault.CUT_FROM_TARGET, ConnectionFault.SILENT}


@attrs.define(eq=False)
class Relay:
    """Forwards the connections to one port to another port."""

    host: str
    port: int
    target_port: int
    delay_seconds: float = 0.05
    fault: ConnectionFault = ConnectionFault.NONE
    _transports: set[asyncio.WriteTransport] = attrs.field(factory=set)

    async def listen(self) -> None:
        """Starts to accept connections."""
        await asyncio.start_server(self._connected, self.host, self.port)

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is ConnectionFault.RESET:
            writer.transport.abort()
            return
        try:
            target_streams = await asyncio.open_connection(
                self.host, self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        transports = {writer.transport, target_streams[1].transport}
        self._transports |= transports
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._pump(reader, target_streams[1], _BLOCK_TO_TARGET),
                self._pump(target_streams[0], writer, _BLOCK_FROM_TARGET),
            )
        for transport in transports:
            transport.close()
        self._transports -= transports

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocking_faults: set[ConnectionFault],
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.fault is ConnectionFault.SLOW:
                    await asyncio.sleep(self.delay_seconds)
                while self.fault in blocking_faults:
                    await asyncio.sleep(POLL_SECONDS)
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            if writer.can_write_eof() and not writer.is_closing():
                writer.write_eof()

    def set_fault(self, fault: ConnectionFault) -> None:
        """Sets the fault; a reset aborts all connections at once."""
        self.fault = fault
        if fault is ConnectionFault.RESET:
            for transport in list(self._transports):
                transport.abort()


@attrs.define
class Relays:
    """Runs relays in a thread with its own event loop."""

    relays: list[Relay]
    _loop: asyncio.AbstractEventLoop = attrs.field(
        factory=asyncio.new_event_loop
    )
    _thread: threading.Thread | None = None

    def start(self) -> None:
        """Starts to listen on all ports."""
        for relay in self.relays:
            self._loop.run_until_complete(relay.listen())
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()

    def set_fault(self, relay: Relay, fault: ConnectionFault) -> None:
        """Sets the fault of one relay."""
        self._loop.call_soon_threadsafe(relay.set_fault, fault)

    def end(self) -> None:
        """Ends all connections and stops the event loop."""
        if self._thread is None:
            return
        asyncio.run_coroutine_threadsafe(self._cancel(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._thread = None
        self._loop.close()

    async def _cancel(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for item in tasks:
            item.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
