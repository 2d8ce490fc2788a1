"""Validated attrs fields of settings and configuration.

A checked class is an attrs class whose fields are made here. Each field
carries its own validation, so that one pass reports all invalid values,
each with its path and unit.
"""

import datetime
import enum
import ipaddress
import re
import typing

import attrs
import yaml

from figford import errors

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}\Z")
_READER_KEY = "figford.reader"
_MAXIMUM_TEXT_LENGTH = 10_000
_MAXIMUM_DEPTH = 20

Problems = list[Exception]
Reader = typing.Callable[[object, str, Problems], typing.Any]


def _field(reader: Reader, default: typing.Any, unit: str = "") -> typing.Any:
    metadata = {_READER_KEY: reader, "unit": unit}
    if isinstance(default, (list, dict)):
        container = type(default)
        return attrs.field(
            factory=lambda: container(default), metadata=metadata
        )
    return attrs.field(default=default, metadata=metadata)


def _report(problems: Problems, path: str, detail: str) -> None:
    problems.append(errors.SettingsError(detail, path))


def name(default: typing.Any = attrs.NOTHING) -> typing.Any:
    """Returns a field for a name: letters, digits, dot, dash, underscore."""

    def read(value: object, path: str, problems: Problems) -> str:
        if not isinstance(value, str) or not _NAME.match(value):
            _report(
                problems,
                path,
                f"{value!r:.80} is not a name of 1 to 100 letters, digits,"
                " '.', '_' or '-'",
            )
        return typing.cast(str, value)

    return _field(read, default)


def text(default: typing.Any = attrs.NOTHING) -> typing.Any:
    """Returns a field for a non-empty string."""

    def read(value: object, path: str, problems: Problems) -> str:
        if (
            not isinstance(value, str)
            or not 0 < len(value) <= _MAXIMUM_TEXT_LENGTH
        ):
            _report(
                problems,
                path,
                "must be a non-empty string of at most 10000 characters",
            )
        return typing.cast(str, value)

    return _field(read, default)


def optional_text() -> typing.Any:
    """Returns a field for a non-empty string that may be omitted."""

    def read(value: object, path: str, problems: Problems) -> str | None:
        if value is not None and (not isinstance(value, str) or not value):
            _report(problems, path, "must be a non-empty string")
        return typing.cast(str | None, value)

    return _field(read, None)


def texts(default: typing.Any = attrs.NOTHING) -> typing.Any:
    """Returns a field for a list of non-empty strings."""

    def read(value: object, path: str, problems: Problems) -> list[str]:
        if not isinstance(value, (list, tuple)) or not all(
            isinstance(item, str) and item for item in value
        ):
            _report(problems, path, "must be a list of non-empty strings")
            return []
        return list(value)

    if default is not attrs.NOTHING:
        default = list(default)
    return _field(read, default)


def _is_address(value: object) -> bool:
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) < 65536


def address(default: typing.Any = attrs.NOTHING) -> typing.Any:
    """Returns a field for an IP address and port, `host:port`."""

    def read(value: object, path: str, problems: Problems) -> str:
        if not _is_address(value):
            _report(
                problems, path, f"{value!r:.80} is not an IP address and port"
            )
        return typing.cast(str, value)

    return _field(read, default)


def addresses(default: typing.Any = attrs.NOTHING) -> typing.Any:
    """Returns a field for a list of addresses."""

    def read(value: object, path: str, problems: Problems) -> list[str]:
        if not isinstance(value, (list, tuple)):
            _report(problems, path, "must be a list of addresses")
            return []
        for index, item in enumerate(value):
            if not _is_address(item):
                _report(
                    problems,
                    f"{path}.{index}",
                    f"{item!r:.80} is not an IP address and port",
                )
        return list(value)

    return _field(read, list(default))


def flag(default: typing.Any = attrs.NOTHING) -> typing.Any:
    """Returns a field for a boolean."""

    def read(value: object, path: str, problems: Problems) -> bool:
        if not isinstance(value, bool):
            _report(problems, path, f"{value!r:.80} is not true or false")
        return bool(value)

    return _field(read, default)


def _is_number(value: object) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool)


