"""The settings file that the platform writes for a process."""

import datetime
import json
import os
import pathlib
import typing

from figford import bounds
from figford import errors
from figford import nodesettings
from figford import sharedbudget

PATH_VARIABLE = "FIGFORD_NODE_FILE"

# Offsets in the port range for links between machines, which both roles of a
# machine share.
_CONTROLLER_LINKS_OFFSET = 0
_ENTRY_LINKS_OFFSET = 1
# Fixed ports: deploy/system.toml names them and can't refer to a port of the
# range.
_ENTRY_METRICS_PORT = 9464
_CONTROLLER_METRICS_PORT = 9465


def path() -> pathlib.Path:
    """Returns the path of the settings file; raises SettingsError."""
    value = os.environ.get(PATH_VARIABLE)
    if not value:
        raise errors.SettingsError("is not set", PATH_VARIABLE)
    return pathlib.Path(value)


def read(file: pathlib.Path) -> nodesettings.NodeSettings:
    """Returns the settings of this process.

    Raises SettingsError if the file can't be read.
    """
    try:
        return _settings(json.loads(file.read_text()))
    except (
        OSError,
        ValueError,
        TypeError,
        KeyError,
        IndexError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise errors.SettingsError(
            f"can't be read: {type(error).__name__}: {error}", str(file)
        ) from error


def _settings(item: dict[str, typing.Any]) -> nodesettings.NodeSettings:
    ip = item["ip"]
    first_port = item["internal_port_range"][0]
    bounds.check_address(f"{ip}:{first_port}")
    listen = item.get("listen") or {}
    service_bounds = item.get("bounds") or {}
    seed_ips = [_host(seed) for seed in item.get("seeds") or []]
    is_controller = "control" in listen
    links_offset = (
        _CONTROLLER_LINKS_OFFSET if is_controller else _ENTRY_LINKS_OFFSET
    )
    metrics_port = (
        _CONTROLLER_METRICS_PORT if is_controller else _ENTRY_METRICS_PORT
    )
    controllers_port = first_port + _CONTROLLER_LINKS_OFFSET
    return nodesettings.NodeSettings(
        instance=ip,
        name=item["node_name"],
        data_centre=item["zone"],
        links_address=f"{ip}:{first_port + links_offset}",
        links_port=controllers_port,
        seeds=tuple(f"{seed}:{controllers_port}" for seed in seed_ips),
        # Set only at the first start of the whole deployment.
        founders=tuple(seed_ips) if item.get("bootstrap") is True else (),
        data_folder=item.get("data_dir") or None,
        callers_address=listen.get("front"),
        ready_address=listen.get("ready"),
        control_address=listen.get("control"),
        metrics_address=f"{ip}:{metrics_port}",
        stop_timeout=datetime.timedelta(
            seconds=service_bounds.get("grace_s", 8)
        ),
        catch_up=datetime.timedelta(
            seconds=service_bounds.get("catch_up_s", 4)
        ),
        fault_tolerance=max(
            1, int((item.get("fault_tolerance") or {}).get("machines", 1))
        ),
        checks_fencing=service_bounds.get("fencing") is True,
        budget=sharedbudget.BudgetSettings(
            ratio=service_bounds.get("retry_budget_ratio", 0.2),
            reserve=service_bounds.get("retry_budget_slack", 10),
            window=datetime.timedelta(
                seconds=service_bounds.get("budget_window_s", 10)
            ),
        ),
    )


def _host(address: str) -> str:
    return address.rpartition(":")[0]
