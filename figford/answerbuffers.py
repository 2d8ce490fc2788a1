"""A limit of all answers together that are buffered until they end."""

import typing

import attrs

# Several times the limit of one answer.
LIMIT_BYTES = 32 << 20


class Buffer(typing.Protocol):
    """The part of one answer that was received."""

    def give_up(self) -> None:
        """Gives the answer up; it is removed from the buffers."""


@attrs.define
class AnswerBuffers:
    """The sizes of buffered answers, in bytes.

    If all together exceed the limit, the largest one is given up, so that an
    upstream that sends without end takes no room from the answers of others.
    """

    limit: int = LIMIT_BYTES
    size: int = 0
    refused: int = 0
    _size_by_buffer: dict[Buffer, int] = attrs.field(factory=dict)

    def add(self, buffer: Buffer, size: int) -> None:
        """Counts received bytes; gives up the largest answer if need be."""
        self._size_by_buffer[buffer] = self.size_of(buffer) + size
        self.size += size
        if self.size > self.limit:
            largest = max(self._size_by_buffer, key=self.size_of)
            self.refused += 1
            largest.give_up()

    def size_of(self, buffer: Buffer) -> int:
        """Returns the size of one answer."""
        return self._size_by_buffer.get(buffer, 0)

    def remove(self, buffer: Buffer) -> None:
        """Stops to count an answer that is complete or given up."""
        self.size -= self._size_by_buffer.pop(buffer, 0)
