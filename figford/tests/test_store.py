"""The journal: torn tails are truncated, earlier damage is an error."""

import datetime
import errno
import os

from hypothesis import given
from hypothesis import strategies
import pytest

from figford import errors
from figford import messages
from figford import store


def record(term):
    entry = messages.Entry(
        term, term, datetime.timedelta(seconds=term), messages.Noop()
    )
    return messages.Appended([entry])


def write(folder, records):
    journal = store.FileJournal(folder)
    journal.open()
    for item in records:
        journal.append([item])
    journal.close()


def read(folder):
    journal = store.FileJournal(folder)
    journal.open()
    try:
        return journal.load()
    finally:
        journal.close()


def test_records_survive(tmp_path):
    records = [messages.Identity("a.1"), record(1), record(2)]
    write(tmp_path, records)
    assert read(tmp_path) == records


class FullDisk:
    """Takes some more bytes and syncs, then refuses each of them."""

    def __init__(self, monkeypatch, calls, left_bytes):
        self.calls_left = calls
        self.left_bytes = left_bytes
        for name in ("write", "fsync", "fdatasync", "rename", "ftruncate"):
            monkeypatch.setattr(store.os, name, self.limited(name))

    def limited(self, name):
        function = getattr(os, name)

        def call(*arguments):
            if not self.calls_left:
                if name == "write" and self.left_bytes:
                    data = arguments[1][: self.left_bytes]
                    self.left_bytes = 0
                    return function(arguments[0], data)
                raise OSError(errno.ENOSPC, "No space left on device")
            self.calls_left -= 1
            return function(*arguments)

        return call


@pytest.mark.parametrize("left_bytes", [0, 1, 9, 30])
@pytest.mark.parametrize("calls", range(6))
@pytest.mark.parametrize("is_rewrite", [False, True])
def test_a_journal_goes_on_after_the_disk_was_full(
    tmp_path, monkeypatch, is_rewrite, calls, left_bytes
):
    """Each write in turn is refused or cut; the process then starts again."""
    before = [messages.Identity("a.1"), record(1)]
    write(tmp_path, before)
    after = [messages.Identity("a.1"), record(9)]
    if not is_rewrite:
        after = [*before, record(2)]
    journal = store.FileJournal(tmp_path)
    journal.open()
    with monkeypatch.context() as patch:
        FullDisk(patch, calls, left_bytes)
        try:
            if is_rewrite:
                journal.rewrite(after)
            else:
                journal.append([record(2)])
        except OSError:
            pass
    # As the process ends: nothing is written.
    journal.close()
    found = read(tmp_path)
    assert found in (before, after)
    write(tmp_path, [record(3)])
    assert read(tmp_path) == [*found, record(3)]


def test_second_process_is_refused(tmp_path):
    journal = store.FileJournal(tmp_path)
    journal.open()
    with pytest.raises(errors.DataFolderInUseError):
        store.FileJournal(tmp_path).open()
    journal.close()


@given(cut=strategies.integers(min_value=1, max_value=60))
def test_torn_tail_is_cut(tmp_path_factory, cut):
    folder = tmp_path_factory.mktemp("journal")
    records = [messages.Identity("a.1"), record(1)]
    write(folder, records)
    whole = (folder / store.JOURNAL_NAME).read_bytes()
    write(folder, [record(2)])
    torn = (folder / store.JOURNAL_NAME).read_bytes()
    cut = min(cut, len(torn) - len(whole))
    (folder / store.JOURNAL_NAME).write_bytes(torn[: len(torn) - cut])
    assert read(folder) == records
    write(folder, [record(3)])
    assert read(folder) == [*records, record(3)]


@given(data=strategies.data())
def test_damaged_middle_is_refused(tmp_path_factory, data):
    folder = tmp_path_factory.mktemp("journal")
    write(folder, [messages.Identity("a.1"), record(1)])
    damageable = (folder / store.JOURNAL_NAME).stat().st_size
    write(folder, [record(2)])
    path = folder / store.JOURNAL_NAME
    content = bytearray(path.read_bytes())
    position = data.draw(strategies.integers(0, damageable - 1))
    content[position] ^= data.draw(strategies.integers(1, 255))
    path.write_bytes(content)
    with pytest.raises(errors.StoreDamagedError):
        read(folder)


def test_rewrite_replaces_all(tmp_path):
    journal = store.FileJournal(tmp_path)
    journal.open()
    journal.append([record(1), record(2)])
    journal.rewrite([messages.Identity("a.1")])
    journal.append([record(3)])
    journal.close()
    assert read(tmp_path) == [messages.Identity("a.1"), record(3)]
