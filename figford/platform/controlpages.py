"""HTTP pages of a controller for upstreams and operators."""

import json
import typing

import logbook
from twisted.web import http

from figford import errors
from figford import fleetmessages
from figford import pages
from figford.platform import announcing
from figford.platform import manifest
from figford import routes

_log = logbook.Logger(__name__)

_INSTANCES = "/figford/instances/"
_HEARTBEAT = "/heartbeat"
_DEREGISTER = "/deregister"
_REPLACE_PATH = "/figford/config/replace"
_GET_PATH = "/figford/config/get"
# Operators end a call at once when they receive this status.
_BAD_REQUEST = 400

Reply = typing.Callable[[errors.Refusal | None, bytes], None]


class ControlPort(typing.Protocol):
    """The controller's interface to the pages."""

    def report(self, registration: fleetmessages.Registration) -> None:
        """Processes an upstream's report."""

    def sign_off(self, upstream: str) -> None:
        """Records that an upstream has deregistered for good."""

    def store(self, version: int, packed: bytes, reply: Reply) -> None:
        """Commits a route table to the replicated log, then replies."""

    def read(self, reply: Reply) -> None:
        """Replies with the latest quorum-confirmed route table, compressed."""

    @property
    def stored_document(self) -> bytes:
        """Returns the route table that this controller holds, compressed."""


def _read_manifest(port: ControlPort, body: bytes) -> routes.RouteTable:
    """Returns the route table of a manifest that an operator sent.

    The one that is stored is acknowledged again, though a former version
    accepted what is refused today. Raises ConfigurationInvalid.
    """
    try:
        return manifest.read(body)
    except errors.ConfigurationInvalid:
        packed = port.stored_document
        if not packed or manifest.unpack(packed) != body:
            raise
        return manifest.read(body, stored=True)


class ControlRequest(pages.BoundedBody, http.Request):
    """A call from an upstream or an operator."""

    is_disconnected = False

    def requestReceived(
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Handles a call that was received in full."""
        self.content.seek(0, 0)
        self.method, self.uri = command, path
        self.clientproto = version
        self.notifyFinish().addErrback(self._on_disconnect)
        port: ControlPort = self.channel.factory.port
        try:
            self._route(port, path.partition(b"?")[0].decode("latin-1"))
        except errors.ConfigurationInvalid as error:
            _log.warning("route table refused", detail=error.detail)
            self._answer(_BAD_REQUEST, {"error": error.detail})
        except errors.FigfordError as error:
            _log.warning("call refused", detail=error.detail)
            self._answer(_BAD_REQUEST, {"error": error.detail})

    def _on_disconnect(self, _: object) -> None:
        self.is_disconnected = True

    def _route(self, port: ControlPort, path: str) -> None:
        body = self.content.read()
        if path.startswith(_INSTANCES) and path.endswith(_HEARTBEAT):
            name = path[len(_INSTANCES) : -len(_HEARTBEAT)]
            port.report(announcing.read(name, body))
            self._answer(200, {})
        elif path.startswith(_INSTANCES) and path.endswith(_DEREGISTER):
            name = path[len(_INSTANCES) : -len(_DEREGISTER)]
            port.sign_off(announcing.check_name(name))
            self._answer(200, {})
        elif path == _REPLACE_PATH and self.method == b"POST":
            table = _read_manifest(port, body)
            port.store(
                table.version, manifest.pack(body), self._answer_replace
            )
        elif path == _GET_PATH and self.method == b"GET":
            port.read(self._answer_get)
        else:
            self._answer(404, {"error": "no such call"})

    def _answer_replace(
        self, refusal: errors.Refusal | None, _: bytes
    ) -> None:
        if refusal is None:
            self._answer(200, {})
        else:
            self._answer(refusal.status, {"error": refusal.detail})

    def _answer_get(
        self, refusal: errors.Refusal | None, packed: bytes
    ) -> None:
        if refusal is None:
            self._send(200, manifest.unpack(packed))
        else:
            self._answer(refusal.status, {"error": refusal.detail})

    def _answer(self, status: int, item: dict[str, typing.Any]) -> None:
        self._send(status, json.dumps(item).encode())

    def _send(self, status: int, body: bytes) -> None:
        if self.is_disconnected:
            return
        self.setResponseCode(status, http.RESPONSES.get(status, b"-"))
        headers = self.responseHeaders
        headers.setRawHeaders(b"content-type", [b"application/json"])
        headers.setRawHeaders(b"content-length", [str(len(body)).encode()])
        self.write(body)
        self.finish()


class ReadyRequest(pages.BoundedBody, http.Request):
    """The platform's readiness probe: whether to route new callers here."""

    def requestReceived(
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Answers the probe at once."""
        self.method, self.uri = command, path
        self.clientproto = version
        ready = self.channel.factory.port()
        self.setResponseCode(200 if ready else 503)
        self.responseHeaders.setRawHeaders(b"content-length", [b"0"])
        self.write(b"")
        self.finish()
