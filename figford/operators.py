"""Configuration as operators write it: typed, validated, stored as YAML.

>>> group = ServingGroup(
...     name="chat", model="parque-70b", replicas={"medellin": 2},
...     shape=Replica(instances=4))
>>> medellin = DataCentre(name="medellin", entries=["entry-1", "entry-2"])
>>> account = ClientAccount(name="kiosks", key_digest=key_digest("secret"))
>>> rule = RoutingRule(name="all", accounts=["kiosks"], models=["chat"])
>>> configuration = Configuration(
...     serving_groups=[group], client_accounts=[account],
...     routing_rules=[rule], data_centres=[medellin])
>>> print(configuration.to_yaml().splitlines()[0])
client_accounts:
>>> Configuration.from_yaml(configuration.to_yaml()) == configuration
True
"""

import datetime
import enum
import hashlib
import typing

import attrs
import yaml

from figford import errors
from figford import fields

# Sections of the document, which are attributes of Configuration as well.
SECTIONS = (
    "client_accounts",
    "data_centres",
    "plain_services",
    "policies",
    "routing_rules",
    "serving_groups",
)


class RequestClass(enum.Enum):
    """Priority classes of requests, highest first."""

    BOOKING = "booking"
    STATUS = "status"
    CHAT = "chat"
    BATCH = "batch"


def key_digest(bearer_key: str) -> str:
    """Returns the SHA-256 digest that configuration stores of a bearer key.

    >>> key_digest("secret")[:12]
    '2bb80d537b1d'
    """
    return hashlib.sha256(bearer_key.encode()).hexdigest()


def _seconds(value: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=value)


@attrs.frozen(kw_only=True)
class Replica:
    """Shape of one replica: instances in one fabric domain.

    `minimum_instances` is the smallest size it may shrink to; the default,
    0, stands for the full size, which forbids shrinking.
    """

    instances: int = fields.integer(minimum=1, maximum=64, unit="instances")
    minimum_instances: int = fields.integer(
        default=0, minimum=0, maximum=64, unit="instances"
    )

    def allows(self, size: int) -> bool:
        """Returns whether a group may have this many members."""
        smallest = self.minimum_instances or self.instances
        return smallest <= size <= self.instances


@attrs.frozen(kw_only=True)
class ServingGroup:
    """A model and how many replicas of it each data centre serves."""

    name: str = fields.name()
    model: str = fields.name()
    replicas: dict[str, int] = fields.counts(unit="replicas")
    shape: Replica = fields.nested(Replica)
    concurrency: int = fields.integer(
        default=32, minimum=1, maximum=10_000, unit="requests per replica"
    )
    weights_gigabytes: float = fields.number(
        default=1.0, minimum=0.0, unit="gigabytes"
    )


@attrs.frozen(kw_only=True)
class ServicePath:
    """Matches calls of a plain service by method and path prefix."""

    methods: list[str] = fields.texts()
    prefix: str = fields.text(default="/")
    repeatable: bool = fields.flag(default=False)
    request_class: RequestClass = fields.choice(
        RequestClass, default=RequestClass.BOOKING
    )


@attrs.frozen(kw_only=True)
class PlainService:
    """A service other than a model engine, selected by path prefix.

    A call that matches none of `paths` is not repeatable.
    """

    name: str = fields.name()
    prefix: str = fields.text()
    paths: list[ServicePath] = fields.list_of(ServicePath)
    timeout: datetime.timedelta = fields.duration(default=_seconds(10))


@attrs.frozen(kw_only=True)
class Limits:
    """Limits of one client account over the whole deployment."""

    requests_per_second: float = fields.number(
        default=100.0, minimum=0.001, unit="requests/s"
    )
    burst: int = fields.integer(
        default=200, minimum=1, maximum=1_000_000, unit="requests"
    )
    concurrency: int = fields.integer(
        default=200, minimum=1, maximum=1_000_000, unit="requests"
    )
    tokens_per_second: float = fields.number(
        default=100_000.0, minimum=0.001, unit="tokens/s"
    )


@attrs.frozen(kw_only=True)
class ClientAccount:
    """A client, identified by the digest of its bearer key."""

    name: str = fields.name()
    key_digest: str = fields.text()
    weight: float = fields.number(default=1.0, minimum=0.001, unit="share")
    limits: Limits = fields.nested(Limits, default=Limits())


@attrs.frozen(kw_only=True)
class RoutingRule:
    """Lets client accounts reach serving groups and plain services."""

    name: str = fields.name()
    accounts: list[str] = fields.texts()
    models: list[str] = fields.texts(default=())
    services: list[str] = fields.texts(default=())
    request_class: RequestClass = fields.choice(
        RequestClass, default=RequestClass.CHAT
    )


@attrs.frozen(kw_only=True)
class DataCentre:
    """A data centre and the entry instances that elect its planner."""

    name: str = fields.name()
    entries: list[str] = fields.texts()


@attrs.frozen(kw_only=True)
class Policy:
    """Cost weights of the repair policy, and its delay before repairs."""

    name: str = fields.name()
    downtime_weight: float = fields.number(
        default=1.0, minimum=0.0, unit="cost per group-second"
    )
    stranding_weight: float = fields.number(
        default=1.0, minimum=0.0, unit="cost per accelerator-second"
    )
    hold: datetime.timedelta = fields.duration(default=_seconds(5))


