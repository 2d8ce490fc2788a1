"""What the command says to wrong words and wrong settings."""

import subprocess
import sys


def run(*words: str, **variables: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "figford.platform", *words],
        capture_output=True,
        text=True,
        env=variables,
    )


def test_a_wrong_word_is_told_how_to_call() -> None:
    found = run("gateway")
    assert found.returncode == 2 and "usage" in found.stdout


def test_settings_that_are_missing_are_named() -> None:
    found = run("entry")
    assert found.returncode == 2
    assert "FIGFORD_NODE_FILE: is not set" in found.stdout


def test_settings_that_can_not_be_read_are_named(tmp_path) -> None:
    file = tmp_path / "boot.json"
    file.write_text("{")
    found = run("controller", FIGFORD_NODE_FILE=str(file))
    assert found.returncode == 2 and str(file) in found.stdout
