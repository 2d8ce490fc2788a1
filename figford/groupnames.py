"""Names of groups, which tell the number of their members.

A member reports the name, the epoch and its own rank, but not how many others
there are. With the size in the name, every process that reads a single report
knows it: entries, and a planner that adopts the group.
"""

import re

# Prefix of the names of warm-up groups; no other group name starts with it.
WARM_UP_PREFIX = "warm-"
_SIZED = re.compile(r"g[0-9a-f]+-([1-9][0-9]{0,5})")


def group_name(epoch: int, size: int) -> str:
    """Returns the name of a group of `size` members.

    >>> group_name(17, 4)
    'g11-4'
    """
    return f"g{epoch:x}-{size}"


def group_size(group: str) -> int | None:
    """Returns the number of members that a name tells; None if it does not.

    Other writers and former versions use other names.

    >>> group_size("g11-4"), group_size("g11"), group_size("warm-11")
    (4, None, None)
    """
    found = _SIZED.fullmatch(group)
    return int(found[1]) if found else None


def warm_up_name(epoch: int) -> str:
    """Returns the name of a warm-up group.

    >>> warm_up_name(17)
    'warm-11'
    """
    return f"{WARM_UP_PREFIX}{epoch:x}"


def is_warm_up(group: str) -> bool:
    """Returns whether a group only warms up a spare and is never opened."""
    return group.startswith(WARM_UP_PREFIX)
