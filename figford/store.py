"""The journal of one voter: checksummed records in a data folder.

Layout of a record: magic (2 bytes), body length (4), CRC-32 of the first
six bytes (4), CRC-32 of the body (4), body (CBOR). A torn tail is cut; a
damaged record that is followed by a good one is refused.
"""

import fcntl
import os
import pathlib
import struct
import zlib

import attrs
import logbook

from figford import codec
from figford import errors
from figford import messages

_log = logbook.Logger(__name__)

JOURNAL_NAME = "journal"
LOCK_NAME = "lock"
_MAGIC = b"\xf1\x0d"
_PREFIX = struct.Struct(">2sI")
_HEADER = struct.Struct(">2sIII")
# A journal this long is rewritten after a snapshot, in bytes.
REWRITE_SIZE_BYTES = 1 << 20


def _frame(record: messages.Record) -> bytes:
    body = codec.encode(record, messages.Record)
    prefix = _PREFIX.pack(_MAGIC, len(body))
    header = _HEADER.pack(
        _MAGIC, len(body), zlib.crc32(prefix), zlib.crc32(body)
    )
    return header + body


def _body_at(data: bytes, offset: int) -> bytes | None:
    """Returns the body of the good record at an offset, else None."""
    head = data[offset : offset + _HEADER.size]
    if len(head) < _HEADER.size:
        return None
    magic, length, head_sum, body_sum = _HEADER.unpack(head)
    if magic != _MAGIC or zlib.crc32(head[: _PREFIX.size]) != head_sum:
        return None
    start = offset + _HEADER.size
    body = data[start : start + length]
    if len(body) < length or zlib.crc32(body) != body_sum:
        return None
    return body


def _has_record_after(data: bytes, offset: int) -> bool:
    offset = data.find(_MAGIC, offset + 1)
    while offset >= 0:
        if _body_at(data, offset) is not None:
            return True
        offset = data.find(_MAGIC, offset + 1)
    return False


def _sync_folder(folder: pathlib.Path) -> None:
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


@attrs.define
class FileJournal:
    """A journal file, locked for as long as the process holds it."""

    folder: pathlib.Path
    synced_bytes: int = 0
    _file: int = -1
    _lock: int = -1

    def open(self) -> None:
        """Locks the data folder and opens the journal.

        Raises DataFolderInUseError where another process holds it.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(
            self.folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600
        )
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            raise errors.DataFolderInUseError(
                f"another process uses {self.folder}"
            ) from error
        self._file = os.open(
            self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600
        )
        _sync_folder(self.folder)

    @property
    def path(self) -> pathlib.Path:
        """Returns the path of the journal file."""
        return self.folder / JOURNAL_NAME

    def load(self) -> list[messages.Record]:
        """Returns all records and cuts a torn tail.

        Raises StoreDamagedError where a record before the end is damaged.
        """
        data = self.path.read_bytes()
        records = []
        offset = 0
        while offset < len(data):
            body = _body_at(data, offset)
            if body is None:
                self._cut_tail(data, offset)
                break
            records.append(codec.decode(body, messages.Record))
            offset += _HEADER.size + len(body)
        return records

    def _cut_tail(self, data: bytes, offset: int) -> None:
        if _has_record_after(data, offset):
            raise errors.StoreDamagedError(
                f"{self.path}: damaged record at byte {offset}; restore the"
                " folder or empty it so that the disk is voted in again"
            )
        _log.warning(
            "torn journal tail cut: path={} offset={} lost_bytes={}",
            self.path,
            offset,
            len(data) - offset,
        )
        os.ftruncate(self._file, offset)
        os.fsync(self._file)

    def append(self, records: list[messages.Record]) -> None:
        """Writes records and returns after they are synced."""
        data = b"".join(_frame(record) for record in records)
        _write_all(self._file, data)
        os.fdatasync(self._file)
        self.synced_bytes += len(data)

    def size(self) -> int:
        """Returns the length of the journal in bytes."""
        return os.fstat(self._file).st_size

    def rewrite(self, records: list[messages.Record]) -> None:
        """Replaces the journal by these records in one atomic step."""
        fresh = self.folder / (JOURNAL_NAME + ".new")
        handle = os.open(
            fresh, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600
        )
        data = b"".join(_frame(record) for record in records)
        _write_all(handle, data)
        os.fsync(handle)
        os.rename(fresh, self.path)
        _sync_folder(self.folder)
        os.close(self._file)
        self._file = handle
        self.synced_bytes += len(data)

    def close(self) -> None:
        """Closes the journal and frees the data folder."""
        os.close(self._file)
        os.close(self._lock)


def _write_all(handle: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        written = os.write(handle, view)
        view = view[written:]
