"""Syncs journal batches in a thread and keeps their order.

Messages of a batch leave only after its records, and those of all batches
before it, are on disk. Batches that pile up during a sync are synced
together.
"""

import collections
import typing

import attrs
from twisted.internet import threads
from twisted.python import threadpool

from figford import effects
from figford import store

_Batch = effects.PersistRecords | effects.RewriteJournal


@attrs.define
class DurableWriter:
    """Owns the journal and the one thread that writes to it."""

    reactor: typing.Any
    journal: store.FileJournal
    on_synced: typing.Callable[[effects.PersistRecords], None]
    on_failed: typing.Callable[[object], None]
    _pool: threadpool.ThreadPool = attrs.field(
        factory=lambda: threadpool.ThreadPool(1, 1, "journal")
    )
    _waiting: collections.deque[_Batch] = attrs.field(
        factory=collections.deque
    )
    _busy: bool = False

    def start(self) -> None:
        """Starts the thread."""
        self._pool.start()

    def stop(self) -> None:
        """Stops the thread after its work and closes the journal."""
        self._pool.stop()
        self.journal.close()

    def submit(self, batch: _Batch) -> None:
        """Queues a batch."""
        self._waiting.append(batch)
        if not self._busy:
            self._write_next()

    def _write_next(self) -> None:
        while self._waiting and self._needs_no_disk(self._waiting[0]):
            self.on_synced(self._waiting.popleft())
        if not self._waiting:
            return
        batches = list(self._waiting)
        self._waiting.clear()
        self._busy = True
        written = threads.deferToThreadPool(
            self.reactor, self._pool, self._write, batches
        )
        written.addCallbacks(self._written, self.on_failed, (batches,))

    @staticmethod
    def _needs_no_disk(batch: _Batch) -> bool:
        return isinstance(batch, effects.PersistRecords) and not batch.records

    def _write(self, batches: list[_Batch]) -> None:
        """Writes in the thread; records up to a rewrite are one sync."""
        records = []
        for batch in batches:
            if isinstance(batch, effects.RewriteJournal):
                # It holds all that the batches before it hold.
                records = []
                self.journal.rewrite(batch.records)
            else:
                records.extend(batch.records)
        if records:
            self.journal.append(records)

    def _written(self, _: None, batches: list[_Batch]) -> None:
        self._busy = False
        for batch in batches:
            if isinstance(batch, effects.PersistRecords):
                self.on_synced(batch)
        if not self._busy:
            self._write_next()
