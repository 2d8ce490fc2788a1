"""One request for a model: streams its answer from a group to the caller.

After a broken attempt, another group resumes the answer at the position
reached. An attempt that is silent goes on beside its resumption; the one of
the two that sends the next piece is kept. The answer ends with its end marker
or with an explicit error.
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
    _next_position: int = 0
    _attempt: _Attempt | None = None
    # Asks another group for the rest while `_attempt` is silent.
    _resumption: _Attempt | None = None
    _response_started: bool = False
    _finished: bool = False
    _paused_at: datetime.timedelta | None = None
    # Of an answer that is not streamed.
    _pieces: list[bytes] = attrs.field(factory=list)

    # ---- From the dispatcher --------------------------------------------

    def start(self, view: groups.GroupView) -> None:
        """Sends the request, or the rest of it, to a group.

        An attempt in progress goes on.
        """
        now = self.gateway.clock.now()
        stream = answers.AnswerStream(
            self.request.request, self._next_position
        )
        attempt = _Attempt(self, stream, now)
        if self._attempt is None:
            self._attempt = attempt
            self.last_data_at = now
        else:
            self._resumption = attempt
        headers = {
            b"content-type": b"application/json",
            b"accept": EVENT_STREAM,
            b"figford-request": self.request.request.encode(),
            b"figford-group": view.group.encode(),
            b"figford-fence": str(view.fence).encode(),
            b"figford-priority": self.request.request_class.value.encode(),
            b"figford-resume-from": str(self._next_position).encode(),
        }
        attempt.exchange = self.gateway.client.stream(
            view.address, headers, self.body, attempt
        )

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
        self._stop_attempts()
        self.refuse(dispatch.stopped_refusal(was_sent))

    @property
    def is_queued(self) -> bool:
        """Returns whether the request waits for a group."""
        return self._attempt is None

    def interrupt(self, is_resumption: bool) -> None:
        """Stops the attempt at a broken group; another one goes on."""
        attempt = self._resumption if is_resumption else self._attempt
        if attempt is not None:
            self._attempt_over(attempt, sent=True, failed=False)

    # ---- From the upstream ----------------------------------------------

    def data_received(self, attempt: _Attempt, data: bytes) -> None:
        """Forwards or collects the pieces that are next in order."""
        if not self._is_current(attempt):
            return
        now = self.gateway.clock.now()
        try:
            pieces = attempt.stream.feed(data)
        except errors.FigfordError as error:
            self.gateway.metrics.event(type(error).__name__)
            self._attempt_over(attempt, sent=True, failed=True)
            return
        if not pieces:
            return
        self._drop_other(attempt)
        self._next_position = attempt.stream.next_position
        self._record_latency(len(pieces), now)
        if self.streaming:
            self._begin_stream()
            if len(pieces) == 1:
                self.responder.write(pieces[0] + _SEPARATOR)
            else:
                pieces.append(b"")
                self.responder.write(_SEPARATOR.join(pieces))
        elif not self._collect(pieces):
            return
        if attempt.stream.ended:
            self._complete()

    def _collect(self, pieces: list[bytes]) -> bool:
        """Buffers pieces; returns whether the answer was not given up."""
        self._pieces.extend(pieces)
        buffers = self.gateway.buffers
        buffers.add(self, sum(map(len, pieces)))
        if buffers.size_of(self) > self.gateway.limits.answer_bytes:
            buffers.refused += 1
            self.give_up()
        return not self._finished

    def give_up(self) -> None:
        """Refuses the request, as too many bytes of answers are buffered."""
        self._stop_attempts()
        self.refuse(
            errors.UpstreamFailed(
                "the upstream's answer is too large",
                run_state=errors.RunState.UNKNOWN,
            )
        )

    def attempt_ended(
        self, attempt: _Attempt, error: errors.FigfordError | None
    ) -> None:
        """Handles the end of an attempt before the end of the answer."""
        if self._finished or not self._is_current(attempt):
            return
        nothing_sent = isinstance(error, upstreams.NothingSentError)
        self._attempt_over(attempt, sent=not nothing_sent, failed=True)

    # ---- From the caller ------------------------------------------------

    def caller_left(self) -> None:
        """Cancels the request after its caller disconnected."""
        if self._finished:
            return
        self._stop_attempts()
        self._finish("caller-left")

    def pause(self) -> None:
        """Stops reading from the upstream while the caller is slow."""
        self._paused_at = self.gateway.clock.now()
        for attempt in self._attempts:
            attempt.pause()

    def resume(self) -> None:
        """Resumes reading from the upstream."""
        self._paused_at = None
        self.last_data_at = self.gateway.clock.now()
        for attempt in self._attempts:
            attempt.resume()

    # ---- Time -----------------------------------------------------------

    def check_timeouts(
        self, now: datetime.timedelta, read_until: datetime.timedelta
    ) -> None:
        """Resumes a silent answer; ends a call whose caller stopped reading.

        What arrived until `read_until` has been read, and what callers could
        take until then was sent; silence counts only up to then.
        """
        limits = self.gateway.limits
        if self._finished or self._attempt is None:
            return
        if self._paused_at is not None:
            if read_until - self._paused_at > limits.stalled_caller_timeout:
                self._stop_attempts()
                self._finish("slow-caller")
                self.gateway.abort_caller(self.responder)
            return
        if not self._next_position:
            if read_until - self.last_data_at > limits.first_token_timeout:
                self._attempt_over(self._attempt, sent=True, failed=True)
            return
        if read_until - self.last_data_at > limits.between_token_timeout:
            self._resume_elsewhere(read_until)

    def _resume_elsewhere(self, read_until: datetime.timedelta) -> None:
        """Asks another group for the rest of the answer, if one can take it.

        The attempt that is silent goes on.
        """
        resumption = self._resumption
        if resumption is not None:
            limit = self.gateway.limits.between_token_timeout
            if read_until - resumption.started_at <= limit:
                return
            self._attempt_over(resumption, sent=True, failed=True)
        self.gateway.resume(self.request.request)

    # ---- Parts ----------------------------------------------------------

    @property
    def _attempts(self) -> list[_Attempt]:
        both = (self._attempt, self._resumption)
        return [attempt for attempt in both if attempt is not None]

    def _is_current(self, attempt: _Attempt) -> bool:
        return attempt in self._attempts

    def _attempt_over(
        self, attempt: _Attempt, sent: bool, failed: bool
    ) -> None:
        """Stops an attempt; the other one goes on, or the call is retried."""
        attempt.cancel()
        self.sent = self.sent or sent
        request = self.request.request
        if attempt is self._resumption:
            self._resumption = None
            self.gateway.resumption_ended(request, failed)
            return
        self._attempt, self._resumption = self._resumption, None
        if self._attempt is None:
            self.gateway.retry(request, sent, failed)
            return
        self.last_data_at = self._attempt.started_at
        self.gateway.resumption_took_over(request, failed)

    def _drop_other(self, attempt: _Attempt) -> None:
        """Stops the other attempt once one has sent the next piece."""
        if self._resumption is None or self._attempt is None:
            return
        if attempt is self._resumption:
            self._attempt_over(self._attempt, sent=True, failed=True)
        else:
            self._attempt_over(self._resumption, sent=True, failed=False)

    def _stop_attempts(self) -> None:
        for attempt in self._attempts:
            attempt.cancel()
        self._attempt = self._resumption = None

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
        first = self._next_position == pieces
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
        self.gateway.buffers.remove(self)
        self.gateway.model_call_ended(
            self, outcome, max(0, self._next_position - 1)
        )


@attrs.define(eq=False)
class _Attempt:
    """One attempt of a call, and the order of the pieces that it sends."""

    call: ModelCall
    stream: answers.AnswerStream
    started_at: datetime.timedelta
    exchange: upstreams.StreamAttempt | None = None

    def cancel(self) -> None:
        """Cancels the request at the upstream."""
        if self.exchange is not None:
            self.exchange.cancel()

    def pause(self) -> None:
        """Stops reading its answer."""
        if self.exchange is not None:
            self.exchange.pause()

    def resume(self) -> None:
        """Reads its answer again."""
        if self.exchange is not None:
            self.exchange.resume()

    def stream_data(self, data: bytes) -> None:
        """Forwards received data."""
        self.call.data_received(self, data)

    def stream_ended(self, error: errors.FigfordError | None) -> None:
        """Forwards the end of the attempt."""
        self.call.attempt_ended(self, error)


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
