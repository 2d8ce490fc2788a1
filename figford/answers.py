"""Puts the pieces of a streamed answer in order and finds its end.

Each piece is one server-sent event whose `id` names the request and the
position: `id: REQUEST:POSITION`. Pieces of other requests and duplicates are
dropped, pieces that arrive early are buffered, and a gap that is not filled
is an error.
"""

import attrs

from figford import errors

SEPARATOR = b"\n\n"
END_OF_ANSWER = b"\ndata: [DONE]"
# Limit of pieces that are buffered while an earlier one is missing.
HELD_PIECES_LIMIT = 64
PIECE_SIZE_LIMIT_BYTES = 1 << 20
# Of all these together.
HELD_SIZE_LIMIT_BYTES = 1 << 20


class GapError(errors.FigfordError):
    """A piece of the answer never arrived."""


class PieceError(errors.FigfordError):
    """A piece is malformed or too long, or reports an error."""


@attrs.define
class AnswerStream:
    """The pieces of one answer, over one or more attempts."""

    request: str
    next_position: int = 0
    ended: bool = False
    dropped: int = 0
    _prefix: bytes = b""
    _incomplete: bytes = b""
    _held_pieces: dict[int, bytes] = attrs.field(factory=dict)
    _held_size: int = 0

    def __attrs_post_init__(self) -> None:
        """Prepares the prefix that every piece must have."""
        self._prefix = f"id: {self.request}:".encode()

    def begin_attempt(self) -> None:
        """Discards incomplete and buffered pieces of an earlier attempt."""
        self._incomplete = b""
        self._held_pieces.clear()
        self._held_size = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the pieces that are next in order, each in full.

        Raises PieceError or GapError; pieces returned earlier stay valid, and
        those before the error in the same data are to be requested again.
        """
        if self.ended:
            self.dropped += 1
            return []
        if self._incomplete:
            data = self._incomplete + data
        pieces = data.split(SEPARATOR)
        self._incomplete = pieces.pop()
        if len(self._incomplete) > PIECE_SIZE_LIMIT_BYTES:
            raise PieceError("a piece of the answer is too long")
        ready: list[bytes] = []
        try:
            for piece in pieces:
                self._accept_piece(piece, ready)
                if self.ended:
                    break
        except errors.FigfordError:
            self.next_position -= len(ready)
            raise
        return ready

    def _accept_piece(self, piece: bytes, ready: list[bytes]) -> None:
        if not piece.startswith(self._prefix):
            self._drop_or_raise(piece)
            return
        head, _, _ = piece[len(self._prefix) : 200].partition(b"\n")
        if not head.isdigit():
            raise PieceError("a piece of the answer has no position")
        position = int(head)
        if position != self.next_position:
            self._hold_or_drop(position, piece)
            return
        self._append(piece, ready)
        while self._held_pieces and not self.ended:
            held = self._held_pieces.pop(self.next_position, None)
            if held is None:
                break
            self._held_size -= len(held)
            self._append(held, ready)

    def _append(self, piece: bytes, ready: list[bytes]) -> None:
        self.next_position += 1
        self.ended = piece.endswith(END_OF_ANSWER)
        ready.append(piece)

    def _hold_or_drop(self, position: int, piece: bytes) -> None:
        if position < self.next_position or position in self._held_pieces:
            self.dropped += 1
            return
        held_size = self._held_size + len(piece)
        too_many = len(self._held_pieces) >= HELD_PIECES_LIMIT
        if too_many or held_size > HELD_SIZE_LIMIT_BYTES:
            raise GapError(
                f"piece {self.next_position} of the answer is missing"
            )
        self._held_pieces[position] = piece
        self._held_size = held_size

    def _drop_or_raise(self, piece: bytes) -> None:
        if piece.startswith(b"event: error"):
            raise PieceError("the upstream reported an error")
        # Drops keep-alive comments and pieces of other requests.
        self.dropped += 1

    def check_ended(self) -> None:
        """Raises GapError unless the whole answer was received."""
        if not self.ended:
            raise GapError(
                f"the answer ended before piece {self.next_position}"
            )
