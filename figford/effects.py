"""Effects that an entry's state machine returns to its adapters."""

import datetime

import attrs

from figford import errors
from figford import messages


@attrs.frozen
class SendPeer:
    """Send a message to another entry, if a link to it is up."""

    instance: str
    message: messages.PeerMessage


@attrs.frozen
class PersistRecords:
    """Sync the records, then send the messages and report `synced`.

    Batches are processed in order: no message is sent before the records
    of its own and of all earlier batches are on disk.
    """

    records: list[messages.Record]
    sends: list[SendPeer]
    last_index: int
    last_term: int


@attrs.frozen
class RewriteJournal:
    """Replace the journal by these records, in the order of the batches."""

    records: list[messages.Record]


@attrs.frozen
class SendOrder:
    """Send an order to an upstream, unless `valid_until` has passed."""

    upstream: str
    address: str
    order: messages.Order
    valid_until: datetime.timedelta


@attrs.frozen
class Decided:
    """The outcome of a command that this entry proposed.

    None means that the log was unreachable until the deadline.
    """

    proposal: str
    outcome: messages.Outcome | None


@attrs.frozen
class ConfigurationChanged:
    """This entry put another version of the configuration in force."""

    version: int


@attrs.frozen
class StateChanged:
    """A change of state that is logged, and counted by event and kind."""

    event: str
    detail: tuple[tuple[str, object], ...] = ()
    kind: str = ""


@attrs.frozen
class MessageDropped:
    """A message was dropped; drops are counted, not logged."""

    error: errors.FigfordError


Effect = (
    SendPeer
    | PersistRecords
    | RewriteJournal
    | SendOrder
    | Decided
    | ConfigurationChanged
    | StateChanged
    | MessageDropped
)
