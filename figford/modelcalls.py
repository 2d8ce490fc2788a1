"""One request for a model: streams its answer from a group to the caller.

After a broken attempt, another group resumes the answer at the position
reached. The answer ends with its end marker or with an explicit error.
"""

from __future__ import annotations

import datetime
import json
import typing

import attrs

from figford import answers
from figford import dispatch
from figford import errors
from figford import groups
from figford import problems
from figford import upstreams

if typing.TYPE_CHECKING:
    from figford import gateway as gateways

EVENT_STREAM = b"text/event-stream"
_SEPARATOR = answers.SEPARATOR


class Responder(typing.Protocol):
    """Sends the response to the caller of a request."""

    def begin(self, status: int, headers: dict[bytes, bytes]) -> None:
        """Sends status and headers."""

    def write(self, data: bytes) -> None:
        """Sends a part of the body."""

    def finish(self) -> None:
        """Completes the answer."""

    def refuse(self, refusal: errors.Refusal) -> None:
        """Sends a refusal as the whole answer."""


@attrs.define(eq=False)
class ModelCall:
    """The state of one model request at this entry."""

    gateway: gateways.Gateway
    request: dispatch.ModelRequest
    body: bytes
    streaming: bool
    responder: Responder
    started_at: datetime.timedelta
    sent: bool = False
    last_data_at: datetime.timedelta = datetime.timedelta(0)
    _stream: answers.AnswerStream = attrs.field(init=False)
    _attempt: upstreams.StreamAttempt | None = None
    _attempt_started_at: datetime.timedelta = datetime.timedelta(0)
    _response_started: bool = False
    _finished: bool = False
    _paused_at: datetime.timedelta | None = None
    _pieces: list[bytes] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Creates the stream that puts the answer's pieces in order."""
        self._stream = answers.AnswerStream(self.request.request)

    # ---- From the dispatcher --------------------------------------------

    def start(self, view: groups.GroupView) -> None:
        """Sends the request, or the rest of it, to a group."""
        self._stream.begin_attempt()
        self._attempt_started_at = self.gateway.clock.now()
        self.last_data_at = self._attempt_started_at
        headers = {
            b"content-type": b"application/json",
            b"accept": EVENT_STREAM,
            b"figford-request": self.request.request.encode(),
            b"figford-group": view.group.encode(),
            b"figford-fence": str(view.fence).encode(),
            b"figford-priority": self.request.request_class.value.encode(),
            b"figford-resume-from": str(self._stream.next_position).encode(),
        }
        receiver = _Receiver(self)
        self._attempt = self.gateway.client.stream(
            view.address, headers, self.body, receiver
        )
        receiver.attempt = self._attempt

    def refuse(self, refusal: errors.Refusal) -> None:
        """Ends the request with a refusal, or a begun stream with an error."""
        self._finish(refusal.kind)
        if not self._response_started:
            self.responder.refuse(refusal)
            return
        self.responder.write(problems.error_event(refusal))
        self.responder.finish()

    def end_unanswered(self) -> None:
        """Refuses the request, or ends its answer, as this process ends."""
        if self._finished:
            return
        was_sent = self.sent or self._attempt is not None
        self._stop_attempt()
        self.refuse(dispatch.stopped_refusal(was_sent))

    @property
    def is_queued(self) -> bool:
        """Returns whether the request waits for a group."""
        return self._attempt is None

    def interrupt(self) -> None:
        """Stops the attempt at a broken group and retries at another."""
        self._stop_attempt()
        self._retry(sent=True, failed=False)

    # ---- From the upstream ----------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Forwards or collects the pieces that are next in order."""
        now = self.gateway.clock.now()
        try:
            pieces = self._stream.feed(data)
        except errors.FigfordError as error:
            self._stop_attempt()
            self.gateway.metrics.event(type(error).__name__)
            self._retry(sent=True, failed=True)
            return
        if not pieces:
            return
        self._record_latency(len(pieces), now)
        if self.streaming:
            self._begin_stream()
            if len(pieces) == 1:
                self.responder.write(pieces[0] + _SEPARATOR)
            else:
                pieces.append(b"")
                self.responder.write(_SEPARATOR.join(pieces))
        else:
            self._pieces.extend(pieces)
        if self._stream.ended:
            self._complete()

    def attempt_ended(self, error: errors.FigfordError | None) -> None:
        """Handles the end of an attempt before the end of the answer."""
        self._attempt = None
        if self._finished or self._stream.ended:
            return
        nothing_sent = isinstance(error, upstreams.NothingSentError)
        self._retry(sent=not nothing_sent, failed=True)

    # ---- From the caller ------------------------------------------------

    def caller_left(self) -> None:
        """Cancels the request after its caller disconnected."""
        if self._finished:
            return
        self._stop_attempt()
        self._finish("caller-left")

    def pause(self) -> None:
        """Stops reading from the upstream while the caller is slow."""
        self._paused_at = self.gateway.clock.now()
        if self._attempt is not None:
            self._attempt.pause()

    def resume(self) -> None:
        """Resumes reading from the upstream."""
        self._paused_at = None
        self.last_data_at = self.gateway.clock.now()
        if self._attempt is not None:
            self._attempt.resume()

    # ---- Time -----------------------------------------------------------

    def check_timeouts(
        self, now: datetime.timedelta, read_until: datetime.timedelta
    ) -> None:
        """Ends a stalled attempt, or a call whose caller stopped reading.

        What arrived until `read_until` has been read, and what callers could
        take until then was sent; silence counts only up to then.

        An attempt that has sent a part of the answer ends only if the rest can
        be requested from another group.
        """
        limits = self.gateway.limits
        if self._finished or self._attempt is None:
            return
        if self._paused_at is not None:
            if read_until - self._paused_at > limits.stalled_caller_timeout:
                self._stop_attempt()
                self._finish("slow-caller")
                self.gateway.abort_caller(self.responder)
            return
        has_begun = self._stream.next_position > 0
        limit = limits.first_token_timeout
        if has_begun:
            limit = limits.between_token_timeout
        if read_until - self.last_data_at <= limit:
            return
        dispatcher = self.gateway.dispatcher
        if has_begun and not dispatcher.can_move(self.request.request, now):
            return
        self._stop_attempt()
        self._retry(sent=True, failed=True)

    # ---- Parts ----------------------------------------------------------

    def _retry(self, sent: bool, failed: bool) -> None:
        self.sent = self.sent or sent
        self.gateway.retry(self.request.request, sent, failed)

    def _stop_attempt(self) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.cancel()

    def _begin_stream(self) -> None:
        if self._response_started:
            return
        self._response_started = True
        self.responder.begin(
            200,
            {
                b"content-type": EVENT_STREAM,
                b"cache-control": b"no-store",
                b"figford-request": self.request.request.encode(),
            },
        )

    def _record_latency(self, pieces: int, now: datetime.timedelta) -> None:
        latency_buffers = self.gateway.latency_buffers(self.request)
        first = self._stream.next_position == pieces
        if first:
            seconds = (now - self.started_at).total_seconds()
            latency_buffers.first_token.add(seconds)
            self.gateway.dispatcher.first_token(self.request.request, now)
        else:
            seconds = (now - self.last_data_at).total_seconds()
            latency_buffers.between_tokens.add(seconds)
        if pieces > 1:
            latency_buffers.between_tokens.add(0.0, pieces - 1)
        self.last_data_at = now

    def _complete(self) -> None:
        self._finish("answered")
        if self.streaming:
            self.responder.finish()
            return
        try:
            body = assemble_answer(self.request.request, self._pieces)
        except errors.FigfordError:
            self.responder.refuse(
                errors.UpstreamFailed(
                    "the upstream's answer can't be read",
                    run_state=errors.RunState.UNKNOWN,
                )
            )
            return
        self.responder.begin(
            200,
            {
                b"content-type": b"application/json",
                b"content-length": str(len(body)).encode(),
                b"figford-request": self.request.request.encode(),
            },
        )
        self.responder.write(body)
        self.responder.finish()

    def _finish(self, outcome: str) -> None:
        if self._finished:
            raise AssertionError("a request ended twice")
        self._finished = True
        self.gateway.model_call_ended(
            self, outcome, max(0, self._stream.next_position - 1)
        )


