"""The limits that upstreams name in their answers."""

import typing

import attrs

from figford import fleetmessages


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

    def rate(self, upstream: str, incarnation: int) -> float | None:
        """Returns the limit of an upstream; None if it names none."""
        known = self.by_upstream.get(upstream)
        if known is None or known.incarnation != incarnation:
            return None
        return known.rate

    def apply(self, limit: fleetmessages.UpstreamLimit) -> bool:
        """Applies a limit or its end; returns whether that changes anything.

        The statement of an earlier incarnation is ignored.
        """
        known = self.by_upstream.get(limit.upstream)
        if known is not None and known.incarnation > limit.incarnation:
            return False
        if limit.rate is None:
            return self.by_upstream.pop(limit.upstream, None) is not None
        self.by_upstream[limit.upstream] = limit
        return known != limit

    def retain(self, incarnation_by_name: typing.Mapping[str, int]) -> None:
        """Removes the limits of all other upstreams and incarnations."""
        for name, limit in list(self.by_upstream.items()):
            if incarnation_by_name.get(name) != limit.incarnation:
                del self.by_upstream[name]
