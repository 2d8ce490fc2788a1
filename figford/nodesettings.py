"""Settings of a controller or an entry that discovers peers from seeds."""

import datetime

import attrs

from figford import sharedbudget


@attrs.frozen
class NodeSettings:
    """The settings that one process reads at its start.

    `instance` is the IP address, which identifies the process to its peers.
    `seeds` are addresses where controllers listened for links when the
    settings were written. `founders` are the instances of the first voters
    of the deployment; empty except at the deployment's first start. A
    controller that is gone counts as lost until its successor has run for
    `catch_up`; so many controllers as `fault_tolerance` may be lost at once.
    """

    instance: str
    name: str
    data_centre: str
    links_address: str
    seeds: tuple[str, ...]
    links_port: int
    founders: tuple[str, ...] = ()
    data_folder: str | None = None
    callers_address: str | None = None
    ready_address: str | None = None
    control_address: str | None = None
    metrics_address: str | None = None
    stop_timeout: datetime.timedelta = datetime.timedelta(seconds=8)
    catch_up: datetime.timedelta = datetime.timedelta(seconds=4)
    fault_tolerance: int = 1
    checks_fencing: bool = True
    budget: sharedbudget.BudgetSettings = sharedbudget.BudgetSettings(
        0.2, 10.0, datetime.timedelta(seconds=10)
    )
