"""Output and exit status for invalid arguments and settings."""

import subprocess
import sys


def run(*arguments: str, **variables: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "figford.platform", *arguments],
        capture_output=True,
        text=True,
        env=variables,
    )


def test_an_invalid_role_prints_the_usage() -> None:
    completed = run("gateway")
    assert completed.returncode == 2 and "usage" in completed.stdout


def test_settings_that_are_missing_are_named() -> None:
    completed = run("entry")
    assert completed.returncode == 2
    assert "FIGFORD_NODE_FILE: is not set" in completed.stdout


def test_settings_that_can_not_be_read_are_named(tmp_path) -> None:
    file = tmp_path / "boot.json"
    file.write_text("{")
    completed = run("controller", FIGFORD_NODE_FILE=str(file))
    assert completed.returncode == 2 and str(file) in completed.stdout
