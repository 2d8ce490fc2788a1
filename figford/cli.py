"""The `figford` command.

Exit codes: 0 success, 1 failure, 2 usage error, 3 refused by the deployment,
4 entry unreachable, 5 invalid settings or configuration.
"""

import enum
import getpass
import json
import pathlib
import sys
import time
import typing
import urllib.error
import urllib.request
import uuid

import typer

import figford
from figford import errors
from figford import operators
from figford import settings

HTTP_TIMEOUT_SECONDS = 15
IN_FORCE_WAIT_SECONDS = 13.0
IN_FORCE_POLL_SECONDS = 0.1

app = typer.Typer(
    add_completion=False,
    help="Serves models that span several instances.",
    no_args_is_help=True,
)


class ExitCode(enum.IntEnum):
    """Exit codes of the command."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNREACHABLE = 4
    INVALID = 5


SettingsOption = typing.Annotated[
    pathlib.Path, typer.Option("--settings", help="Settings file (YAML).")
]
OperatorsOption = typing.Annotated[
    str,
    typer.Option(
        "--to",
        help="Operators' address of an entry, host:port.",
        envvar="FIGFORD_OPERATORS_ADDRESS",
    ),
]
KeyOption = typing.Annotated[
    pathlib.Path | None,
    typer.Option("--key-file", help="File with the operator key."),
]
JsonOption = typing.Annotated[
    bool, typer.Option("--json", help="Print JSON instead of tables.")
]


class RefusedError(errors.FigfordError):
    """An entry refused a request of the command."""


def _request(
    address: str,
    path: str,
    key_file: pathlib.Path | None,
    document: object = None,
) -> dict:
    """Returns the decoded JSON response of an entry.

    Raises RefusedError or UnreachableError.
    """
    headers = {"content-type": "application/json"}
    if key_file is not None:
        key = settings.read_secret(str(key_file)).decode()
        headers["authorization"] = f"Bearer {key}"
    data = None if document is None else json.dumps(document).encode()
    request = urllib.request.Request(
        f"http://{address}/{path}", data=data, headers=headers
    )
    try:
        with urllib.request.urlopen(
            request, timeout=HTTP_TIMEOUT_SECONDS
        ) as answer:
            return json.load(answer)
    except urllib.error.HTTPError as error:
        raise RefusedError(error.read().decode()) from error
    except (OSError, ValueError) as error:
        raise errors.UnreachableError(f"{address}: {error}") from error


def _exit_with_error(error: Exception, code: ExitCode) -> typing.NoReturn:
    if isinstance(error, ExceptionGroup):
        for part in error.exceptions:
            typer.echo(str(part), err=True)
    else:
        typer.echo(str(error), err=True)
    raise typer.Exit(code)


def _load_settings(path: pathlib.Path) -> settings.Settings:
    try:
        return settings.load(path)
    except ExceptionGroup as group:
        _exit_with_error(group, ExitCode.INVALID)


def _load_configuration(path: pathlib.Path) -> operators.Configuration:
    try:
        if str(path) == "-":
            return operators.Configuration.from_yaml(sys.stdin.read())
        return operators.Configuration.from_yaml(path.read_text("utf-8"))
    except ExceptionGroup as group:
        _exit_with_error(group, ExitCode.INVALID)
    except (OSError, UnicodeDecodeError) as error:
        _exit_with_error(error, ExitCode.INVALID)


def _request_or_exit(
    address: str,
    path: str,
    key_file: pathlib.Path | None,
    document: object = None,
) -> dict:
    try:
        return _request(address, path, key_file, document)
    except RefusedError as error:
        _exit_with_error(error, ExitCode.REFUSED)
    except errors.UnreachableError as error:
        _exit_with_error(error, ExitCode.UNREACHABLE)
    except errors.SettingsError as error:
        _exit_with_error(error, ExitCode.INVALID)


def _print_table(rows: list[dict], columns: list[str]) -> None:
    lines = [columns]
    lines += [[str(row.get(name, "")) for name in columns] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths)]
        typer.echo("  ".join(cells).rstrip())


@app.command()
def serve(config: SettingsOption) -> None:
    """Run an entry until it is stopped."""
    loaded = _load_settings(config)
    if loaded.tls is None:
        # Keeps Twisted from importing pyOpenSSL, which it does wherever that
        # is installed and which takes 14 MB.
        sys.modules.setdefault("OpenSSL", None)
    from figford import daemon

    try:
        code = daemon.run(loaded)
    except errors.FigfordError as error:
        _exit_with_error(error, ExitCode.FAILED)
    raise typer.Exit(code)


@app.command()
def init(config: SettingsOption) -> None:
    """Create a deployment with this entry's data folder as first voter."""
    from figford import daemon

    loaded = _load_settings(config)
    try:
        voter = daemon.bootstrap_deployment(loaded)
    except errors.FigfordError as error:
        _exit_with_error(error, ExitCode.FAILED)
    typer.echo(f"first voter: {voter}")


