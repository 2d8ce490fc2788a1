"""A host that the manifest spells with a capital letter gets 404 only.

The operator sends a manifest and then changes it: the timeout of its route,
and how the same host is spelled. Clients send the host as the newest manifest
spells it.
"""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

import callers  # noqa: E402
import cluster  # noqa: E402
import manifests  # noqa: E402
import workers  # noqa: E402

WORKERS = 3
REQUESTS = 200
INTERVAL_SECONDS = 0.05
# "More than ten [...] break the rule."
MOST_DENIED = 10


def main() -> int:
    """Plays the case; returns 1 if the rule was broken."""
    record = cluster.Record(HERE / "record.txt")
    system = cluster.Cluster(record, controllers=3, entries=1)
    try:
        system.start_all()
        controls = [f"{ip}:{system.control_port}" for ip in system.controllers]
        floor = workers.Floor(record, controls)
        port = cluster.free_port(["127.0.0.1"], WORKERS)
        for index in range(WORKERS):
            floor.add(
                workers.Worker(
                    floor, f"p-{index}", manifests.PLAIN, "127.0.0.1",
                    port + index, "casa-a", 6,
                )
            )
        route = manifests.route(
            "b", "/book/", "non_idempotent", manifests.PLAIN
        )
        services = [manifests.plain_service()]
        front = f"{system.entries[0]}:{system.front_port}"
        host = manifests.HOST
        denied = served = 0
        for version in (3, 5):
            if version == 5:
                route["timeout_ms"] = 900
                if cluster.has_trouble():
                    host = host.capitalize()
                route["host"] = host
            record(f"operator: version {version} spells the host {host}")
            manifest = manifests.manifest(version, [route], services)
            if not system.submit(manifest, 20):
                return 2
            # More than config_apply_ms and connectivity_window_ms.
            time.sleep(6)
            for number in range(REQUESTS):
                outcome = callers.ask(
                    front, "/book/x", f"b-{version}-{number}",
                    key=manifests.KEY, host=host,
                )
                record(str(outcome))
                denied += outcome.status == 404
                served += outcome.status == 200
                time.sleep(INTERVAL_SECONDS)
        for ip, status in system.ended().items():
            record(f"platform: {ip} ended by itself with status {status}")
        record(
            f"DENIED: of {2 * REQUESTS} requests, {served} were served and"
            f" {denied} ended with 404 (allowed: {MOST_DENIED})"
        )
        return 1 if denied > MOST_DENIED else 0
    finally:
        system.close()


if __name__ == "__main__":
    cluster.run(main)
