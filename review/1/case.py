"""Two machines of the core are replaced, one after the other."""

import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import deployment as deployments  # noqa: E402

# TROUBLE=0 leaves out the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CATCH_UP_SECONDS = 4.0
# After the last machine is back: far above recovery_s (12).
READ_BACK_SECONDS = 40.0


def table(version):
    """Returns a manifest; each version has another timeout."""
    route = deployments.plain_route("r1", "/stock/", "stock")
    return deployments.manifest(
        version,
        [route | {"timeout_ms": 1500 + version}],
        [deployments.plain_service("stock")],
    )


def case(deployment, record):
    """Returns what broke, or an empty string."""
    for number in (1, 2, 3):
        deployment.start("controller", number, (1, 2, 3), bootstrap=True)
    deployment.start("entry", 11, (1, 2, 3), bootstrap=True)
    if not deployment.submit_until_acknowledged(table(2), (1, 2, 3), 15):
        raise deployments.CannotRun("the first manifest is not acknowledged")
    time.sleep(4)
    live = (1, 2, 3)
    if HAS_TROUBLE:
        # Machine 3 is gone for good; machine 4, with an empty disk and another
        # address, takes its place a second later.
        deployment.kill("controller-3")
        time.sleep(1.0)
        deployment.start("controller", 4, (1, 2, 3), bootstrap=False)
        live = (1, 2, 4)
        time.sleep(CATCH_UP_SECONDS + 0.2)
    else:
        time.sleep(1.0 + CATCH_UP_SECONDS + 0.2)
    if not deployment.submit_until_acknowledged(table(3), live, 10):
        raise deployments.CannotRun("version 3 is not acknowledged")
    if HAS_TROUBLE:
        # Now this is the only loss: machine 1 is replaced in the same way.
        deployment.kill("controller-1")
        time.sleep(1.0)
        deployment.start("controller", 5, (1, 2, 4), bootstrap=False)
        live = (2, 4, 5)
    back_at = time.monotonic()
    time.sleep(12.0)
    acknowledged = deployment.submit_until_acknowledged(
        table(4), live, READ_BACK_SECONDS / 2
    )
    read = []
    while (
        time.monotonic() - back_at < 12.0 + READ_BACK_SECONDS
        and record.left() > 0
    ):
        read = [deployment.read(number) for number in live]
        if acknowledged and max(version or 0 for version in read) == 4:
            return ""
        time.sleep(1.0)
    return (
        f"version 3 was acknowledged; {READ_BACK_SECONDS + 12:.0f} s after all"
        f" machines were there the manifest reads {read}, and version 4 was"
        f" {'' if acknowledged else 'never '}acknowledged"
    )


if __name__ == "__main__":
    sys.exit(deployments.run_case(FOLDER, case, HAS_TROUBLE))
