"""The route table, which maps requests to services and client accounts.

A table is one version of the configuration that entries apply. Routes are
matched by host and longest path prefix. Each defines the services that share
its requests, the number of attempts, and its latency objective.
"""

import datetime
import enum
import typing

import attrs

from figford import errors
from figford import requesttargets


class RetryMode(enum.Enum):
    """Whether and how a request of a caller may be retried."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@attrs.frozen
class Share:
    """A service and its weight within a route."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """One route; durations are measured from the arrival of a request."""

    name: str
    host: str
    prefix: str
    retry_mode: RetryMode
    timeout: datetime.timedelta
    objective: datetime.timedelta
    shares: tuple[Share, ...]
    priority: int = 1
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    token_gap_target: datetime.timedelta | None = None

    @property
    def repeatable(self) -> bool:
        """Returns whether a request may be retried at another upstream."""
        match self.retry_mode:
            case RetryMode.IDEMPOTENT:
                return True
            case RetryMode.STREAM:
                return self.resumable
        return False


def _at_least_one(value: int) -> int:
    return max(1, value)


def _not_negative(value: float) -> float:
    return max(0.0, value)


def _positive_or_one(value: float) -> float:
    return value if value > 0 else 1.0


@attrs.frozen
class Model:
    """A model and the group of instances that one replica needs.

    `size` is the number of instances of a group, and `share` the fraction of
    the instances in groups that the model should have. `time_factor`
    multiplies all predicted times of a group. `load_time` is the time to load
    the weights from the weight store, `warm_load_time` the time on a host
    that already holds them.

    Operators may set any numbers; those without a meaning become the nearest
    one that has one.
    """

    name: str
    size: int = attrs.field(converter=_at_least_one)
    share: float = attrs.field(converter=_not_negative)
    time_factor: float = attrs.field(converter=_positive_or_one)
    load_time: datetime.timedelta
    warm_load_time: datetime.timedelta


@attrs.frozen
class Engine:
    """How the engines of a service batch, load and form groups."""

    slots: int
    models: tuple[Model, ...]
    step_ms: float = 0.0
    step_ms_per_sequence: float = 0.0
    prefill_tokens_per_second: float = 0.0
    loads_per_second: float = attrs.field(default=1.0, converter=_not_negative)
    loads_at_once: int = attrs.field(default=1, converter=_at_least_one)
    form_time: datetime.timedelta = datetime.timedelta(0)
    cross_domain_factor: float = attrs.field(
        default=1.0, converter=_positive_or_one
    )
    # Token steps that an engine runs before it admits new requests.
    steps_per_pass: int = attrs.field(default=1, converter=_at_least_one)
    # Tokens of a typical prompt.
    typical_prompt_tokens: float = 0.0

    def model(self, name: str) -> Model | None:
        """Returns a model by its name."""
        for model in self.models:
            if model.name == name:
                return model
        return None


@attrs.frozen
class Service:
    """A set of upstreams that run the same program."""

    name: str
    connections: int
    engine: Engine | None = None


@attrs.frozen
class CallerLimits:
    """Limits on the size and duration of callers' requests."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout: datetime.timedelta = datetime.timedelta(seconds=3)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=15)


@attrs.frozen
class Account:
    """A client account and its keys; a priority overrides that of routes."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@attrs.frozen
class RouteTable:
    """One version of the configuration, validated and indexed."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] = ()
    limits: CallerLimits = CallerLimits()
    has_accounts: bool = False
    # Whether it was in force before, maybe by a former version that accepted
    # two spellings of one host or prefix.
    stored: bool = False
    # Routes that are not used, as another one has their host and prefix.
    shadowed: tuple[Route, ...] = attrs.field(init=False, default=())
    service_by_name: dict[str, Service] = attrs.field(init=False)
    _account_by_key: dict[str, Account] = attrs.field(init=False)
    _routes_by_host: dict[str, dict[str, Route]] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Builds the indexes; raises ConfigurationInvalid."""
        by_name = {service.name: service for service in self.services}
        object.__setattr__(self, "service_by_name", by_name)
        object.__setattr__(self, "_account_by_key", self._index_keys())
        object.__setattr__(self, "_routes_by_host", self._index_routes())

    def _index_keys(self) -> dict[str, Account]:
        by_key: dict[str, Account] = {}
        for account in self.accounts:
            for key in account.keys:
                owner = by_key.setdefault(key, account)
                if owner.name != account.name:
                    raise _invalid(
                        f"accounts {owner.name} and {account.name} share"
                        " a key"
                    )
        return by_key

    def _index_routes(self) -> dict[str, dict[str, Route]]:
        by_host: dict[str, dict[str, Route]] = {}
        shadowed = []
        for route in self.routes:
            self._check_route(route)
            by_prefix = by_host.setdefault(
                requesttargets.normalize_host(route.host), {}
            )
            prefix = requesttargets.normalize_escapes(route.prefix)
            other = by_prefix.setdefault(prefix, route)
            if other is route:
                continue
            if not self.stored:
                raise _invalid(
                    f"routes {other.name} and {route.name} have the same host"
                    " and prefix"
                )
            used = (
                route
                if _is_normalized(route) and not _is_normalized(other)
                else other
            )
            by_prefix[prefix] = used
            shadowed.append(other if used is route else route)
        object.__setattr__(self, "shadowed", tuple(shadowed))
        return by_host

    def _check_route(self, route: Route) -> None:
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            raise _invalid(
                f"prefix of route {route.name} must start and end with /"
            )
        if route.timeout <= datetime.timedelta(0):
            raise _invalid(f"timeout of route {route.name} must be positive")
        if any(share.weight < 0 for share in route.shares):
            raise _invalid(f"route {route.name} has a negative weight")
        if sum(share.weight for share in route.shares) <= 0:
            raise _invalid(f"weights of route {route.name} add up to 0")
        for share in route.shares:
            if share.service not in self.service_by_name:
                raise _invalid(
                    f"route {route.name} refers to the unknown service"
                    f" {share.service}"
                )

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route whose prefix is the longest match of a path.

        `host` may include a port; `path` excludes the query.
        """
        by_prefix = self._routes_by_host.get(
            requesttargets.normalize_host(host), {}
        )
        path = requesttargets.normalize_escapes(path)
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def account(self, key: str) -> Account | None:
        """Returns the client account that holds a key."""
        return self._account_by_key.get(key)


def choose_share(
    route: Route, position: float, allowed: typing.Container[str]
) -> str | None:
    """Returns the service at a position from 0 to 1 in the weights.

    Only services in `allowed` are considered; None if there are none.

    >>> route = Route("r", "h", "/", RetryMode.ONCE, datetime.timedelta(1),
    ...     datetime.timedelta(1), (Share("a", 3), Share("b", 1)))
    >>> choose_share(route, 0.7, "ab"), choose_share(route, 0.8, "ab")
    ('a', 'b')
    """
    shares = [
        share
        for share in route.shares
        if share.weight > 0 and share.service in allowed
    ]
    remaining = position * sum(share.weight for share in shares)
    for share in shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return shares[-1].service if shares else None


def _is_normalized(route: Route) -> bool:
    """Returns whether host and prefix are spelled in their normalized form.

    Former versions compared the requests' host in lower case, so that only
    this route got any.
    """
    return route.host == requesttargets.normalize_host(
        route.host
    ) and route.prefix == requesttargets.normalize_escapes(route.prefix)


def _invalid(detail: str) -> errors.ConfigurationInvalid:
    return errors.ConfigurationInvalid(detail)
