"""Reads the platform's manifest into a route table."""

import datetime
import json
import math
import typing
import zlib

from figford import errors
from figford import routes

_MILLISECOND = datetime.timedelta(milliseconds=1)
_SECOND = datetime.timedelta(seconds=1)
_RETRY_MODE_BY_KIND = {
    "streaming": routes.RetryMode.STREAM,
    "idempotent": routes.RetryMode.IDEMPOTENT,
    "non_idempotent": routes.RetryMode.ONCE,
}


def read(document: bytes, stored: bool = False) -> routes.RouteTable:
    """Returns the route table of a manifest.

    One that is `stored` was acknowledged, maybe by a former version that
    accepted more. Raises ConfigurationInvalid if any part of it can't be read.
    """
    try:
        manifest = json.loads(document, parse_constant=_refuse_constant)
        return _table(_mapping(manifest, "manifest"), stored)
    except (
        ValueError,
        TypeError,
        KeyError,
        OverflowError,
        RecursionError,
    ) as error:
        raise errors.ConfigurationInvalid(
            f"the manifest can't be read: {type(error).__name__}: {error}"
        ) from error


def pack(document: bytes) -> bytes:
    """Returns a manifest compressed, as it is stored and distributed."""
    return zlib.compress(document, 6)


def unpack(packed: bytes) -> bytes:
    """Returns the bytes of a manifest as they were submitted."""
    return zlib.decompress(packed)


def _refuse_constant(name: str) -> typing.NoReturn:
    raise ValueError(f"{name} is not a number in JSON")


def _mapping(value: object, field_name: str) -> dict[str, typing.Any]:
    if not isinstance(value, dict):
        raise ValueError(f"{field_name} is not an object")
    return value


def _items(value: object, field_name: str) -> list[dict[str, typing.Any]]:
    if not isinstance(value, list):
        raise ValueError(f"{field_name} is not a list")
    return [_mapping(item, field_name) for item in value]


def _text(item: dict[str, typing.Any], name: str) -> str:
    value = item[name]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} is not a non-empty string")
    return value


def _number(value: object, field_name: str) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{field_name} is not a number")
    if not math.isfinite(value):
        raise ValueError(f"{field_name} is too large")
    return value


def _integer(value: object, field_name: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{field_name} is not an integer")
    return value


def _ms(item: dict[str, typing.Any], name: str) -> datetime.timedelta:
    return _number(item[name], name) * _MILLISECOND


def _table(manifest: dict[str, typing.Any], stored: bool) -> routes.RouteTable:
    tenants = manifest.get("tenants")
    return routes.RouteTable(
        version=_integer(manifest["version"], "version"),
        routes=tuple(
            _route(item) for item in _items(manifest["routes"], "routes")
        ),
        services=tuple(
            _service(item) for item in _items(manifest["services"], "services")
        ),
        accounts=tuple(
            _account(item) for item in _items(tenants or [], "tenants")
        ),
        limits=_limits(_mapping(manifest.get("limits") or {}, "limits")),
        has_accounts=tenants is not None,
        stored=stored,
    )


def _route(item: dict[str, typing.Any]) -> routes.Route:
    if item.get("traffic_split"):
        shares = tuple(
            routes.Share(
                _text(part, "service"), _number(part["weight"], "weight")
            )
            for part in _items(item["traffic_split"], "traffic_split")
        )
    else:
        shares = (routes.Share(_text(item, "service"), 1),)
    token_gap_ms = item.get("gap_target_ms")
    return routes.Route(
        name=_text(item, "name"),
        host=_text(item, "host"),
        prefix=_text(item, "path_prefix"),
        retry_mode=_RETRY_MODE_BY_KIND[item["kind"]],
        timeout=_ms(item, "timeout_ms"),
        objective=_ms(item, "target_latency_ms"),
        shares=shares,
        priority=_integer(item.get("priority", 1), "priority"),
        attempts=max(1, _integer(item.get("max_attempts", 1), "max_attempts")),
        public=item.get("public") is True,
        resumable=item.get("resumable") is True,
        token_gap_target=(
            None
            if token_gap_ms is None
            else _number(token_gap_ms, "gap_target_ms") * _MILLISECOND
        ),
    )


def _service(item: dict[str, typing.Any]) -> routes.Service:
    engine = item.get("engine")
    return routes.Service(
        name=_text(item, "name"),
        connections=_integer(item.get("max_conns", 100), "max_conns"),
        engine=_engine(_mapping(engine, "engine")) if engine else None,
    )


def _engine(item: dict[str, typing.Any]) -> routes.Engine:
    return routes.Engine(
        slots=_integer(item["slots"], "slots"),
        models=tuple(
            _model(part) for part in _items(item.get("models", []), "models")
        ),
        step_ms=_number(item.get("step_ms", 0), "step_ms"),
        step_ms_per_sequence=_number(item.get("per_seq_ms", 0), "per_seq_ms"),
        prefill_tokens_per_second=_number(
            item.get("read_per_s", 0), "read_per_s"
        ),
        loads_per_second=_number(item.get("loads_per_s", 1), "loads_per_s"),
        loads_at_once=_integer(item.get("loads_at_once", 1), "loads_at_once"),
        form_time=_number(item.get("form_ms", 0), "form_ms") * _MILLISECOND,
        cross_domain_factor=_number(item.get("far_x", 1), "far_x"),
        steps_per_pass=_integer(item.get("stride", 1), "stride"),
        typical_prompt_tokens=_typical_prompt_tokens(item.get("usual")),
    )


def _typical_prompt_tokens(usual: typing.Any) -> float:
    if usual is None:
        return 0.0
    if not isinstance(usual, dict):
        raise ValueError("usual is not an object")
    return _number(usual.get("prompt", 0), "usual prompt")


def _model(item: dict[str, typing.Any]) -> routes.Model:
    return routes.Model(
        name=_text(item, "name"),
        size=_integer(item.get("size", 1), "size"),
        share=_number(item.get("share", 1), "share"),
        time_factor=_number(item.get("pace", 1), "pace"),
        load_time=_number(item.get("load_s", 0), "load_s") * _SECOND,
        warm_load_time=_number(item.get("warm_s", 0), "warm_s") * _SECOND,
    )


def _account(item: dict[str, typing.Any]) -> routes.Account:
    keys = item.get("api_keys", [])
    if not isinstance(keys, list) or not all(
        isinstance(key, str) for key in keys
    ):
        raise ValueError("api_keys is not a list of strings")
    priority = item.get("priority")
    return routes.Account(
        name=_text(item, "name"),
        keys=tuple(keys),
        priority=None if priority is None else _integer(priority, "priority"),
    )


def _limits(item: dict[str, typing.Any]) -> routes.CallerLimits:
    default = routes.CallerLimits()

    def integer(name: str, fallback: int) -> int:
        return _integer(item[name], name) if name in item else fallback

    def ms(name: str, fallback: datetime.timedelta) -> datetime.timedelta:
        return _ms(item, name) if name in item else fallback

    return routes.CallerLimits(
        header_bytes=integer("max_header_bytes", default.header_bytes),
        body_bytes=integer("max_body_bytes", default.body_bytes),
        header_timeout=ms("header_timeout_ms", default.header_timeout),
        idle_timeout=ms("idle_timeout_ms", default.idle_timeout),
    )
