"""Checks that requests begin in groups of a size that is in force.

A size is in force from when a manifest that names it is sent, until `FORMER`
after the acknowledgement of one that names another: a paused process or a
blocked connection passes on late what began under the former one.
"""

import datetime

import attrs

FORMER = datetime.timedelta(seconds=15)


@attrs.define
class SizeMeter:
    """The sizes that manifests name, and the groups in which requests begin.

    >>> meter, second = SizeMeter(), datetime.timedelta(seconds=1)
    >>> meter.name({"m": 2}); meter.acknowledge(0 * second)
    >>> meter.name({"m": 3})
    >>> [meter.allows("m", size, 60 * second) for size in (2, 3, 4)]
    [True, True, False]
    >>> meter.acknowledge(60 * second)
    >>> meter.record_request("a1", "m", 2, 74 * second)
    >>> meter.record_request("a2", "m", 2, 76 * second)
    'a2 began in a group of 2 members of m'
    """

    begun: list[tuple[str, str, int]] = attrs.field(factory=list)
    _newest: dict[str, int] = attrs.field(factory=dict)
    # When the sizes that were named were replaced; None if they were not.
    _replaced_at: dict[tuple[str, int], datetime.timedelta | None] = (
        attrs.field(factory=dict)
    )

    def name(self, sizes: dict[str, int]) -> None:
        """Records the sizes of a manifest that is about to be sent."""
        self._newest = sizes
        for item in sizes.items():
            self._replaced_at[item] = None

    def acknowledge(self, now: datetime.timedelta) -> None:
        """Records that the manifest with the newest sizes is acknowledged."""
        for item, replaced_at in self._replaced_at.items():
            if replaced_at is None and item not in self._newest.items():
                self._replaced_at[item] = now

    def allows(self, model: str, size: int, now: datetime.timedelta) -> bool:
        """Returns whether a size of a model may be in force."""
        if (model, size) not in self._replaced_at:
            return False
        replaced_at = self._replaced_at[model, size]
        return replaced_at is None or now - replaced_at < FORMER

    def record_request(
        self, attempt: str, model: str, size: int, now: datetime.timedelta
    ) -> str | None:
        """Records a request that begins; describes one that must not."""
        self.begun.append((attempt, model, size))
        if self.allows(model, size, now):
            return None
        return f"{attempt} began in a group of {size} members of {model}"
