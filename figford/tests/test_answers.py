"""Answer streams: any order and split of pieces gives the answer or fails."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from figford import answers


def piece(position, content="x", request="r1"):
    return f"id: {request}:{position}\ndata: {content}\n\n".encode()


def answer(length, request="r1"):
    parts = [piece(i, f"t{i}", request) for i in range(length)]
    return [*parts, piece(length, "[DONE]", request)]


def read(stream, data):
    return b"".join(item + b"\n\n" for item in stream.feed(data))


def test_whole_answer_passes_unchanged():
    stream = answers.AnswerStream("r1")
    whole = b"".join(answer(3))
    assert read(stream, whole) == whole
    assert stream.ended
    stream.check_ended()


def test_resumed_answer_continues_at_its_position():
    stream = answers.AnswerStream("r1")
    first = answer(4)
    found = read(stream, b"".join(first[:2]) + first[2][:5])
    stream.begin_attempt()
    assert stream.next_position == 2
    found += read(stream, b"".join(first[2:]))
    assert found == b"".join(first)


def test_missing_piece_is_a_gap():
    stream = answers.AnswerStream("r1")
    parts = answer(answers.HELD_PIECES_LIMIT + 5)
    del parts[1]
    with pytest.raises(answers.GapError):
        stream.feed(b"".join(parts))


def test_pieces_that_wait_for_an_earlier_one_are_bounded_in_size():
    """A faulty engine's large pieces filled the memory of the entry."""
    stream = answers.AnswerStream("r1")
    size = answers.PIECE_SIZE_LIMIT_BYTES // 4
    with pytest.raises(answers.GapError):
        for position in range(1, 8):
            stream.feed(piece(position, "x" * size))


def test_pieces_that_waited_leave_room_for_others():
    stream = answers.AnswerStream("r1")
    size = answers.PIECE_SIZE_LIMIT_BYTES // 4
    found = []
    for position in range(0, 40, 2):
        found += stream.feed(piece(position + 1, "x" * size))
        found += stream.feed(piece(position, "x" * size))
    assert len(found) == 40


def test_end_without_marker_is_a_gap():
    stream = answers.AnswerStream("r1")
    stream.feed(b"".join(answer(3)[:-1]))
    with pytest.raises(answers.GapError):
        stream.check_ended()


def test_error_event_is_an_error():
    stream = answers.AnswerStream("r1")
    with pytest.raises(answers.PieceError):
        stream.feed(b'event: error\ndata: {"status": 500}\n\n')


def test_oversized_piece_is_refused():
    stream = answers.AnswerStream("r1")
    with pytest.raises(answers.PieceError):
        stream.feed(b"x" * (answers.PIECE_SIZE_LIMIT_BYTES + 1))


@settings(max_examples=300, derandomize=True, deadline=None)
@given(data=strategies.data())
def test_crossed_repeated_and_reordered_pieces(data):
    length = data.draw(strategies.integers(0, 12))
    parts = answer(length)
    order = data.draw(strategies.permutations(range(len(parts))))
    repeats = data.draw(
        strategies.lists(strategies.sampled_from(range(len(parts))))
    )
    sent = [parts[i] for i in [*order, *repeats]]
    strays = answer(3, "other")
    for stray in strays:
        place = data.draw(strategies.integers(0, len(sent)))
        sent.insert(place, stray)
    raw = b"".join(sent)
    cuts = sorted(
        data.draw(strategies.lists(strategies.integers(0, len(raw))))
    )
    stream = answers.AnswerStream("r1")
    found = b""
    for start, stop in zip([0, *cuts], [*cuts, len(raw)]):
        found += read(stream, raw[start:stop])
    assert found == b"".join(parts)
    assert stream.ended


@settings(max_examples=300, derandomize=True)
@given(raw=strategies.binary(max_size=300))
def test_hostile_bytes_give_typed_errors_only(raw):
    stream = answers.AnswerStream("r1")
    try:
        stream.feed(b"id: r1:" + raw)
    except (answers.PieceError, answers.GapError):
        pass
    assert not stream.ended or b"[DONE]" in raw