def number(
    *,
    default: typing.Any = attrs.NOTHING,
    minimum: float = 0.0,
    maximum: float = 1e12,
    unit: str = "",
) -> typing.Any:
    """Returns a field for a number within bounds, in the given unit."""

    def read(value: object, path: str, problems: Problems) -> float:
        if not _is_number(value) or not minimum <= value <= maximum:
            _report(
                problems,
                path,
                f"{value!r:.80} is not a number from {minimum:g} to"
                f" {maximum:g} {unit}".rstrip(),
            )
            return minimum
        return float(typing.cast(float, value))

    return _field(read, default, unit)


def integer(
    *,
    default: typing.Any = attrs.NOTHING,
    minimum: int = 0,
    maximum: int = 1 << 40,
    unit: str = "",
) -> typing.Any:
    """Returns a field for an integer within bounds, in the given unit."""

    def read(value: object, path: str, problems: Problems) -> int:
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if not is_integer or not minimum <= value <= maximum:
            _report(
                problems,
                path,
                f"{value!r:.80} is not a whole number from {minimum} to"
                f" {maximum} {unit}".rstrip(),
            )
            return minimum
        return typing.cast(int, value)

    return _field(read, default, unit)


def duration(
    *,
    default: typing.Any = attrs.NOTHING,
    maximum: datetime.timedelta = datetime.timedelta(days=365),
) -> typing.Any:
    """Returns a field for a duration, written as a number of seconds."""

    def read(
        value: object, path: str, problems: Problems
    ) -> datetime.timedelta:
        if isinstance(value, datetime.timedelta):
            return value
        if not _is_number(value) or not (
            0 <= value <= maximum.total_seconds()
        ):
            _report(
                problems,
                path,
                f"{value!r:.80} is not a number from 0 to"
                f" {maximum.total_seconds():g} seconds",
            )
            return datetime.timedelta(0)
        return datetime.timedelta(seconds=typing.cast(float, value))

    return _field(read, default, "seconds")


def choice(
    enum_type: type[enum.Enum], default: typing.Any = attrs.NOTHING
) -> typing.Any:
    """Returns a field for a value of an enumeration."""

    def read(value: object, path: str, problems: Problems) -> enum.Enum:
        try:
            return enum_type(value)
        except ValueError:
            allowed = ", ".join(str(item.value) for item in enum_type)
            _report(problems, path, f"{value!r:.80} is not one of {allowed}")
            return next(iter(enum_type))

    return _field(read, default)


def counts(*, unit: str) -> typing.Any:
    """Returns a field for a mapping of names to integers, in the unit."""

    def read(value: object, path: str, problems: Problems) -> dict[str, int]:
        if not isinstance(value, dict):
            _report(problems, path, f"must be a mapping of names to {unit}")
            return {}
        for key, count in value.items():
            not_integer = isinstance(count, bool) or not isinstance(count, int)
            if (
                not isinstance(key, str)
                or not_integer
                or not 0 <= count <= 10_000
            ):
                _report(
                    problems,
                    f"{path}.{key}",
                    f"{count!r:.80} is not a whole number from 0 to 10000"
                    f" {unit}",
                )
        return dict(value)

    return _field(read, attrs.NOTHING, unit)


def nested(item_type: type, default: typing.Any = attrs.NOTHING) -> typing.Any:
    """Returns a field for an item of another checked class."""

    def read(value: object, path: str, problems: Problems) -> typing.Any:
        if isinstance(value, item_type):
            return value
        return from_plain(item_type, value, path, problems)

    return _field(read, default)


def optional(item_type: type) -> typing.Any:
    """Returns a field for an item of another checked class, or None."""

    def read(value: object, path: str, problems: Problems) -> typing.Any:
        if value is None or isinstance(value, item_type):
            return value
        return from_plain(item_type, value, path, problems)

    return _field(read, None)


def _sort_by_name(items: typing.Iterable[typing.Any]) -> list:
    return sorted(items, key=lambda item: str(item.name))


def list_of(item_type: type, keyed: bool = False) -> typing.Any:
    """Returns a field for a list of items of another checked class.

    The order of `keyed` items has no meaning, so they are sorted by name.
    """

    def read(value: object, path: str, problems: Problems) -> list:
        if not isinstance(value, (list, tuple)):
            _report(problems, path, "must be a list")
            return []
        return [
            (
                item
                if isinstance(item, item_type)
                else from_plain(item_type, item, f"{path}.{index}", problems)
            )
            for index, item in enumerate(value)
        ]

    metadata = {_READER_KEY: read, "unit": ""}
    converter = _sort_by_name if keyed else list
    return attrs.field(factory=list, converter=converter, metadata=metadata)


