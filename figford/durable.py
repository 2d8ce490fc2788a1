"""Syncs journal batches in a thread, in order.

Messages of a batch are sent only after its records, and those of all batches
before it, are on disk. Batches that are queued during a sync are synced
together (group commit).
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
    """Owns the journal and the single thread that writes to it."""

    reactor: typing.Any
    journal: store.FileJournal
    on_synced: typing.Callable[[effects.PersistRecords], None]
    on_failed: typing.Callable[[object], None]
    _pool: threadpool.ThreadPool = attrs.field(
        factory=lambda: threadpool.ThreadPool(1, 1, "journal")
    )
    _queued_batches: collections.deque[_Batch] = attrs.field(
        factory=collections.deque
    )
    _writing: bool = False

    def start(self) -> None:
        """Starts the writer thread."""
        self._pool.start()

    def stop(self) -> None:
        """Stops the writer thread after its work; closes the journal."""
        self._pool.stop()
        self.journal.close()

    def submit(self, batch: _Batch) -> None:
        """Queues a batch to be written and synced."""
        self._queued_batches.append(batch)
        if not self._writing:
            self._write_next()

    def _write_next(self) -> None:
        while self._queued_batches and self._has_no_records(
            self._queued_batches[0]
        ):
            self.on_synced(self._queued_batches.popleft())
        if not self._queued_batches:
            return
        batches = list(self._queued_batches)
        self._queued_batches.clear()
        self._writing = True
        written = threads.deferToThreadPool(
            self.reactor, self._pool, self._write, batches
        )
        written.addCallbacks(self._on_written, self.on_failed, (batches,))

    @staticmethod
    def _has_no_records(batch: _Batch) -> bool:
        return isinstance(batch, effects.PersistRecords) and not batch.records

    def _write(self, batches: list[_Batch]) -> None:
        """Writes batches in the thread; appends all records in one sync."""
        records = []
        for batch in batches:
            if isinstance(batch, effects.RewriteJournal):
                # A rewrite includes the records of all batches before it.
                records = []
                self.journal.rewrite(batch.records)
            else:
                records.extend(batch.records)
        if records:
            self.journal.append(records)

    def _on_written(self, _: None, batches: list[_Batch]) -> None:
        self._writing = False
        for batch in batches:
            if isinstance(batch, effects.PersistRecords):
                self.on_synced(batch)
        if not self._writing:
            self._write_next()
