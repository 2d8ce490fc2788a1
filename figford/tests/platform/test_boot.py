"""The platform's settings file is read into node settings."""

import datetime
import json
import pathlib

import pytest

from figford import errors
from figford.platform import boot

SETTINGS = {
    "node_name": "core-a-1",
    "ip": "10.1.0.43",
    "zone": "a",
    "listen": {"control": "10.1.0.43:8229"},
    "internal_port_range": [7340, 7355],
    "seeds": ["10.1.0.43:8229", "10.2.0.31:8229"],
    "bootstrap": True,
    "data_dir": "/data/core",
    "bounds": {"grace_s": 8, "fencing": True, "retry_budget_slack": 132},
    "a_new_field": {},
}


def read(folder: pathlib.Path, **changes: object) -> object:
    file = folder / "boot.json"
    file.write_text(json.dumps(SETTINGS | changes))
    return boot.read(file)


def test_seeds_use_the_links_port(tmp_path) -> None:
    settings = read(tmp_path)
    assert settings.links_address == "10.1.0.43:7340"
    assert settings.seeds == ("10.1.0.43:7340", "10.2.0.31:7340")
    assert settings.founders == ("10.1.0.43", "10.2.0.31")
    assert settings.metrics_address == "10.1.0.43:9465"
    assert settings.budget.reserve == 132


def test_what_may_be_lost_at_once_is_read(tmp_path) -> None:
    settings = read(tmp_path)
    assert settings.catch_up == datetime.timedelta(seconds=4)
    assert settings.fault_tolerance == 1
    settings = read(
        tmp_path,
        fault_tolerance={"machines": 2, "zones": 1},
        bounds={"catch_up_s": 6},
    )
    assert settings.catch_up == datetime.timedelta(seconds=6)
    assert settings.fault_tolerance == 2


def test_only_the_first_start_names_founders(tmp_path) -> None:
    assert read(tmp_path, bootstrap=False).founders == ()


def test_an_entry_has_its_own_links_port(tmp_path) -> None:
    listen = {"front": "10.1.0.40:80", "ready": "10.1.0.40:81"}
    settings = read(tmp_path, ip="10.1.0.40", listen=listen, data_dir=None)
    assert settings.links_address == "10.1.0.40:7341"
    assert settings.seeds[0] == "10.1.0.43:7340"
    assert settings.data_folder is None


def test_a_file_that_lacks_a_field_is_an_error(tmp_path) -> None:
    file = tmp_path / "boot.json"
    file.write_text("{}")
    with pytest.raises(errors.SettingsError):
        boot.read(file)
    with pytest.raises(errors.SettingsError):
        boot.read(tmp_path / "none.json")


@pytest.mark.parametrize(
    "text",
    [
        "[" * 100_000,
        "[]",
        json.dumps(SETTINGS | {"seeds": [7]}),
        json.dumps(SETTINGS | {"internal_port_range": []}),
        json.dumps(SETTINGS | {"internal_port_range": [10**9, 10**9]}),
        json.dumps(SETTINGS | {"bounds": [1]}),
        json.dumps(SETTINGS | {"bounds": {"grace_s": 1e300}}),
    ],
)
def test_a_strange_file_is_an_error(tmp_path, text: str) -> None:
    """A file that was read again on SIGHUP ended the process."""
    file = tmp_path / "boot.json"
    file.write_text(text)
    with pytest.raises(errors.SettingsError):
        boot.read(file)
