"""What the decisions of an entry ask its adapters to do."""

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

    Batches keep their order: no message leaves before the records of its
    own and of all earlier batches are on disk.
    """

    records: list[messages.Record]
    sends: list[SendPeer]
    last_index: int
    last_term: int


@attrs.frozen
class RewriteJournal:
    """Replace the journal by these records, in the order of batches."""

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
    """The outcome of a command that was proposed here.

    None says that the log was out of reach until the deadline.
    """

    proposal: str
    outcome: messages.Outcome | None


@attrs.frozen
class ConfigurationChanged:
    """Another version of the configuration is in force here."""

    version: int


@attrs.frozen
class StateChanged:
    """A change of state worth a log line."""

    event: str
    detail: tuple[tuple[str, object], ...] = ()


@attrs.frozen
class MessageDropped:
    """A message was dropped; it is counted, not logged."""

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