@app.command()
def recover(
    config: SettingsOption,
    yes: typing.Annotated[
        bool, typer.Option("--yes", help="Confirm; without it, only warn.")
    ] = False,
) -> None:
    """Make this entry the only voter after a majority of disks was lost."""
    from figford import daemon

    loaded = _load_settings(config)
    if not yes:
        typer.echo(
            "Configurations and claims of calls that the lost disks accepted"
            " and this disk does not hold are lost. A call whose claim is"
            " lost can run again. Former voters must not be started with"
            " their old data folders. To proceed, repeat with --yes.",
            err=True,
        )
        raise typer.Exit(ExitCode.USAGE)
    try:
        recovery = daemon.recover_deployment(loaded)
    except errors.FigfordError as error:
        _exit_with_error(error, ExitCode.FAILED)
    typer.echo(f"only voter: {recovery.voter}")
    typer.echo(f"former voters: {', '.join(recovery.former_voters)}")
    typer.echo(
        f"last log index {recovery.last_index},"
        f" configuration version {recovery.version}"
    )


@app.command()
def check(
    config: typing.Annotated[
        pathlib.Path | None,
        typer.Option("--settings", help="Settings file to check."),
    ] = None,
    configuration: typing.Annotated[
        pathlib.Path | None,
        typer.Option("--configuration", help="Configuration to check."),
    ] = None,
) -> None:
    """Check settings or a configuration without running anything."""
    if config is None and configuration is None:
        typer.echo(
            "nothing to check: pass --settings or --configuration", err=True
        )
        raise typer.Exit(ExitCode.USAGE)
    if config is not None:
        _load_settings(config)
    if configuration is not None:
        _load_configuration(configuration)
    typer.echo("valid")


@app.command()
def submit(
    configuration: typing.Annotated[
        pathlib.Path, typer.Argument(help="Configuration (YAML), or -.")
    ],
    to: OperatorsOption,
    key_file: KeyOption = None,
    base_version: typing.Annotated[
        int | None,
        typer.Option(help="Version to replace; by default the one in force."),
    ] = None,
    submission: typing.Annotated[
        str | None,
        typer.Option(
            help="Submission id; resubmitting under it is idempotent."
        ),
    ] = None,
    wait: typing.Annotated[
        float, typer.Option(help="Seconds to wait until it is in force.")
    ] = IN_FORCE_WAIT_SECONDS,
    as_json: JsonOption = False,
) -> None:
    """Submit a configuration; print which entries have it in force."""
    loaded = _load_configuration(configuration)
    if base_version is None:
        base_version = _request_or_exit(to, "configuration", key_file)[
            "version"
        ]
    document = {
        "submission": submission or uuid.uuid4().hex,
        "base_version": base_version,
        "author": getpass.getuser(),
        "document": loaded.to_document(),
    }
    answer = _request_or_exit(to, "submit", key_file, document)
    answer |= _wait_in_force(to, key_file, answer["version"], wait)
    if as_json:
        typer.echo(json.dumps(answer))
        return
    typer.echo(f"accepted as version {answer['version']}")
    typer.echo(f"in force at: {', '.join(answer['in_force'])}")
    if answer["behind"]:
        typer.echo(f"not yet at: {', '.join(answer['behind'])}")


def _wait_in_force(
    address: str,
    key_file: pathlib.Path | None,
    awaited_version: int,
    seconds: float,
) -> dict:
    """Polls which entries have a version in force; returns the last answer.

    Stops when no live entry is behind, or after the given time.
    """
    deadline = time.monotonic() + seconds
    while True:
        path = f"in-force?version={awaited_version}"
        answer = _request_or_exit(address, path, key_file)
        if not answer["behind"] or time.monotonic() >= deadline:
            return answer
        time.sleep(IN_FORCE_POLL_SECONDS)


@app.command()
def show(
    to: OperatorsOption,
    key_file: KeyOption = None,
    as_json: JsonOption = False,
) -> None:
    """Show the configuration in force and its version."""
    answer = _request_or_exit(to, "configuration", key_file)
    if as_json:
        typer.echo(json.dumps(answer))
        return
    loaded = operators.Configuration.from_document(answer["document"])
    typer.echo(f"# version {answer['version']}")
    typer.echo(loaded.to_yaml(), nl=False)


@app.command()
def status(
    to: OperatorsOption,
    key_file: KeyOption = None,
    as_json: JsonOption = False,
) -> None:
    """Show an entry's state and its view of the deployment."""
    answer = _request_or_exit(to, "status", key_file)
    if as_json:
        typer.echo(json.dumps(answer))
        return
    scalars = {
        name: value
        for name, value in answer.items()
        if not isinstance(value, list)
    }
    for name, value in scalars.items():
        typer.echo(f"{name}: {value}")
    typer.echo(f"voters: {', '.join(answer['voters'])}")
    typer.echo("\nentries")
    _print_table(
        answer["entries"],
        ["instance", "data_centre", "live", "version", "voter"],
    )
    typer.echo("\ngroups")
    _print_table(
        answer["groups"], ["group", "state", "fence", "address", "members"]
    )
    typer.echo("\nupstreams")
    _print_table(
        answer["upstreams"],
        ["upstream", "kind", "fabric_domain", "state", "group", "fresh"],
    )


@app.command()
def drain(to: OperatorsOption, key_file: KeyOption = None) -> None:
    """Shut down an entry gracefully; requests in progress finish."""
    _request_or_exit(to, "drain", key_file, {})
    typer.echo("draining")


@app.command()
def version() -> None:
    """Print the version of figford."""
    typer.echo(figford.__version__)


def main() -> None:
    """Runs the command."""
    app()
