"""Route tables: matching by host and prefix, validation and weights."""

import datetime

import pytest

from figford import errors
from figford import routes

SECOND = datetime.timedelta(seconds=1)


def route(name: str, prefix: str, **changes: object) -> routes.Route:
    fields: dict = {
        "name": name,
        "host": "h.example",
        "prefix": prefix,
        "retry_mode": routes.RetryMode.IDEMPOTENT,
        "timeout": SECOND,
        "objective": SECOND,
        "shares": (routes.Share("s", 1),),
    }
    return routes.Route(**(fields | changes))


def table(*found: routes.Route, **changes: object) -> routes.RouteTable:
    fields: dict = {
        "version": 1,
        "routes": found,
        "services": (routes.Service("s", 10), routes.Service("t", 10)),
    }
    return routes.RouteTable(**(fields | changes))


def test_the_longest_prefix_of_the_host_wins() -> None:
    route_table = table(
        route("a", "/a/"), route("b", "/a/b/"), route("c", "/")
    )
    assert route_table.match("h.example", "/a/b/x").name == "b"
    assert route_table.match("h.example", "/a/bb").name == "a"
    assert route_table.match("h.example", "/a/b").name == "a"
    assert route_table.match("h.example:80", "/z").name == "c"
    assert route_table.match("other.example", "/a/b/x") is None


def test_a_path_outside_all_prefixes_has_no_route() -> None:
    assert table(route("a", "/a/")).match("h.example", "/b/") is None
    assert table(route("a", "/a/")).match("h.example", "") is None


@pytest.mark.parametrize(
    "changes",
    [
        {"shares": (routes.Share("unknown", 1),)},
        {"shares": (routes.Share("s", 0),)},
        {"shares": (routes.Share("s", 2), routes.Share("t", -1))},
        {"timeout": datetime.timedelta(0)},
        {"prefix": "a/"},
        {"prefix": "/a"},
    ],
)
def test_a_wrong_route_makes_the_table_invalid(changes: dict) -> None:
    with pytest.raises(errors.ConfigurationInvalid):
        table(
            route(
                "a",
                "/a/",
                **{k: v for k, v in changes.items() if k != "prefix"},
            )
            if "prefix" not in changes
            else route("a", changes["prefix"])
        )


def test_two_routes_with_the_same_host_and_prefix_are_invalid() -> None:
    with pytest.raises(errors.ConfigurationInvalid):
        table(route("a", "/a/"), route("b", "/a/"))


def test_two_accounts_with_one_key_are_invalid() -> None:
    accounts = (
        routes.Account("one", ("k1", "k2")),
        routes.Account("two", ("k2",)),
    )
    with pytest.raises(errors.ConfigurationInvalid):
        table(accounts=accounts)


def test_an_account_may_hold_several_keys() -> None:
    route_table = table(accounts=(routes.Account("one", ("k1", "k2")),))
    assert route_table.account("k2").name == "one"
    assert route_table.account("k3") is None


def test_shares_follow_the_weights_of_services_that_can_serve() -> None:
    split = route(
        "a", "/a/", shares=(routes.Share("s", 90), routes.Share("t", 10))
    )
    assert routes.choose_share(split, 0.89, {"s", "t"}) == "s"
    assert routes.choose_share(split, 0.91, {"s", "t"}) == "t"
    assert routes.choose_share(split, 0.1, {"t"}) == "t"
    assert routes.choose_share(split, 0.1, set()) is None
