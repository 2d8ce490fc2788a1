"""An end-to-end demo: entries, engines, a service and an operator."""

import json
import pathlib
import subprocess
import sys
import tempfile

from figford import errors
from figford import operators
from figford.tools import deployment
from figford.tools import engine

KEY = "demo-key"
MODEL = "assistant"
TOKENS = 32

ENTRIES = [
    deployment.EntryPlan("entry-1", "medellin", disk=True),
    deployment.EntryPlan("entry-2", "medellin", disk=False),
    deployment.EntryPlan("entry-3", "envigado", disk=True),
]


def demo_configuration() -> operators.Configuration:
    """Returns the configuration that the demo submits."""
    return operators.Configuration(
        serving_groups=[
            operators.ServingGroup(
                name=MODEL,
                model="parque-70b",
                replicas={"medellin": 2, "envigado": 1},
                shape=operators.Replica(instances=2),
            )
        ],
        client_accounts=[
            operators.ClientAccount(
                name="kiosks", key_digest=operators.key_digest(KEY)
            )
        ],
        plain_services=[
            operators.PlainService(
                name="shelters",
                prefix="/shelters",
                paths=[
                    operators.ServicePath(
                        methods=["GET"],
                        repeatable=True,
                        request_class=operators.RequestClass.STATUS,
                    )
                ],
            )
        ],
        routing_rules=[
            operators.RoutingRule(
                name="all",
                accounts=["kiosks"],
                models=[MODEL],
                services=["shelters"],
            )
        ],
        data_centres=[
            operators.DataCentre(
                name="medellin", entries=["entry-1", "entry-2"]
            ),
            operators.DataCentre(name="envigado", entries=["entry-3"]),
        ],
    )


def run_figford(*arguments: str) -> str:
    """Runs a figford command; returns its standard output."""
    completed = subprocess.run(
        [sys.executable, "-m", "figford", *arguments],
        capture_output=True,
        text=True,
    )
    if completed.returncode:
        raise deployment.DeploymentError(
            f"figford {arguments[0]} exited with code {completed.returncode}:"
            f" {completed.stdout}{completed.stderr}"
        )
    return completed.stdout


def expect(subject: str, actual: object, expected: object) -> None:
    """Raises DeploymentError if a value differs from the expected one."""
    if actual != expected:
        raise deployment.DeploymentError(
            f"{subject}: expected {expected!r}, got {actual!r}"
        )


def run(running: deployment.Deployment) -> None:
    """Runs the demo's scenario on a deployment."""
    running.start_entries()
    running.start_engines("north", "medellin", "fabric-a", 2)
    running.start_engines("south", "medellin", "fabric-b", 2)
    running.start_engines("hill", "envigado", "fabric-c", 2)
    running.start_service("shelters-1", "medellin", "shelters")
    operators_address = running.operators_address("entry-2")
    running.wait(
        "the log has a leader",
        lambda: any(
            running.status(plan.name).get("leader") for plan in ENTRIES
        ),
    )
    configuration = running.folder / "configuration.yaml"
    configuration.write_text(demo_configuration().to_yaml())
    run_figford("check", "--configuration", str(configuration))
    print(run_figford("submit", str(configuration), "--to", operators_address))
    for plan in ENTRIES:
        running.wait_ready(plan.name)
    running.wait_groups("entry-2", 2)
    running.wait_groups("entry-3", 1)
    running.wait(
        "the service at entry-2",
        lambda: any(
            row["kind"] == "service"
            for row in running.status("entry-2").get("upstreams", [])
        ),
    )
    _check_requests(running)
    print(run_figford("status", "--to", operators_address))
    _stop(running)


def _check_requests(running: deployment.Deployment) -> None:
    prompt = "Which kiosk suits a Sunday with grills?"
    answer = running.chat("entry-2", KEY, MODEL, prompt, stream=True)
    expect("status of the model answer", answer.status, 200)
    expected = "".join(engine.token_text(prompt, i) for i in range(TOKENS))
    expect("answer", deployment.stream_text(answer.body), expected)
    print(f"answer: {expected[:60]}...")
    headers = {"authorization": f"Bearer {KEY}"}
    address = running.callers_address("entry-2")
    read = deployment.call(address, "GET", "/shelters/free", headers=headers)
    expect("status of the read", read.status, 200)
    print(f"read: {read.body.decode()}")
    headers["idempotency-key"] = "birthday-1"
    for _ in range(2):
        booked = deployment.call(
            address, "POST", "/shelters/book", {"shelter": 4}, headers
        )
        expect("status of the booking", booked.status, 200)
        expect("runs of the booking", json.loads(booked.body)["runs"], 1)
    print(f"booking: {booked.body.decode()}")


def _stop(running: deployment.Deployment) -> None:
    for name in list(running.process_by_name):
        expect(f"exit code of {name}", running.stop(name), 0)


def main() -> int:
    """Runs the demo; returns the exit code."""
    with tempfile.TemporaryDirectory(prefix="figford-demo-") as folder:
        running = deployment.Deployment(pathlib.Path(folder), ENTRIES)
        try:
            run(running)
        except (errors.FigfordError, OSError) as error:
            print(f"demo: failed: {error}", file=sys.stderr)
            for log in sorted(pathlib.Path(folder).glob("*.log")):
                print(f"--- {log.name}", file=sys.stderr)
                print(log.read_text()[-3000:], file=sys.stderr)
            return 1
        finally:
            running.kill_all()
    print("demo: ok")
    return 0


if __name__ == "__main__":
    sys.exit(main())
