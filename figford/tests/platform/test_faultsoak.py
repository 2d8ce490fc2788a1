"""A short run of the fault soak, and that its checks find what is wrong."""

import pytest

from figford.tests.platform import faultsoak
from figford.tests.platform import standin
from figford.tests.platform import test_processes
from figford.tests.platform import unsafe

SECONDS = 8.0
# Far longer than a run takes to find what is wrong; it ends at the finding.
LONGEST_SECONDS = 120.0


def test_promises_hold_under_faults(tmp_path) -> None:
    ledger = faultsoak.soak(1, SECONDS, tmp_path)
    assert ledger.acknowledged > 3
    assert ledger.outcomes["stream 200"] and ledger.outcomes["call 200"]


@pytest.mark.parametrize("mechanism", ["run-once", "stored-first"])
def test_a_mechanism_switched_off_is_found(
    mechanism, tmp_path, monkeypatch
) -> None:
    monkeypatch.setenv(unsafe.MECHANISM_VARIABLE, mechanism)
    with pytest.raises(faultsoak.PromiseBroken):
        faultsoak.soak(1, LONGEST_SECONDS, tmp_path, unsafe.__name__)


@pytest.fixture(name="soak")
def fixture_soak(tmp_path, monkeypatch):
    running = test_processes.Running(tmp_path)
    monkeypatch.setattr(
        test_processes.Running, "runs", lambda self: {"a1": 1, "a2": 2}
    )
    held = {"version": 7}
    monkeypatch.setattr(test_processes.Running, "read", lambda self, ip: held)
    return faultsoak.Soak(1, running)


def test_a_call_that_ran_twice_is_found(soak) -> None:
    soak.check_end()
    assert soak.ledger.broken == ["a2 ran 2 times"]


def test_a_refused_call_that_ran_is_found(soak) -> None:
    soak.ledger.refused.append("a1")
    soak.check_end()
    assert "a1 was called not run, and ran" in soak.ledger.broken


def test_an_answered_call_that_never_ran_is_found(soak) -> None:
    soak.ledger.answered.append("a3")
    soak.check_end()
    assert "a3 was answered and did not run" in soak.ledger.broken


def test_an_order_that_must_not_be_is_found(soak) -> None:
    said = f"{standin.BROKEN}: e1 is taken from g1"
    (soak.running.folder / "standin.log").write_text(f"started\n{said}\n")
    soak.check_end()
    assert said in soak.ledger.broken


def test_a_lost_version_is_found(soak) -> None:
    soak.ledger.acknowledged = 9
    soak.check_end()
    assert "the newest acknowledged version is lost" in soak.ledger.broken
