"""HTTP resources of an entry's operators', upstreams' and metrics ports."""

import hmac
import json
import typing

import attrs
from twisted.web import resource
from twisted.web import server

from figford import bounds
from figford import codec
from figford import errors
from figford import messages
from figford import operators
from figford import pages
from figford import problems

MAXIMUM_ITEMS_PER_REQUEST = 1_000

Handler = typing.Callable[[server.Request], typing.Any]


def write_json(
    request: server.Request, document: object, status: int = 200
) -> None:
    """Completes a request with a JSON response."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    request.write(json.dumps(document, sort_keys=True).encode())
    request.finish()


def read_json(request: server.Request) -> typing.Any:
    """Returns the JSON body of a request; raises BadRequest."""
    try:
        return json.loads(request.content.read())
    except (ValueError, RecursionError) as error:
        raise errors.BadRequest("the body is not JSON") from error


class MethodResource(resource.Resource):
    """A leaf resource with one handler per HTTP method."""

    isLeaf = True

    def __init__(self, handlers: dict[bytes, Handler]) -> None:
        """Initializes the resource."""
        super().__init__()
        self._handlers = handlers

    def render(self, request: server.Request) -> typing.Any:
        """Calls the handler; reports errors as problem documents."""
        handler = self._handlers.get(request.method)
        try:
            if handler is None:
                raise errors.BadRequest(
                    "the method is not allowed on this path"
                )
            handler(request)
        except errors.Refusal as refusal:
            problems.write(request, refusal)
        except errors.MessageError as error:
            problems.write(request, errors.BadRequest(str(error)))
        return server.NOT_DONE_YET


class _SiteRequest(pages.BoundedBody, server.Request):
    """A request of a bounded size."""


class UnloggedSite(server.Site):
    """A site without an access log, for requests of a bounded size."""

    def __init__(self, root: resource.Resource) -> None:
        """Initializes the site."""
        super().__init__(
            root, requestFactory=_SiteRequest, timeout=pages.IDLE_SECONDS
        )
        self.displayTracebacks = False
        self._sizes = pages.BodySizes()

    def buildProtocol(self, addr: object) -> pages.BoundedChannel:
        """Returns the protocol of a new connection."""
        channel = pages.BoundedChannel()
        channel.sizes = self._sizes
        channel.factory = channel.site = self
        channel.requestFactory = self.requestFactory
        channel.callLater = self.reactor.callLater
        channel.timeOut = self.timeOut
        return channel

    def log(self, request: typing.Any) -> None:
        """Writes nothing; counters replace the access log."""


class EntryInterface(typing.Protocol):
    """Methods of an entry that the ports call; implemented by the daemon."""

    def announce(self, announcement: messages.Announcement) -> None:
        """Processes an announcement of an upstream."""

    def cache_event(self, event: messages.CacheEvent) -> None:
        """Processes a prompt cache event of an upstream."""

    def submit(
        self,
        command: messages.Submit,
        on_outcome: typing.Callable[[messages.Outcome | None], None],
    ) -> None:
        """Proposes a configuration; None as outcome means it is unknown."""

    def status(self) -> dict:
        """Returns this entry's state and its view of the deployment."""

    def configuration(self) -> messages.ConfigurationView:
        """Returns the configuration in force."""

    def in_force(self, version: int) -> dict:
        """Returns which entries have a version in force."""

    def stop(self) -> None:
        """Starts a graceful shutdown."""

    def is_ready(self) -> bool:
        """Returns whether callers may be served."""

    def render_metrics(self, accepts: list[str]) -> tuple[bytes, dict]:
        """Returns the rendered metrics and the response headers."""

    def block_links(self, instances: set[str]) -> None:
        """Blocks the links to instances, for fault injection."""


def _read_announcement(item: object) -> messages.Announcement:
    """Returns an announcement; raises MessageError if it is not valid."""
    announcement = codec.from_plain(item, messages.Announcement)
    try:
        bounds.check_address(announcement.address)
    except ValueError as error:
        raise errors.MessageError(f"not a valid address: {error}") from error
    return announcement


def upstreams_root(entry: EntryInterface) -> resource.Resource:
    """Returns the resource of the upstreams' port."""

    def announce(request: server.Request) -> None:
        document = read_json(request)
        items = document if isinstance(document, list) else [document]
        if len(items) > MAXIMUM_ITEMS_PER_REQUEST:
            raise errors.TooLarge("too many announcements in one request")
        announcements = [_read_announcement(item) for item in items]
        for announcement in announcements:
            entry.announce(announcement)
        write_json(request, {"announced": len(announcements)})

    def cache_events(request: server.Request) -> None:
        document = read_json(request)
        if not isinstance(document, list):
            raise errors.BadRequest("cache events must be a list")
        if len(document) > MAXIMUM_ITEMS_PER_REQUEST:
            raise errors.TooLarge("too many cache events in one request")
        events = [
            codec.from_plain(item, messages.CacheEvent) for item in document
        ]
        for event in events:
            entry.cache_event(event)
        write_json(request, {"taken": len(events)})

    root = resource.Resource()
    root.putChild(b"announce", MethodResource({b"POST": announce}))
    root.putChild(b"cache-events", MethodResource({b"POST": cache_events}))
    return root