def from_plain(
    item_type: type,
    value: object,
    path: str,
    problems: Problems,
    **extra_values: object,
) -> typing.Any:
    """Returns an item of a checked class from plain data.

    `extra_values` are added to the data. Adds a SettingsError to `problems`
    for each unknown key, missing key and invalid value; if there is any,
    the result is None.
    """
    if value is None:
        value = {}
    if not isinstance(value, dict):
        _report(problems, path, "must be a mapping of keys to values")
        return None
    values = {**value, **extra_values}
    known = {field.name: field for field in attrs.fields(item_type)}
    problems_before = len(problems)
    for key in values:
        if key not in known:
            _report(
                problems, f"{path}.{key}".lstrip("."), "is not a known key"
            )
    parsed = {}
    for key, field in known.items():
        item_path = f"{path}.{key}".lstrip(".")
        if key in values:
            reader = field.metadata[_READER_KEY]
            parsed[key] = reader(values[key], item_path, problems)
        elif field.default is attrs.NOTHING:
            unit = field.metadata.get("unit")
            suffix = f" (unit: {unit})" if unit else ""
            _report(problems, item_path, f"is missing{suffix}")
    if len(problems) > problems_before:
        return None
    return item_type(**parsed)


def to_plain(item: object) -> typing.Any:
    """Returns plain data for an item of a checked class."""
    match item:
        case datetime.timedelta():
            return item.total_seconds()
        case enum.Enum():
            return item.value
        case list() | tuple():
            return [to_plain(part) for part in item]
        case dict():
            return {key: to_plain(part) for key, part in item.items()}
    if attrs.has(type(item)):
        return {
            field.name: to_plain(getattr(item, field.name))
            for field in attrs.fields(type(item))
        }
    return item


def describe(item_type: type, prefix: str = "") -> list[tuple[str, str, str]]:
    """Returns path, default and unit of every field of a checked class."""
    rows = []
    for field in attrs.fields(item_type):
        path = f"{prefix}{field.name}"
        default = field.default
        if isinstance(default, attrs.Factory):
            default = default.factory()
        if attrs.has(type(default)) and default is not attrs.NOTHING:
            rows.extend(describe(type(default), f"{path}."))
            continue
        plain_default = (
            "required" if default is attrs.NOTHING else to_plain(default)
        )
        rows.append((path, str(plain_default), field.metadata.get("unit", "")))
    return rows


def sections(
    document: object, known: typing.Sequence[str], problems: Problems
) -> dict[str, dict]:
    """Returns the known sections of a document: items keyed by name."""
    if document is None:
        return {}
    if not isinstance(document, dict):
        _report(problems, "document", "must be a mapping of sections to items")
        return {}
    found = {}
    for section, items in document.items():
        if section not in known:
            _report(problems, str(section), "is not a known section")
        elif not isinstance(items, dict):
            _report(problems, section, "must be a mapping of names to items")
        else:
            found[section] = items
    return found


def load_yaml(source: str) -> object:
    """Returns the plain data parsed from YAML text.

    Raises an ExceptionGroup of SettingsError where it is not valid YAML or
    is nested too deeply.
    """
    try:
        loaded = yaml.safe_load(source)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        mark = getattr(error, "problem_mark", None)
        location = f"line {mark.line + 1}" if mark else "document"
        problem = getattr(error, "problem", None) or type(error).__name__
        raise _invalid(f"is not valid YAML: {problem}", location) from error
    if _depth_exceeds(loaded, _MAXIMUM_DEPTH):
        raise _invalid("is nested too deeply", "document")
    return loaded


def _invalid(detail: str, path: str) -> ExceptionGroup:
    return ExceptionGroup("invalid YAML", [errors.SettingsError(detail, path)])


def _depth_exceeds(value: object, limit: int) -> bool:
    if limit == 0:
        return True
    match value:
        case dict():
            parts = list(value.values())
        case list():
            parts = value
        case _:
            return False
    return any(_depth_exceeds(part, limit - 1) for part in parts)
