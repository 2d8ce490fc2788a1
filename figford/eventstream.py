"""Splits a stream of server-sent events into complete events."""

import attrs

from figford import errors

# Events take a few hundred bytes; a longer one is taken for an event that
# never ends.
EVENT_LIMIT_BYTES = 1 << 18
_LONGEST_SEPARATOR_BYTES = 4
# Longer ids are no positions in a stream.
MAX_ID_DIGITS = 15


class EventOrderError(errors.FigfordError):
    """An upstream's event does not follow the one before it."""


@attrs.define
class EventSplitter:
    """Buffers incomplete events and checks the order of their ids.

    `last_id` is the id of the last event that was returned; after a
    resumption, events up to it are dropped, and the next one must have an id.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    [b'id: 1\\ndata: a\\n\\n']
    >>> splitter.last_id, splitter.pending
    ('1', True)
    """

    last_id: str | None = None
    # Complete events, also those that were dropped.
    completed: int = 0
    # Events with an id that were returned.
    identified: int = 0
    # Whether no event has followed yet since the stream was resumed.
    awaits_next: bool = False
    _buffer: bytearray = attrs.field(factory=bytearray)
    # Bytes of the buffer in which no event ends.
    _searched: int = 0

    @classmethod
    def after(cls, last_id: str | None) -> "EventSplitter":
        """Returns a splitter for what follows an event, or for all."""
        return cls(last_id=last_id, awaits_next=last_id is not None)

    @property
    def pending(self) -> bool:
        """Returns whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the complete events that follow the last one.

        Raises EventOrderError where an event is missing or too long.
        """
        self._buffer += data
        events = []
        while True:
            end = _end_of_event(self._buffer, self._searched)
            if end < 0:
                overlap = _LONGEST_SEPARATOR_BYTES - 1
                self._searched = max(0, len(self._buffer) - overlap)
                break
            event = bytes(self._buffer[:end])
            del self._buffer[:end]
            self._searched = 0
            self.completed += 1
            if self._is_next(event):
                events.append(event)
        if len(self._buffer) > EVENT_LIMIT_BYTES:
            raise EventOrderError("event exceeds the size limit")
        return events

    def _is_next(self, event: bytes) -> bool:
        event_id = _id_of(event)
        if event_id is None:
            if self.awaits_next and _has_data(event):
                raise EventOrderError("a resumed stream has an event of no id")
            return True
        if _is_number(event_id) and self.last_id and _is_number(self.last_id):
            step = int(event_id) - int(self.last_id)
            if step <= 0:
                return False
            if step != 1:
                raise EventOrderError(
                    f"event {event_id} follows event {self.last_id}"
                )
        self.last_id = event_id
        self.identified += 1
        self.awaits_next = False
        return True


def _is_number(event_id: str) -> bool:
    return (
        event_id.isascii()
        and event_id.isdigit()
        and len(event_id) <= MAX_ID_DIGITS
    )


def _end_of_event(buffer: bytearray, start: int) -> int:
    ends = [
        position + len(separator)
        for separator in (b"\n\n", b"\r\n\r\n")
        if (position := buffer.find(separator, start)) >= 0
    ]
    return min(ends, default=-1)


def _has_data(event: bytes) -> bool:
    """Returns whether an event is more than a comment."""
    return any(
        line and not line.startswith(b":") for line in event.splitlines()
    )


def _id_of(event: bytes) -> str | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None