def metrics_root(entry: EntryInterface) -> resource.Resource:
    """Returns the resource of the metrics port."""

    def read_metrics(request: server.Request) -> None:
        accepts = request.requestHeaders.getRawHeaders("accept", [])
        content, headers = entry.render_metrics(accepts)
        for name, value in headers.items():
            request.setHeader(name, value)
        request.write(content)
        request.finish()

    def health(request: server.Request) -> None:
        if entry.is_ready():
            write_json(request, {"ready": True})
        else:
            write_json(request, {"ready": False}, status=503)

    root = resource.Resource()
    root.putChild(b"metrics", MethodResource({b"GET": read_metrics}))
    root.putChild(b"health", MethodResource({b"GET": health}))
    return root


@attrs.define
class OperatorsPort:
    """Handlers of the operators' port, which require `key` if it is set."""

    entry: EntryInterface
    key: bytes | None = None
    allow_faults: bool = False

    def root(self) -> resource.Resource:
        """Returns the resource of the operators' port."""
        root = resource.Resource()
        for path, handlers in {
            b"submit": {b"POST": self._submit},
            b"configuration": {b"GET": self._configuration},
            b"status": {b"GET": self._status},
            b"in-force": {b"GET": self._in_force},
            b"drain": {b"POST": self._drain},
            b"faults": {b"POST": self._faults},
        }.items():
            guarded_handlers = {
                method: self._require_key(handler)
                for method, handler in handlers.items()
            }
            root.putChild(path, MethodResource(guarded_handlers))
        return root

    def _require_key(self, handler: Handler) -> Handler:
        def authorized_handler(request: server.Request) -> None:
            if self.key is not None:
                authorization = request.getHeader("authorization") or ""
                expected = b"Bearer " + self.key
                if not hmac.compare_digest(authorization.encode(), expected):
                    raise errors.UnknownAccount(
                        "the operator key is missing or wrong"
                    )
            handler(request)

        return authorized_handler

    def _submit(self, request: server.Request) -> None:
        document = read_json(request)
        command = _read_submission(document)
        problems_found = _check_submission(command, self.entry.configuration())
        if problems_found:
            raise errors.ConfigurationInvalid("; ".join(problems_found))

        def on_decided(outcome: messages.Outcome | None) -> None:
            self._answer_submission(request, outcome)

        self.entry.submit(command, on_decided)

    def _answer_submission(
        self, request: server.Request, outcome: messages.Outcome | None
    ) -> None:
        if request._disconnected:
            return
        match outcome:
            case messages.Accepted(version):
                answer = {"version": version, **self.entry.in_force(version)}
                write_json(request, answer)
            case messages.Conflict(version, winner):
                refusal = errors.ConfigurationConflict(
                    f"version {version} is in force, submitted by {winner}"
                )
                problems.write(request, refusal)
            case _:
                problems.write(
                    request,
                    errors.NoQuorum(
                        "the replicated log can't be reached; send the same"
                        " submission again to learn its outcome",
                        run_state=errors.RunState.UNKNOWN,
                    ),
                )

    def _configuration(self, request: server.Request) -> None:
        view = self.entry.configuration()
        write_json(
            request, {"version": view.version, "document": view.document}
        )

    def _status(self, request: server.Request) -> None:
        write_json(request, self.entry.status())

    def _in_force(self, request: server.Request) -> None:
        version_text = request.args.get(b"version", [b""])[0]
        if not version_text.isdigit():
            raise errors.BadRequest("version must be a whole number")
        write_json(request, self.entry.in_force(int(version_text)))

    def _drain(self, request: server.Request) -> None:
        self.entry.stop()
        write_json(request, {"draining": True})

    def _faults(self, request: server.Request) -> None:
        if not self.allow_faults:
            raise errors.NotAllowed("allow_faults is off in the settings")
        document = read_json(request)
        blocked = document.get("blocked") if document else None
        if not isinstance(blocked, list):
            raise errors.BadRequest("blocked must be a list of instances")
        self.entry.block_links({str(item) for item in blocked})
        write_json(request, {"blocked": blocked})


def _read_submission(document: object) -> messages.Submit:
    if not isinstance(document, dict):
        raise errors.BadRequest("the submission must be a JSON object")
    submission = document.get("submission")
    base_version = document.get("base_version")
    author = document.get("author", "")
    content = document.get("document")
    if not isinstance(submission, str) or not 0 < len(submission) <= 200:
        raise errors.BadRequest(
            "submission must be a string of 1 to 200 characters"
        )
    if not isinstance(base_version, int) or base_version < 0:
        raise errors.BadRequest(
            "base_version must be a whole number, 0 or more"
        )
    if not isinstance(author, str) or len(author) > 200:
        raise errors.BadRequest(
            "author must be a string of at most 200 characters"
        )
    if not isinstance(content, dict):
        raise errors.BadRequest("document must be a JSON object")
    return messages.Submit(submission, base_version, content, author)


def _check_submission(
    command: messages.Submit, current: messages.ConfigurationView
) -> list[str]:
    """Returns the problems of a submitted configuration."""
    try:
        new = operators.Configuration.from_document(command.document)
    except ExceptionGroup as group:
        return [str(error) for error in group.exceptions]
    if command.base_version != current.version:
        # The transition can be checked only against its base, which is not
        # the version in force here; the replicated log resolves the conflict.
        return []
    old = operators.Configuration.from_document(current.document)
    return [str(error) for error in operators.transition_problems(old, new)]
