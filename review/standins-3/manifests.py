"""Manifests of a small deployment, as PROTOCOL.md shows them."""

KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
POOL = "huvo11a"
PLAIN = "wuno96b"
MODEL = "daka510000"


def route(name: str, prefix: str, kind: str, service: str, **more) -> dict:
    """Returns a route."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 800,
        "target_latency_ms": 150,
        "priority": 2,
        "service": service,
        "max_attempts": 2 if kind == "idempotent" else 1,
        "public": False,
    } | more


def stream_route(name: str, prefix: str, resumable: bool, **more) -> dict:
    """Returns a route to the engines."""
    return route(
        name, prefix, "streaming", POOL, timeout_ms=8000,
        target_latency_ms=500, priority=1, sticky=True, gap_target_ms=300,
        max_attempts=2, resumable=resumable,
    ) | more


def plain_service() -> dict:
    """Returns the service of plain workers."""
    return {
        "name": PLAIN, "health_path": "/health", "max_conns": 48,
        "protocol": "h1", "tls": False,
    }


def pool_service(size: int) -> dict:
    """Returns the service of engines, with one model."""
    return {
        "name": POOL, "health_path": "/health", "max_conns": 374,
        "protocol": "h1", "tls": False,
        "engine": {
            "slots": 13, "kv_capacity": 700000, "kv_token_bytes": 70272,
            "link_mbps": 400000.0, "stride": 5,
            "models": [
                {"name": MODEL, "size": size, "share": 1.0, "pace": 1.0,
                 "load_s": 1.0, "warm_s": 0.5},
            ],
            "step_ms": 6.07, "per_seq_ms": 0.482, "context_per_k": 0.00976,
            "read_per_s": 46000.0, "pairs_per_m": 0.7, "chunk": 2048,
            "report_lag_ms": 200.0, "loads_per_s": 4.0, "loads_at_once": 6,
            "delays": [], "usual": {"prompt": 1076, "answer": 116},
            "retained_count": 1, "far_x": 2.5, "form_ms": 300.0,
        },
    }


def manifest(version: int, routes: list, services: list, **more) -> dict:
    """Returns a manifest with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    } | more
