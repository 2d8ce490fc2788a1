"""A manifest is read into a route table as a whole, or refused."""

import copy
import datetime
import json
import typing

import hypothesis
from hypothesis import strategies
import pytest

from figford import errors
from figford.platform import manifest
from figford import routes

MANIFEST: dict[str, typing.Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "h.example",
            "path_prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 8000,
            "target_latency_ms": 500,
            "priority": 1,
            "traffic_split": [
                {"service": "pool", "weight": 90},
                {"service": "app", "weight": 10},
            ],
            "max_attempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "gap_target_ms": 300,
        },
        {
            "name": "r2",
            "host": "h.example",
            "path_prefix": "/b/",
            "kind": "non_idempotent",
            "timeout_ms": 1500,
            "target_latency_ms": 200,
            "service": "app",
        },
    ],
    "services": [
        {
            "name": "pool",
            "health_path": "/health",
            "max_conns": 304,
            "engine": {
                "slots": 13,
                "models": [
                    {
                        "name": "m1",
                        "size": 4,
                        "share": 0.67,
                        "pace": 1.0,
                        "load_s": 16.0,
                        "warm_s": 1.6,
                    }
                ],
                "step_ms": 6.07,
                "per_seq_ms": 0.482,
                "read_per_s": 46000.0,
                "loads_per_s": 4.0,
                "loads_at_once": 6,
                "far_x": 2.5,
                "form_ms": 300.0,
            },
        },
        {"name": "app", "health_path": "/health", "max_conns": 100},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "t1", "api_keys": ["k1", "k2"], "priority": 1}],
}


def changed(path: list, value: object) -> bytes:
    document = copy.deepcopy(MANIFEST)
    item: typing.Any = document
    for step in path[:-1]:
        item = item[step]
    item[path[-1]] = value
    return json.dumps(document).encode()


def test_a_manifest_is_read_into_a_route_table() -> None:
    table = manifest.read(json.dumps(MANIFEST).encode())
    stream = table.match("h.example", "/a/x")
    assert stream.retry_mode is routes.RetryMode.STREAM and stream.repeatable
    assert stream.token_gap_target == datetime.timedelta(milliseconds=300)
    assert [share.weight for share in stream.shares] == [90, 10]
    once = table.match("h.example", "/b/")
    assert not once.repeatable and once.shares == (routes.Share("app", 1),)
    engine = table.service_by_name["pool"].engine
    assert engine.model("m1").load_time == datetime.timedelta(seconds=16)
    assert table.account("k2").name == "t1"
    assert table.limits.idle_timeout == datetime.timedelta(seconds=15)


def test_packing_preserves_a_manifest_byte_for_byte() -> None:
    document = json.dumps(MANIFEST).encode()
    assert manifest.unpack(manifest.pack(document)) == document


@pytest.mark.parametrize(
    "document",
    [
        b"",
        b"[]",
        json.dumps(MANIFEST).encode()[:-9],
        changed(["version"], "7"),
        changed(["version"], True),
        changed(["routes"], None),
        changed(["routes", 0, "timeout_ms"], 0),
        changed(["routes", 0, "kind"], "once"),
        changed(["routes", 0, "traffic_split", 0, "service"], "none"),
        changed(["routes", 0, "traffic_split", 0, "weight"], "9"),
        changed(["routes", 1, "path_prefix"], "/a/"),
        changed(["routes", 1, "service"], "none"),
        changed(
            ["routes", 0, "traffic_split"], [{"service": "app", "weight": 0}]
        ),
        changed(
            ["tenants"],
            [
                {"name": "t1", "api_keys": ["k"]},
                {"name": "t2", "api_keys": ["k"]},
            ],
        ),
        changed(["services", 0, "engine", "slots"], None),
    ],
)
def test_an_invalid_manifest_is_refused(document: bytes) -> None:
    with pytest.raises(errors.ConfigurationInvalid):
        manifest.read(document)


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=3),
    max_leaves=8,
)


@hypothesis.given(
    strategies.sampled_from(
        [
            ["routes"],
            ["services"],
            ["tenants"],
            ["limits"],
            ["routes", 0],
            ["routes", 0, "traffic_split"],
            ["routes", 0, "priority"],
            ["services", 0, "engine"],
            ["services", 0, "engine", "models"],
            ["services", 0, "engine", "models", 0, "load_s"],
            ["tenants", 0, "api_keys"],
            ["limits", "idle_timeout_ms"],
        ]
    ),
    JSON,
)
def test_any_value_anywhere_is_read_or_refused(
    path: list, value: object
) -> None:
    try:
        manifest.read(changed(path, value))
    except errors.ConfigurationInvalid:
        pass
