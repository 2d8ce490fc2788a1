"""Groups of the former size go on serving after the manifest changes it.

A model's groups have two members. The operator then sends a manifest in which
the model needs three. Streams are sent throughout.
"""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

import callers  # noqa: E402
import cluster  # noqa: E402
import manifests  # noqa: E402
import workers  # noqa: E402

ENGINES = 6
FORMER_SIZE, NEW_SIZE = 2, 3
EVENTS = 10
SECONDS_BEFORE = 5.0
# config_apply_ms is 2,000; streams take 1 s, and a group forms again in 1 s.
SECONDS_TO_CHANGE = 15.0
SECONDS_AFTER = 30.0
INTERVAL_SECONDS = 0.2


class Engine(workers.Engine):
    """An engine that notes the size of the group in which requests begin."""

    async def stream(self, request, writer, attempt: str) -> bool:
        """Notes the group, and serves the request."""
        size = len(self.seat["members"])
        self.floor.begun.append((time.monotonic(), attempt, size))
        self.floor.record(
            f"{self.name}: {attempt} begins in group {self.seat['group']} of"
            f" {size} members"
        )
        return await super().stream(request, writer, attempt)


def start_engines(system: cluster.Cluster, record) -> workers.Floor:
    """Starts engines in one domain, which have the weights on their hosts."""
    controls = [f"{ip}:{system.control_port}" for ip in system.controllers]
    floor = workers.Floor(record, controls)
    floor.begun = []
    port = cluster.free_port(["127.0.0.1"], ENGINES)
    for index in range(ENGINES):
        engine = Engine(
            floor, f"i-{index}", manifests.POOL, "127.0.0.1", port + index,
            "casa-a", 13, domain="d1", staged=[manifests.MODEL],
        )
        engine.events = EVENTS
        floor.add(engine)
    return floor


def open_heads(floor: workers.Floor) -> list[workers.Engine]:
    """Returns the heads that are open."""
    return [
        engine
        for engine in floor.worker_by_name.values()
        if engine.seat is not None and engine.seat["state"] == "open"
    ]


def stream(front: str, number: int, record, outcomes: list) -> None:
    """Sends a stream."""
    outcome = callers.ask(
        front, "/ask/x", f"stream-{number}", key=manifests.KEY,
        remaining_ms=8000,
        more={
            "Figford-Model": manifests.MODEL,
            "Figford-Token-Usage": "100,50",
        },
    )
    record(str(outcome))
    outcomes.append(outcome)


def main() -> int:
    """Plays the case; returns 1 if the rule was broken."""
    record = cluster.Record(HERE / "record.txt")
    system = cluster.Cluster(record, controllers=3, entries=1)
    try:
        system.start_all()
        floor = start_engines(system, record)
        route = manifests.stream_route("s", "/ask/", resumable=True)
        manifest = manifests.manifest(
            3, [route], [manifests.pool_service(FORMER_SIZE)]
        )
        if not system.submit(manifest, 20):
            return 2
        if not cluster.wait_until(lambda: len(open_heads(floor)) >= 2, 20):
            record("the case could not run: no two groups are open")
            return 2
        time.sleep(6)
        front = f"{system.entries[0]}:{system.front_port}"
        outcomes: list[callers.Outcome] = []
        threads = []
        started = time.monotonic()
        changed_at = None
        number = 0
        while time.monotonic() - started < SECONDS_BEFORE + SECONDS_AFTER:
            due = time.monotonic() - started > SECONDS_BEFORE
            if due and changed_at is None:
                wanted = NEW_SIZE if cluster.has_trouble() else FORMER_SIZE
                route["timeout_ms"] = 7000
                manifest = manifests.manifest(
                    5, [route], [manifests.pool_service(wanted)]
                )
                if not system.submit(manifest, 10):
                    return 2
                changed_at = time.monotonic()
                record(f"operator: groups have {wanted} members from now on")
            thread = threading.Thread(
                target=stream, args=(front, number, record, outcomes)
            )
            thread.start()
            threads.append(thread)
            number += 1
            time.sleep(INTERVAL_SECONDS)
        for thread in threads:
            thread.join()
        late = [
            size
            for at, _, size in floor.begun
            if at > changed_at + SECONDS_TO_CHANGE
        ]
        incomplete = [other for other in late if other != wanted]
        served = sum(o.status == 200 and o.complete for o in outcomes)
        for ip, status in system.ended().items():
            record(f"platform: {ip} ended by itself with status {status}")
        record(
            f"PARTIAL: {len(incomplete)} of {len(late)} requests that began"
            f" more than {SECONDS_TO_CHANGE} s after the ack ran in a group"
            f" that hasn't {wanted} members; {served} of {len(outcomes)} were"
            " served in all"
        )
        return 1 if incomplete else 0
    finally:
        system.close()


if __name__ == "__main__":
    cluster.run(main)
