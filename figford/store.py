"""The journal of one voter: checksummed records in a data folder.

Layout of a record: magic (2 bytes), body length (4), CRC-32 of the first
six bytes (4), CRC-32 of the body (4), body (CBOR). A torn tail is truncated;
a damaged record that is followed by a valid one is an error.
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
# Length from which a journal is rewritten after a snapshot.
REWRITE_SIZE_BYTES = 1 << 20


def _frame(record: messages.Record) -> bytes:
    body = codec.encode(record, messages.Record)
    prefix = _PREFIX.pack(_MAGIC, len(body))
    header = _HEADER.pack(
        _MAGIC, len(body), zlib.crc32(prefix), zlib.crc32(body)
    )
    return header + body


def _valid_body_at(data: bytes, offset: int) -> bytes | None:
    """Returns the body of the record at an offset; None if it is invalid."""
    head = data[offset : offset + _HEADER.size]
    if len(head) < _HEADER.size:
        return None
    magic, length, header_crc, body_crc = _HEADER.unpack(head)
    if magic != _MAGIC or zlib.crc32(head[: _PREFIX.size]) != header_crc:
        return None
    start = offset + _HEADER.size
    body = data[start : start + length]
    if len(body) < length or zlib.crc32(body) != body_crc:
        return None
    return body


def _has_valid_record_after(data: bytes, offset: int) -> bool:
    offset = data.find(_MAGIC, offset + 1)
    while offset >= 0:
        if _valid_body_at(data, offset) is not None:
            return True
        offset = data.find(_MAGIC, offset + 1)
    return False


def _sync_folder(folder: pathlib.Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


@attrs.define
class FileJournal:
    """A journal file, locked while the process has it open."""

    folder: pathlib.Path
    synced_bytes: int = 0
    _file: int = -1
    _lock: int = -1

    def open(self) -> None:
        """Locks the data folder and opens the journal.

        Raises DataFolderInUseError if another process has locked it.
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
                f"data folder is locked by another process: {self.folder}"
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
        """Returns all records; truncates a torn tail.

        Raises StoreDamagedError if a valid record follows a damaged one.
        """
        data = self.path.read_bytes()
        records = []
        offset = 0
        while offset < len(data):
            body = _valid_body_at(data, offset)
            if body is None:
                self._truncate_tail(data, offset)
                break
            records.append(codec.decode(body, messages.Record))
            offset += _HEADER.size + len(body)
        return records

    def _truncate_tail(self, data: bytes, offset: int) -> None:
        if _has_valid_record_after(data, offset):
            raise errors.StoreDamagedError(
                f"{self.path}: damaged record at byte {offset}; restore the"
                " data folder, or empty it so that this instance rejoins as"
                " a new voter"
            )
        _log.warning(
            "truncated torn journal tail: path={} offset={} lost_bytes={}",
            self.path,
            offset,
            len(data) - offset,
        )
        os.ftruncate(self._file, offset)
        os.fsync(self._file)

    def append(self, records: list[messages.Record]) -> None:
        """Writes records and syncs them to disk."""
        data = b"".join(_frame(record) for record in records)
        _write_all(self._file, data)
        os.fdatasync(self._file)
        self.synced_bytes += len(data)

    def size(self) -> int:
        """Returns the length of the journal in bytes."""
        return os.fstat(self._file).st_size

    def rewrite(self, records: list[messages.Record]) -> None:
        """Atomically replaces the journal by these records."""
        new_path = self.folder / (JOURNAL_NAME + ".new")
        descriptor = os.open(
            new_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600
        )
        data = b"".join(_frame(record) for record in records)
        _write_all(descriptor, data)
        os.fsync(descriptor)
        os.rename(new_path, self.path)
        _sync_folder(self.folder)
        os.close(self._file)
        self._file = descriptor
        self.synced_bytes += len(data)

    def close(self) -> None:
        """Closes the journal and unlocks the data folder."""
        os.close(self._file)
        os.close(self._lock)


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        written = os.write(descriptor, view)
        view = view[written:]
