"""Counts requests that an upstream gets although it asked for none.

The bounds are the users': none later than `DRAIN` after an answer that said
that the upstream leaves, and no more than `ALLOWED` of one entry between
`TOLD_DELAY` after it was asked for a pause and the end of the pause.
"""

import datetime

import attrs

DRAIN = datetime.timedelta(seconds=2)
TOLD_DELAY = datetime.timedelta(milliseconds=500)
ALLOWED = 2


@attrs.define
class NoticeMeter:
    """What one upstream told one entry, and what came after.

    >>> meter, second = NoticeMeter(), datetime.timedelta(seconds=1)
    >>> meter.ask_for_pause(4 * second, 0 * second)
    >>> [meter.record_request(at * second) for at in (0.2, 1, 2)]
    [None, None, None]
    >>> meter.record_request(3 * second)
    '3 requests came in a pause'
    >>> meter.record_request(5 * second)
    """

    pause_seconds: float | None = None
    leaving: bool = False
    _told_leaving_at: datetime.timedelta | None = None
    # Begin, end and requests of each pause.
    _pauses: list[list] = attrs.field(factory=list)

    def ask_for_pause(
        self, pause: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Records an answer that asked for a pause."""
        self._pauses.append([now + TOLD_DELAY, now + pause, 0])

    def is_paused(self, now: datetime.timedelta) -> bool:
        """Returns whether a pause is going on."""
        return any(now < end for _, end, _ in self._pauses)

    def tell_leaving(self, now: datetime.timedelta) -> None:
        """Records an answer that said that the upstream leaves."""
        if self._told_leaving_at is None:
            self._told_leaving_at = now

    def record_request(self, now: datetime.timedelta) -> str | None:
        """Counts a request; returns a description if it is one too many."""
        told_at = self._told_leaving_at
        if told_at is not None and now - told_at > DRAIN:
            return "a request came to an upstream that said it leaves"
        for pause in self._pauses:
            if pause[0] < now < pause[1]:
                pause[2] += 1
                if pause[2] > ALLOWED:
                    return f"{pause[2]} requests came in a pause"
        return None