@attrs.frozen(kw_only=True)
class Configuration:
    """The whole configuration of a deployment, submitted as one unit."""

    serving_groups: list[ServingGroup] = fields.list_of(
        ServingGroup, keyed=True
    )
    client_accounts: list[ClientAccount] = fields.list_of(
        ClientAccount, keyed=True
    )
    routing_rules: list[RoutingRule] = fields.list_of(RoutingRule, keyed=True)
    plain_services: list[PlainService] = fields.list_of(
        PlainService, keyed=True
    )
    data_centres: list[DataCentre] = fields.list_of(DataCentre, keyed=True)
    policies: list[Policy] = fields.list_of(Policy, keyed=True)

    def __attrs_post_init__(self) -> None:
        """Checks that names are unique and references resolve."""
        problems = list(_reference_problems(self))
        if problems:
            raise ExceptionGroup("invalid configuration", problems)

    def to_document(self) -> dict:
        """Returns plain data: sections of items keyed by name."""
        document = {}
        for section in SECTIONS:
            items = {}
            for item in getattr(self, section):
                plain = fields.to_plain(item)
                items[plain.pop("name")] = plain
            if items:
                document[section] = items
        return document

    def to_yaml(self) -> str:
        """Returns the configuration as the YAML that operators submit.

        Raises an ExceptionGroup of SettingsError, one per invalid value.
        """
        type(self).from_document(self.to_document())
        return yaml.safe_dump(self.to_document(), sort_keys=True)

    @classmethod
    def from_document(cls, document: object) -> "Configuration":
        """Returns the configuration that plain data describes.

        Raises an ExceptionGroup of SettingsError, one per invalid value.
        """
        problems: list[Exception] = []
        sections = fields.sections(document, SECTIONS, problems)
        values = {}
        for section, items in sections.items():
            item_type = _ITEM_TYPES[section]
            values[section] = [
                fields.from_plain(
                    item_type, item, f"{section}.{name}", problems, name=name
                )
                for name, item in items.items()
            ]
        if problems:
            raise ExceptionGroup("invalid configuration", problems)
        return cls(**values)

    @classmethod
    def from_yaml(cls, text: str) -> "Configuration":
        """Returns the configuration that YAML text describes.

        Raises an ExceptionGroup of SettingsError, one per invalid value.
        """
        return cls.from_document(fields.load_yaml(text))


_ITEM_TYPES: dict[str, type] = {
    "serving_groups": ServingGroup,
    "client_accounts": ClientAccount,
    "routing_rules": RoutingRule,
    "plain_services": PlainService,
    "data_centres": DataCentre,
    "policies": Policy,
}


def _reference_problems(
    configuration: Configuration,
) -> typing.Iterator[Exception]:
    for section in SECTIONS:
        yield from _duplicate_names(section, getattr(configuration, section))
    accounts = {item.name for item in configuration.client_accounts}
    models = {item.name for item in configuration.serving_groups}
    services = {item.name for item in configuration.plain_services}
    for rule in configuration.routing_rules:
        path = f"routing_rules.{rule.name}"
        yield from _undefined_names(
            f"{path}.accounts", rule.accounts, accounts
        )
        yield from _undefined_names(f"{path}.models", rule.models, models)
        yield from _undefined_names(
            f"{path}.services", rule.services, services
        )
    digests: dict[str, str] = {}
    for account in configuration.client_accounts:
        other = digests.setdefault(account.key_digest, account.name)
        if other != account.name:
            yield errors.SettingsError(
                f"has the same bearer key as {other}",
                f"client_accounts.{account.name}.key_digest",
            )
    data_centres = {item.name for item in configuration.data_centres}
    for group in configuration.serving_groups:
        yield from _undefined_names(
            f"serving_groups.{group.name}.replicas",
            group.replicas,
            data_centres,
        )
    for service in configuration.plain_services:
        if not service.prefix.startswith("/") or service.prefix == "/":
            yield errors.SettingsError(
                "must be an absolute path other than /, such as /bookings",
                f"plain_services.{service.name}.prefix",
            )
    for group in configuration.serving_groups:
        if group.shape.minimum_instances > group.shape.instances:
            yield errors.SettingsError(
                "must not exceed instances",
                f"serving_groups.{group.name}.shape.minimum_instances",
            )


def transition_problems(
    old: Configuration, new: Configuration
) -> list[errors.SettingsError]:
    """Returns the reasons why one configuration may not replace another.

    The entries that elect a planner change one at a time, so that every
    majority before the change shares an entry with every majority after it.
    """
    entries_before = {
        item.name: set(item.entries) for item in old.data_centres
    }
    problems = []
    for item in new.data_centres:
        changed = entries_before.get(item.name, set()) ^ set(item.entries)
        if item.name in entries_before and len(changed) > 1:
            problems.append(
                errors.SettingsError(
                    "may change by one entry at a time, not by"
                    f" {len(changed)}",
                    f"data_centres.{item.name}.entries",
                )
            )
    return problems


def _duplicate_names(
    section: str, items: typing.Sequence[typing.Any]
) -> typing.Iterator[Exception]:
    seen = set()
    for item in items:
        if item.name in seen:
            yield errors.SettingsError(
                "is defined twice", f"{section}.{item.name}"
            )
        seen.add(item.name)


def _undefined_names(
    path: str, names: typing.Iterable[str], known: set[str]
) -> typing.Iterator[Exception]:
    for name in names:
        if name not in known:
            yield errors.SettingsError(f"{name!r} is not defined", path)
