"""Builds and runs an entry or a controller on the platform."""

import typing

from twisted.internet import reactor

from figford import errors
from figford import logs
from figford import nodes
from figford import pages
from figford.platform import boot
from figford.platform import controlpages
from figford.platform import dialect
from figford.platform import manifest
from figford.platform import ordering


def read_table(packed: bytes) -> typing.Any:
    """Returns the route table of a stored manifest."""
    return manifest.read(manifest.unpack(packed), stored=True)


def make_entry() -> nodes.NodeDaemon:
    """Returns an entry that uses the platform's formats."""
    from figford import entrydaemon

    return entrydaemon.EntryDaemon(
        boot.read(boot.path()),
        boot.path(),
        boot.read,
        reactor,
        dialect=dialect.PlatformDialect(),
        read_table=read_table,
        ready_factory=lambda is_ready, reactor: pages.PagesFactory(
            controlpages.ReadyRequest, is_ready, reactor
        ),
    )


def make_controller() -> nodes.NodeDaemon:
    """Returns a controller that uses the platform's formats."""
    from figford import controllerdaemon

    return controllerdaemon.ControllerDaemon(
        boot.read(boot.path()),
        boot.path(),
        boot.read,
        reactor,
        dialect=dialect.PlatformDialect(),
        orders=ordering,
        read_table=read_table,
        pages_factory=lambda port, reactor: pages.PagesFactory(
            controlpages.ControlRequest, port, reactor
        ),
    )


def main(arguments: list[str]) -> int:
    """Runs one process until it is stopped; returns its exit status."""
    factory_by_role = {"entry": make_entry, "controller": make_controller}
    if len(arguments) != 1 or arguments[0] not in factory_by_role:
        print("usage: python3 -m figford.platform entry|controller")
        return 2
    try:
        settings = boot.read(boot.path())
    except errors.SettingsError as error:
        print(error)
        return 2
    handler = logs.JsonHandler(settings.name)
    handler.push_application()
    daemon = factory_by_role[arguments[0]]()
    stopped_in_time: list[bool] = []

    def on_stopped(in_time: bool) -> None:
        stopped_in_time.append(in_time)
        reactor.stop()

    daemon.stopped.addCallback(on_stopped)
    daemon.start().addErrback(daemon.fatal)
    reactor.run(installSignalHandlers=False)
    return 0 if stopped_in_time and stopped_in_time[0] else 1
