"""Events of a stream are returned complete, once and in order."""

import pytest

from figford import eventstream


def event(number: int) -> bytes:
    return f"id: {number}\ndata: {'x' * number}\n\n".encode()


def test_an_immense_id_is_no_position() -> None:
    splitter = eventstream.EventSplitter()
    for number in (b"9" * 5000, b"8" * 5000):
        assert splitter.feed(b"id: " + number + b"\ndata: x\n\n")


def test_events_split_anywhere_come_out_whole() -> None:
    data = b"".join(event(number) for number in range(1, 30))
    for size in (1, 2, 3, 7, 50, 1000):
        splitter = eventstream.EventSplitter()
        found = []
        for start in range(0, len(data), size):
            found += splitter.feed(data[start : start + size])
        assert b"".join(found) == data
        assert len(found) == 29
        assert not splitter.pending


def test_events_that_were_passed_on_are_dropped_after_a_resumption() -> None:
    splitter = eventstream.EventSplitter()
    splitter.feed(event(1) + event(2) + b"id: 3\nda")
    resumed = eventstream.EventSplitter.after(splitter.last_id)
    assert resumed.awaits_next and not resumed.pending
    assert resumed.feed(event(2) + event(3)) == [event(3)]


def test_a_missing_event_is_an_error() -> None:
    splitter = eventstream.EventSplitter()
    splitter.feed(event(1))
    with pytest.raises(eventstream.EventOrderError):
        splitter.feed(event(3))


def test_an_event_that_never_ends_is_an_error() -> None:
    splitter = eventstream.EventSplitter()
    with pytest.raises(eventstream.EventOrderError):
        splitter.feed(b"x" * (eventstream.EVENT_LIMIT_BYTES + 1))


def test_an_id_of_other_digits_is_passed_on() -> None:
    """Such an id was taken for a number and raised an error."""
    splitter = eventstream.EventSplitter()
    strange = b"id: \xb2\n\n"
    assert splitter.feed(event(1) + strange) == [event(1), strange]
