"""A short run of the fault soak, and tests that its checks find violations."""

import pytest

from figford.tests.platform import faultsoak
from figford.tests.platform import standin
from figford.tests.platform import test_processes
from figford.tests.platform import unsafe

SECONDS = 8.0
# Far longer than a run takes to find a violation, which ends it.
MAX_SECONDS = 120.0


def test_guarantees_hold_under_faults(tmp_path) -> None:
    record = faultsoak.soak(1, SECONDS, tmp_path)
    assert record.acknowledged_version > 3
    assert record.outcomes["stream 200"] and record.outcomes["call 200"]


@pytest.mark.parametrize(
    ("mechanism", "violation"),
    [
        ("run-once", r"ran \d+ times"),
        ("stored-first", "acknowledged"),
        ("limits", "a limit of"),
        ("verdicts", "after the (fifth|third) crash"),
        ("sizes", "began in a group of"),
        ("callers-apart", "after the third crash|refused by a verdict"),
    ],
)
def test_a_disabled_mechanism_is_found(
    mechanism, violation, tmp_path, monkeypatch
) -> None:
    monkeypatch.setenv(unsafe.MECHANISM_VARIABLE, mechanism)
    with pytest.raises(faultsoak.GuaranteeViolated, match=violation):
        faultsoak.soak(1, MAX_SECONDS, tmp_path, unsafe.__name__)


@pytest.fixture(name="soak")
def fixture_soak(tmp_path, monkeypatch):
    cluster = test_processes.ProcessCluster(tmp_path)
    monkeypatch.setattr(
        test_processes.ProcessCluster, "runs", lambda self: {"a1": 1, "a2": 2}
    )
    stored = {"version": 7}
    monkeypatch.setattr(
        test_processes.ProcessCluster, "read", lambda self, ip: stored
    )
    return faultsoak.Soak(1, cluster)


def test_a_call_that_ran_twice_is_found(soak) -> None:
    soak.check_end()
    assert soak.record.violations == ["a2 ran 2 times"]


def test_a_refused_call_that_ran_is_found(soak) -> None:
    soak.record.refused_attempts.append("a1")
    soak.check_end()
    assert "a1 was reported as not run, but ran" in soak.record.violations


def test_an_answered_call_that_never_ran_is_found(soak) -> None:
    soak.record.answered_attempts.append("a3")
    soak.check_end()
    assert "a3 was answered, but did not run" in soak.record.violations


def test_an_order_that_breaks_an_invariant_is_found(soak) -> None:
    line = f"{standin.INVARIANT_BROKEN}: e1 is taken from g1"
    (soak.cluster.folder / "standin.log").write_text(f"started\n{line}\n")
    soak.check_end()
    assert line in soak.record.violations


def test_a_lost_version_is_found(soak) -> None:
    soak.record.acknowledged_version = 9
    soak.check_end()
    assert "the newest acknowledged version is lost" in soak.record.violations
