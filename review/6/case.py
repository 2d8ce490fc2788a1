"""A disk is lost just after a controller was replaced as planned."""

import json
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import world  # noqa: E402

CATCH_UP_SECONDS = 4.0
RECOVERY_SECONDS = 12.0
CONNECTIVITY_SECONDS = 3.0
GRACE_SECONDS = 8.0
# From the end of the replaced controller to the loss of the disk.
PAUSE_SECONDS = 0.5
GET = "/figford/config/get"


def read_back(deployment, record, targets, seconds):
    """Returns the newest version that is read within some seconds."""
    found = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for ip in targets:
            answer = deployment.control_call(ip, "GET", GET, b"", 2.0)
            status = answer[0] if answer else None
            version = None
            if status == 200:
                version = json.loads(answer[1])["version"]
                found = max(found, version)
            record.line(f"read at {ip}: {status}, version {version}")
        time.sleep(0.3)
    return found


def case(deploy, record, trouble):
    """Returns what broke the rule CONFIG, or an empty text."""
    deployment = deploy()
    deployment.start_all()
    worker = world.Worker(
        deployment, record, "i-0", "wuno96b", deployment.first_port + 20
    )
    routes = [world.route("r-1", "/puxa403/", "idempotent", "wuno96b")]
    service = [world.service("wuno96b")]
    deployment.submit(world.manifest(3, routes, service))
    deployment.wait_ready()
    time.sleep(4.0)
    deployment.submit(world.manifest(7, routes, service))

    targets = list(world.CONTROLLERS)
    if trouble:
        # Planned: the new one first, then SIGTERM. The new one has had
        # catch_up_s by then, so the replaced one doesn't count as lost.
        deployment.start(world.SPARE_CONTROLLER, bootstrap=False)
        time.sleep(CATCH_UP_SECONDS + 1.0)
        read_back(deployment, record, [world.SPARE_CONTROLLER], 0.1)
        # The disk is that of the leader, which has added the new voter.
        wiped = deployment.leader()
        record.line(f"the leader is {wiped}")
        survivor, replaced = (
            ip for ip in world.CONTROLLERS if ip != wiped
        )
        deployment.signal(replaced, signal.SIGTERM)
        deployment.wait_for_end(replaced, GRACE_SECONDS)
        time.sleep(PAUSE_SECONDS)
        # One machine loses its disk.
        deployment.kill(wiped)
        deployment.lose_disk(wiped)
        time.sleep(1.0)
        deployment.start(wiped, bootstrap=False)
        targets = [survivor, wiped, world.SPARE_CONTROLLER]
        time.sleep(CATCH_UP_SECONDS + RECOVERY_SECONDS)
    found = read_back(
        deployment, record, targets, CONNECTIVITY_SECONDS + 1.0
    )
    worker.close()
    record.line(f"acknowledged: version 7; read back at the end: {found}")
    if found >= 7:
        return ""
    return (
        "version 7 was acknowledged and is not read back from three running"
        " controllers"
    )


world.main(case, HERE, "a disk is lost after a planned replacement")
