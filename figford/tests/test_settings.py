"""Settings and configuration: all invalid values are reported; fuzzed."""

import datetime
import pathlib

import attrs
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
import pytest
import yaml

from figford import errors
from figford import operators
from figford import settings
from figford.tools import demo

MINIMAL_SETTINGS = """
deployment: kioscos
instance: entry-1
data_centre: medellin
secret_file: /etc/figford/secret
"""


def problems_of(read, text):
    with pytest.raises(ExceptionGroup) as caught:
        read(text)
    found = caught.value.exceptions
    assert all(isinstance(item, errors.SettingsError) for item in found)
    return {item.path: item.detail for item in found}


def test_defaults_are_filled_in():
    read = settings.parse(MINIMAL_SETTINGS)
    assert read.limits.body_bytes == 2 << 20
    assert read.limits.request_timeout == datetime.timedelta(seconds=10)


def test_all_invalid_values_are_reported_at_once():
    text = MINIMAL_SETTINGS + "\n".join(
        [
            "callers_address: localhost:80",
            "seeds: ['127.0.0.1:99999']",
            "typo: 1",
            "limits: {body_bytes: many, idle_timeout: -1}",
            "allow_faults: 1",
        ]
    )
    found = problems_of(settings.parse, text)
    assert set(found) == {
        "callers_address",
        "seeds.0",
        "typo",
        "limits.body_bytes",
        "limits.idle_timeout",
        "allow_faults",
    }
    assert "bytes" in found["limits.body_bytes"]
    assert "seconds" in found["limits.idle_timeout"]


def test_missing_values_are_reported():
    assert set(problems_of(settings.parse, "{}")) == {
        "deployment",
        "instance",
        "data_centre",
        "secret_file",
    }


@pytest.mark.parametrize("text", ["[", "1", "- a", "a: " + "[" * 50])
def test_text_that_is_not_a_mapping_is_refused(text):
    problems_of(settings.parse, text)


def test_secret_must_be_private_and_long_enough(tmp_path):
    path = tmp_path / "secret"
    path.write_text("0123456789abcdef")
    path.chmod(0o644)
    with pytest.raises(errors.SettingsError, match="600"):
        settings.read_secret(str(path))
    path.chmod(0o600)
    assert settings.read_secret(str(path)) == b"0123456789abcdef"
    path.write_text("short")
    with pytest.raises(errors.SettingsError, match="16 bytes"):
        settings.read_secret(str(path))


def test_documented_settings_are_those_of_the_code():
    root = pathlib.Path(__file__).parents[2]
    text = (root / "docs" / "settings.md").read_text("utf-8")
    for name, default, _ in settings.describe():
        assert f"| `{name}` | {default} |" in text, name


def test_configuration_round_trip():
    made = demo.demo_configuration()
    assert operators.Configuration.from_yaml(made.to_yaml()) == made


def test_undefined_references_are_reported():
    document = demo.demo_configuration().to_document()
    document["routing_rules"]["all"]["models"] = ["other"]
    document["serving_groups"]["assistant"]["replicas"] = {"nowhere": 1}
    document["plain_services"]["shelters"]["prefix"] = "shelters"
    document["client_accounts"]["twin"] = document["client_accounts"]["kiosks"]
    found = problems_of(
        operators.Configuration.from_yaml, yaml.safe_dump(document)
    )
    assert set(found) == {
        "routing_rules.all.models",
        "serving_groups.assistant.replicas",
        "plain_services.shelters.prefix",
        "client_accounts.twin.key_digest",
    }


def test_planner_electorate_changes_one_entry_at_a_time():
    old = demo.demo_configuration()
    for entries, wrong in (
        (["entry-1", "entry-2", "entry-4"], 0),
        (["entry-1"], 0),
        (["entry-1", "entry-4"], 1),
    ):
        new = attrs.evolve(
            old,
            data_centres=[
                operators.DataCentre(name="medellin", entries=entries),
                old.data_centres[0],
            ],
        )
        assert len(operators.transition_problems(old, new)) == wrong


VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=5)
    | strategies.dates(),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=3), inner, max_size=3),
    max_leaves=6,
)


@hypothesis_settings(max_examples=300, derandomize=True, deadline=None)
@given(data=strategies.data())
def test_damaged_configuration_is_read_or_refused(data):
    document = demo.demo_configuration().to_document()
    place = document
    while True:
        key = data.draw(strategies.sampled_from(sorted(place)))
        inner = place[key]
        if not isinstance(inner, dict) or not inner:
            break
        if data.draw(strategies.booleans()):
            break
        place = inner
    place[key] = data.draw(VALUES)
    try:
        read = operators.Configuration.from_document(document)
    except ExceptionGroup as group:
        assert all(
            isinstance(item, errors.SettingsError) for item in group.exceptions
        )
        return
    assert operators.Configuration.from_yaml(read.to_yaml()) == read


@hypothesis_settings(max_examples=200, derandomize=True, deadline=None)
@given(text=strategies.text(max_size=80))
def test_any_text_is_read_or_refused(text):
    for read in (settings.parse, operators.Configuration.from_yaml):
        try:
            read(text)
        except ExceptionGroup as group:
            assert group.subgroup(errors.SettingsError) is not None
