"""Settings of one process, read from a YAML file."""

import datetime
import os
import pathlib

import attrs

from figford import errors
from figford import fields


def _seconds(value: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=value)


@attrs.frozen(kw_only=True)
class Limits:
    """Limits that protect an entry from its callers."""

    header_bytes: int = fields.integer(
        default=16_384, minimum=512, maximum=1 << 20, unit="bytes"
    )
    body_bytes: int = fields.integer(
        default=2 << 20, minimum=1024, maximum=1 << 30, unit="bytes"
    )
    connections: int = fields.integer(
        default=2_000, minimum=1, maximum=100_000, unit="connections"
    )
    request_timeout: datetime.timedelta = fields.duration(default=_seconds(10))
    idle_timeout: datetime.timedelta = fields.duration(default=_seconds(75))
    stalled_caller_timeout: datetime.timedelta = fields.duration(
        default=_seconds(30)
    )
    first_token_timeout: datetime.timedelta = fields.duration(
        default=_seconds(30)
    )
    between_token_timeout: datetime.timedelta = fields.duration(
        default=_seconds(10)
    )
    connect_timeout: datetime.timedelta = fields.duration(default=_seconds(2))
    answer_bytes: int = fields.integer(
        default=8 << 20, minimum=1024, maximum=1 << 30, unit="bytes"
    )


@attrs.frozen(kw_only=True)
class Tls:
    """PEM files of the certificate and key for TLS on the callers' port."""

    certificate: str = fields.text()
    key: str = fields.text()


@attrs.frozen(kw_only=True)
class Settings:
    """Identity, listen addresses, seeds and limits of an entry.

    Addresses are `host:port`, where the host is an IP address. An entry
    with a data folder takes part in the replicated log.
    """

    deployment: str = fields.name()
    instance: str = fields.name()
    data_centre: str = fields.name()
    secret_file: str = fields.text()
    callers_address: str = fields.address(default="127.0.0.1:8080")
    links_address: str = fields.address(default="127.0.0.1:8081")
    upstreams_address: str = fields.address(default="127.0.0.1:8082")
    operators_address: str = fields.address(default="127.0.0.1:8083")
    metrics_address: str = fields.address(default="127.0.0.1:8084")
    seeds: list[str] = fields.addresses(default=())
    data_folder: str | None = fields.optional_text()
    operator_key_file: str | None = fields.optional_text()
    log_level: str = fields.text(default="INFO")
    stop_timeout: datetime.timedelta = fields.duration(default=_seconds(60))
    allow_faults: bool = fields.flag(default=False)
    limits: Limits = fields.nested(Limits, default=Limits())
    tls: Tls | None = fields.optional(Tls)


def parse(text: str) -> Settings:
    """Returns the settings parsed from YAML text.

    Raises an ExceptionGroup of SettingsError, one per invalid value.
    """
    problems: list[Exception] = []
    parsed = fields.from_plain(Settings, fields.load_yaml(text), "", problems)
    if problems:
        raise ExceptionGroup("invalid settings", problems)
    return parsed


def load(path: pathlib.Path) -> Settings:
    """Returns the settings read from a file.

    Raises an ExceptionGroup of SettingsError, one per invalid value.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ExceptionGroup(
            "settings can't be read",
            [errors.SettingsError(str(error), str(path))],
        ) from error
    return parse(text)


def read_secret(path: str) -> bytes:
    """Returns the secret stored in a file.

    Raises SettingsError where the file can't be read, is accessible to
    other users, or holds fewer than 16 bytes.
    """
    try:
        mode = os.stat(path).st_mode
        secret = pathlib.Path(path).read_bytes().strip()
    except OSError as error:
        raise errors.SettingsError(str(error), "secret_file") from error
    if mode & 0o077:
        raise errors.SettingsError(
            f"{path} is accessible to other users; its mode must be 600",
            "secret_file",
        )
    if len(secret) < 16:
        raise errors.SettingsError(
            f"{path} holds fewer than 16 bytes", "secret_file"
        )
    return secret


def split_address(address: str) -> tuple[str, int]:
    """Returns the host and port of an address.

    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    >>> split_address("[::1]:80")
    ('::1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def describe() -> list[tuple[str, str, str]]:
    """Returns name, default and unit of every setting, for documentation."""
    return fields.describe(Settings)
