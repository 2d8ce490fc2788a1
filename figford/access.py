"""Finds the client account of a request and what it may access."""

import attrs

from figford import errors
from figford import operators


@attrs.frozen
class AccessGrant:
    """A client account's right to a model or service, from its rule."""

    account: operators.ClientAccount
    request_class: operators.RequestClass


@attrs.define
class AccessTable:
    """Accounts, rules and routes of one configuration, indexed."""

    configuration: operators.Configuration
    _account_by_digest: dict[str, operators.ClientAccount] = attrs.field(
        init=False
    )
    _group_by_name: dict[str, operators.ServingGroup] = attrs.field(init=False)
    _rule_by_model: dict[tuple[str, str], operators.RoutingRule] = attrs.field(
        factory=dict
    )
    _rule_by_service: dict[tuple[str, str], operators.RoutingRule] = (
        attrs.field(factory=dict)
    )

    def __attrs_post_init__(self) -> None:
        """Builds the indexes."""
        self._account_by_digest = {
            account.key_digest: account
            for account in self.configuration.client_accounts
        }
        self._group_by_name = {
            group.name: group for group in self.configuration.serving_groups
        }
        for rule in self.configuration.routing_rules:
            for account in rule.accounts:
                for model in rule.models:
                    self._rule_by_model.setdefault((account, model), rule)
                for service in rule.services:
                    self._rule_by_service.setdefault((account, service), rule)

    def account(self, authorization: str | None) -> operators.ClientAccount:
        """Returns the account of an Authorization header.

        Raises UnknownAccount.
        """
        scheme, _, key = (authorization or "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            raise errors.UnknownAccount(
                "the Authorization header must hold a bearer key"
            )
        digest = operators.key_digest(key.strip())
        account = self._account_by_digest.get(digest)
        if account is None:
            raise errors.UnknownAccount("the bearer key is not known")
        return account

    def model(
        self, account: operators.ClientAccount, name: str
    ) -> tuple[operators.ServingGroup, AccessGrant]:
        """Returns the serving group of a name and the grant for it.

        Raises UnknownRoute or NotAllowed.
        """
        group = self._group_by_name.get(name)
        if group is None:
            raise errors.UnknownRoute(f"no serving group is named {name!r}")
        rule = self._rule_by_model.get((account.name, name))
        if rule is None:
            raise errors.NotAllowed("no rule allows this serving group")
        return group, AccessGrant(account, rule.request_class)

    def service(
        self, account: operators.ClientAccount, path: str
    ) -> tuple[operators.PlainService, AccessGrant]:
        """Returns the plain service of a path and the grant for it.

        Raises UnknownRoute or NotAllowed.
        """
        matching = [
            service
            for service in self.configuration.plain_services
            if path == service.prefix
            or path.startswith(service.prefix.rstrip("/") + "/")
        ]
        if not matching:
            raise errors.UnknownRoute("no plain service has this path")
        service = max(matching, key=lambda item: len(item.prefix))
        rule = self._rule_by_service.get((account.name, service.name))
        if rule is None:
            raise errors.NotAllowed("no rule allows this plain service")
        return service, AccessGrant(account, rule.request_class)


def path_rule(
    service: operators.PlainService, method: str, path: str
) -> operators.ServicePath | None:
    """Returns the rule of a call; None means it may not be repeated."""
    subpath = path[len(service.prefix.rstrip("/")) :] or "/"
    for rule in service.paths:
        if method in rule.methods and subpath.startswith(rule.prefix):
            return rule
    return None
