"""Decides whether a forwarded call may end before its answer is complete.

A call whose caller has received nothing may be refused for any cause. Once a
part of the answer was sent, the call can only be cut, and only the causes in
`RULE_BY_CAUSE` allow that.
"""

import enum

import attrs


class Cause(enum.Enum):
    """Why a call is to end without a complete answer."""

    DEADLINE = "deadline"
    PROCESS_ENDS = "process-ends"
    UPSTREAM_FAILED = "upstream-failed"
    CONVICTED = "convicted"
    REFUSED = "refused"
    UNEXPECTED_ERROR = "unexpected-error"


class Progress(enum.Enum):
    """What the caller has received, and whether more may come."""

    NOT_BEGUN = "not begun"
    # An upstream has sent so little that it may still end while it begins.
    BEGINNING = "beginning"
    # An upstream may still send the rest.
    GOES_ON = "goes on"
    # No upstream that sent a part of the answer goes on with it.
    BROKEN_OFF = "broken off"


@attrs.frozen
class Rule:
    """In which state of its answer a cause may end a call, and why."""

    reason: str
    cuts: frozenset[Progress] = frozenset()


_ALWAYS = frozenset(Progress)
_BROKEN_OFF = frozenset({Progress.BROKEN_OFF})
RULE_BY_CAUSE = {
    Cause.DEADLINE: Rule("its time, or that of its route, is up", _ALWAYS),
    Cause.PROCESS_ENDS: Rule("this process has no more time", _ALWAYS),
    Cause.UPSTREAM_FAILED: Rule("its upstream broke off", _BROKEN_OFF),
    Cause.CONVICTED: Rule(
        "it may crash its upstream, and all answers there with it",
        _BROKEN_OFF | {Progress.BEGINNING},
    ),
    Cause.UNEXPECTED_ERROR: Rule(
        "its upstream broke off, and it could not be resumed", _BROKEN_OFF
    ),
    Cause.REFUSED: Rule("limits and the queue only refuse what has not begun"),
}


def may_end(cause: Cause, progress: Progress) -> bool:
    """Returns whether a call may end for a cause.

    >>> may_end(Cause.CONVICTED, Progress.NOT_BEGUN)
    True
    >>> may_end(Cause.CONVICTED, Progress.GOES_ON)
    False
    """
    if progress is Progress.NOT_BEGUN:
        return True
    return progress in RULE_BY_CAUSE[cause].cuts
