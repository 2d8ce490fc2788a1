"""One attempt of a forwarded call at one upstream."""

from __future__ import annotations

import datetime
import typing

import attrs

from figford import crashes
from figford import eventstream
from figford import exchanges
from figford import placement
from figford import wire


class Owner(typing.Protocol):
    """The call of an attempt; receives its events while it is current."""

    def is_current(self, attempt: Attempt) -> bool:
        """Returns whether the call still waits for this attempt."""

    def answer_began(self, attempt: Attempt, head: wire.AnswerHead) -> None:
        """Handles status and headers of an answer."""

    def answer_data(self, attempt: Attempt, data: bytes) -> None:
        """Handles a part of the body."""

    def answer_too_large(self, attempt: Attempt) -> None:
        """Handles an answer that can't be buffered."""

    def answer_ended(self, attempt: Attempt) -> None:
        """Handles the end of the answer."""

    def answer_failed(
        self, attempt: Attempt, failure: exchanges.Failure
    ) -> None:
        """Handles an answer that can no longer be completed."""


@attrs.define(eq=False)
class Attempt:
    """One attempt at one target; forwards events while it is current."""

    call: Owner
    target: placement.Target
    started_at: datetime.timedelta
    # Of a stream; begins after the last event that the caller received.
    splitter: eventstream.EventSplitter
    active_at: datetime.timedelta = attrs.field(
        default=attrs.Factory(lambda self: self.started_at, takes_self=True)
    )
    exchange: exchanges.Exchange | None = None
    head: wire.AnswerHead | None = None
    body: bytearray = attrs.field(factory=bytearray)
    events: int = 0
    survived: bool = False
    # Whether its target counts as failing since the attempt stands still.
    doubted: bool = False

    def give_up(self) -> None:
        """Ends the attempt, as too many bytes of answers are buffered."""
        if self.call.is_current(self):
            self.call.answer_too_large(self)

    @property
    def has_begun(self) -> bool:
        """Returns whether the upstream has begun to write the answer."""
        return self.events >= crashes.BEGUN_EVENTS

    def answer_began(self, head: wire.AnswerHead) -> None:
        """Receives status and headers."""
        if self.call.is_current(self):
            self.call.answer_began(self, head)

    def answer_data(self, data: bytes) -> None:
        """Receives a part of the body."""
        if self.call.is_current(self):
            self.call.answer_data(self, data)

    def answer_ended(self) -> None:
        """Is called when the answer is complete."""
        if self.call.is_current(self):
            self.call.answer_ended(self)

    def answer_failed(self, failure: exchanges.Failure) -> None:
        """Is called when the answer can no longer be completed."""
        if self.call.is_current(self):
            self.call.answer_failed(self, failure)