@attrs.define(eq=False)
class _Receiver:
    """Forwards the events of one attempt to its call."""

    call: ModelCall
    attempt: upstreams.StreamAttempt | None = None

    def stream_data(self, data: bytes) -> None:
        """Forwards received data."""
        self.call.data_received(data)

    def stream_ended(self, error: errors.FigfordError | None) -> None:
        """Forwards the end of the attempt."""
        self.call.attempt_ended(error)


def assemble_answer(request: str, pieces: list[bytes]) -> bytes:
    """Returns the single JSON answer assembled from a stream's pieces.

    Raises PieceError if a piece is not a valid chunk.
    """
    content = []
    model = ""
    finish_reason = None
    try:
        for piece in pieces[:-1]:
            _, _, data = piece.partition(b"data: ")
            chunk = json.loads(data)
            model = chunk.get("model", model)
            choice = chunk["choices"][0]
            content.append(choice["delta"].get("content") or "")
            finish_reason = choice.get("finish_reason") or finish_reason
    except (ValueError, LookupError, AttributeError, TypeError) as error:
        raise answers.PieceError(
            "a piece of the answer is not a valid chunk"
        ) from error
    answer = {
        "id": request,
        "object": "chat.completion",
        "model": model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": "".join(content)},
                "finish_reason": finish_reason or "stop",
            }
        ],
        "usage": {"completion_tokens": len(content)},
    }
    return json.dumps(answer).encode()
