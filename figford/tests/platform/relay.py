"""Loopback relays between processes, which harm the connections they carry.

Bytes that are held back are delivered once a way is open again, as a
network that loses packets does; a reset loses them.
"""

import asyncio
import contextlib
import enum
import threading

import attrs

CHUNK_BYTES = 1 << 16
POLL_SECONDS = 0.01


class Harm(enum.Enum):
    """What a relay does to its connections."""

    NONE = "none"
    SLOW = "slow"
    # Nothing goes from the side that connected, or back to it.
    CUT_THERE = "cut there"
    CUT_BACK = "cut back"
    SILENT = "silent"
    RESET = "reset"


_HELD_THERE = {Harm.CUT_THERE, Harm.SILENT}
_HELD_BACK = {Harm.CUT_BACK, Harm.SILENT}


@attrs.define(eq=False)
class Relay:
    """One port that is passed on to another."""

    host: str
    port: int
    target_port: int
    delay_seconds: float = 0.05
    harm: Harm = Harm.NONE
    _transports: set[asyncio.WriteTransport] = attrs.field(factory=set)

    async def listen(self) -> None:
        """Takes connections."""
        await asyncio.start_server(self._connected, self.host, self.port)

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.harm is Harm.RESET:
            writer.transport.abort()
            return
        try:
            there = await asyncio.open_connection(self.host, self.target_port)
        except OSError:
            writer.transport.abort()
            return
        both = {writer.transport, there[1].transport}
        self._transports |= both
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._pump(reader, there[1], _HELD_THERE),
                self._pump(there[0], writer, _HELD_BACK),
            )
        for transport in both:
            transport.close()
        self._transports -= both

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        held: set[Harm],
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.harm is Harm.SLOW:
                    await asyncio.sleep(self.delay_seconds)
                while self.harm in held:
                    await asyncio.sleep(POLL_SECONDS)
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            if writer.can_write_eof() and not writer.is_closing():
                writer.write_eof()

    def do(self, harm: Harm) -> None:
        """Begins a harm, or ends it."""
        self.harm = harm
        if harm is Harm.RESET:
            for transport in list(self._transports):
                transport.abort()


@attrs.define
class Relays:
    """Relays in a thread with a loop of its own."""

    relays: list[Relay]
    _loop: asyncio.AbstractEventLoop = attrs.field(
        factory=asyncio.new_event_loop
    )
    _thread: threading.Thread | None = None

    def start(self) -> None:
        """Listens on all ports."""
        for relay in self.relays:
            self._loop.run_until_complete(relay.listen())
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()

    def do(self, relay: Relay, harm: Harm) -> None:
        """Harms one relay's connections, or ends that."""
        self._loop.call_soon_threadsafe(relay.do, harm)

    def end(self) -> None:
        """Ends all connections and the loop."""
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
