"""A model's share of the work is set to 0 by a new manifest."""

import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import deployment as deployments  # noqa: E402
import streams  # noqa: E402

# TROUBLE=0 leaves out the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENGINES = 12
WATCH_SECONDS = 95.0
RESTART_DELAY_SECONDS = 0.5


def table(version, large_share):
    """Returns a manifest whose two models have these shares of the work."""
    document = streams.manifest(version)
    models = document["services"][0]["engine"]["models"]
    models[0]["share"], models[1]["share"] = large_share, 1.0 - large_share
    return document


def case(deployment, record):
    """Returns what broke, or an empty string."""
    for number in (1, 2, 3):
        deployment.start("controller", number, (1, 2, 3), bootstrap=True)
    deployment.start("entry", 11, (1, 2, 3), bootstrap=True)
    streams.start_upstreams(deployment, (1, 2, 3), 6, 0.02, engines=ENGINES)
    if not deployment.submit_until_acknowledged(table(2, 0.5), (1, 2, 3), 15):
        raise deployments.CannotRun("the first manifest is not acknowledged")
    for model in ("large", "small"):
        streams.wait_until_served(deployment, 11, "/ask/x", model)
    time.sleep(4.0)
    share = 1.0 if HAS_TROUBLE else 0.75
    record.write(f"the share of the model small becomes {1.0 - share}")
    if not deployment.submit_until_acknowledged(table(3, share), (1, 2, 3), 5):
        raise deployments.CannotRun("version 3 is not acknowledged")
    begun_at = time.monotonic()
    ends = []
    while (
        time.monotonic() - begun_at < WATCH_SECONDS
        and record.left() > 0
        and len(ends) < 3
    ):
        time.sleep(0.2)
        for name, status in deployment.ended():
            ends.append(name)
            record.write(
                f"{name} ended by itself with status {status},"
                f" {time.monotonic() - begun_at:.1f} s after the manifest:"
                f" {deployment.last_error(name)}"
            )
            time.sleep(RESTART_DELAY_SECONDS)
            number = int(name.rpartition("-")[2])
            role = name.rpartition("-")[0]
            deployment.start(role, number, (1, 2, 3), bootstrap=False)
    # Three ends, on half of the core, with no impairment.
    if len(ends) < 3 or len(set(ends)) < 2:
        return ""
    return f"{len(ends)} ends of {', '.join(ends)}"


if __name__ == "__main__":
    sys.exit(deployments.run_case(FOLDER, case, HAS_TROUBLE))
