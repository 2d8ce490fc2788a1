"""The limits that upstreams name in their answers.

A limit holds for the requests of all entries together. Each request needs a
permit: the keeper, which is the leader of the log, grants them at the rate of
the limit (`limitkeeper`), and entries spend them (`permits`).
"""

import datetime

import attrs

from figford import fleet as fleets
from figford import fleetmessages

# An upstream that takes no requests at all is still sent one in this time,
# since only an answer can show that its limit has ended.
PROBE_INTERVAL = datetime.timedelta(seconds=30)
# A request for permits counts this long at the keeper after it arrived.
REQUEST_VALIDITY = datetime.timedelta(milliseconds=600)
# Permits expire this long after the entry sent the request for them.
PERMIT_VALIDITY = datetime.timedelta(seconds=1)
# The keeper counts an entry that it has not heard for this long as isolated,
# and keeps the entry's slots free.
CONTACT_TIMEOUT = datetime.timedelta(seconds=1)
# An entry that has not heard the keeper for this long uses its slots. Longer
# than CONTACT_TIMEOUT and the silence after which a link is dropped together.
ISOLATION_TIMEOUT = datetime.timedelta(seconds=3)
# The slots of an isolated entry end after this time, so that those of an
# entry that was lost do not stay free for longer.
ISOLATED_SERVICE = datetime.timedelta(minutes=5)

# A service and a model; None where the service has no models.
Key = tuple[str, str | None]


@attrs.define
class LimitTable:
    """The limits in force, by upstream.

    >>> table = LimitTable()
    >>> table.apply(fleetmessages.UpstreamLimit("u", 1, 2.5))
    True
    >>> table.rate("u", 1), table.rate("u", 2)
    (2.5, None)
    >>> table.apply(fleetmessages.UpstreamLimit("u", 1, None))
    True
    >>> table.rate("u", 1) is None
    True
    """

    by_upstream: dict[str, fleetmessages.UpstreamLimit] = attrs.field(
        factory=dict
    )
    # Increases with every change.
    revision: int = 0

    def rate(self, upstream: str, incarnation: int) -> float | None:
        """Returns the limit of an upstream; None if it names none."""
        known = self.by_upstream.get(upstream)
        if known is None or known.incarnation != incarnation:
            return None
        return known.rate

    def all(self) -> list[fleetmessages.UpstreamLimit]:
        """Returns all limits in force."""
        return list(self.by_upstream.values())

    def apply(self, limit: fleetmessages.UpstreamLimit) -> bool:
        """Applies a limit or its end; returns whether that changes anything.

        The statement of an earlier incarnation is ignored.
        """
        known = self.by_upstream.get(limit.upstream)
        if known is not None and known.incarnation > limit.incarnation:
            return False
        if known == limit or (known is None and limit.rate is None):
            return False
        if limit.rate is None:
            del self.by_upstream[limit.upstream]
        else:
            self.by_upstream[limit.upstream] = limit
        self.revision += 1
        return True

    def discard_ended(self, fleet: fleets.FleetTable) -> None:
        """Removes the limits of incarnations that are known to have ended."""
        for name, limit in list(self.by_upstream.items()):
            known = fleet.by_name.get(name)
            if known is not None and (
                known.registration.gone
                or known.registration.incarnation > limit.incarnation
            ):
                del self.by_upstream[name]
                self.revision += 1


def requests_per_second(rate: float) -> float:
    """Returns the rate at which a limit is granted; never zero."""
    return max(rate, 1 / PROBE_INTERVAL.total_seconds())
