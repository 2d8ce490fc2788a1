"""Reads the heartbeats of the platform's upstreams."""

import json
import typing

from figford import bounds
from figford import errors
from figford import fleetmessages

# The latest start of a process, in Unix milliseconds: the year 2109.
MAX_START_MS = 1 << 42
MAX_NAME_LENGTH = 1_000


def read(upstream: str, body: bytes) -> fleetmessages.Registration:
    """Returns the registration that a heartbeat carries.

    Raises MessageError if a field is missing or has the wrong type.
    """
    check_name(upstream)
    try:
        return _registration(upstream, json.loads(body))
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        raise errors.MessageError(
            f"heartbeat of {upstream[:80]!r} can't be read:"
            f" {type(error).__name__}: {error}"[:200]
        ) from error


def check_name(upstream: str) -> str:
    """Returns an upstream's name; raises MessageError if it can't be one."""
    if not 0 < len(upstream) <= MAX_NAME_LENGTH:
        raise errors.MessageError("the path names no upstream")
    return upstream


def _typed(item: typing.Any, name: str, kind: type) -> typing.Any:
    value = item[name]
    if isinstance(value, bool) or not isinstance(value, kind):
        raise ValueError(f"{name} is not {kind.__name__}")
    return value


def _registration(
    upstream: str, item: typing.Any
) -> fleetmessages.Registration:
    if not isinstance(item, dict):
        raise ValueError("body is not an object")
    state = item["state"]
    if state not in ("ready", "draining"):
        raise ValueError("unknown state")
    start_ms = item.get("born", 0)
    if isinstance(start_ms, int) and start_ms > MAX_START_MS:
        # All later heartbeats of the upstream would seem older.
        raise ValueError("born is out of range")
    models = item.get("models") or []
    staged = item.get("staged") or []
    return fleetmessages.Registration(
        upstream=upstream,
        # Start time of the upstream's process, in Unix milliseconds.
        incarnation=start_ms,
        sequence=_typed(item, "sequence", int),
        service=_typed(item, "service", str),
        address=bounds.check_address(_typed(item, "address", str)),
        data_centre=_typed(item, "zone", str),
        slots=_typed(item, "slots", int),
        leaving=state == "draining",
        domain=_typed(item, "domain", str) if item.get("domain") else "",
        models=[_typed(model, "name", str) for model in models],
        staged=[_model_name(model) for model in staged],
        seat=read_seat(item.get("group")),
    )


def _model_name(model: typing.Any) -> str:
    """Returns a model's name, given as a string or as an object's field."""
    if isinstance(model, str):
        model = {"name": model}
    return _typed(model, "name", str)


def read_seat(item: typing.Any) -> fleetmessages.FleetSeat | None:
    """Returns the seat in a report, if any; raises ValueError or KeyError."""
    if not item:
        return None
    return fleetmessages.FleetSeat(
        group=_typed(item, "name", str),
        epoch=_typed(item, "epoch", int),
        rank=_typed(item, "rank", int),
        state=fleetmessages.SeatState(item["state"]),
    )
