"""Route tables: matching by host and prefix, validation and weights."""

import datetime

import pytest

from figford import errors
from figford import routes
from figford.tests import test_requesttargets

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


@pytest.mark.parametrize("configured", test_requesttargets.SPELLINGS)
@pytest.mark.parametrize("requested", test_requesttargets.SPELLINGS)
def test_a_route_is_found_by_each_spelling_of_its_host(
    configured: str, requested: str
) -> None:
    """A host with a capital letter in the table got no request."""
    route_table = table(route("a", "/a/", host=configured))
    found = route_table.match(requested, "/a/x")
    assert found is not None and found.host == configured


@pytest.mark.parametrize("configured", test_requesttargets.IPV6_SPELLINGS)
@pytest.mark.parametrize("requested", test_requesttargets.IPV6_SPELLINGS)
def test_a_route_is_found_by_each_spelling_of_its_address(
    configured: str, requested: str
) -> None:
    """The host of a request ended at its first colon."""
    route_table = table(route("a", "/a/", host=configured))
    assert route_table.match(requested, "/a/x") is not None


@pytest.mark.parametrize("configured", ["/book/", "/b%6fok/", "/b%6Fok/"])
@pytest.mark.parametrize("requested", ["/book/x", "/b%6fok/x", "/%62ook/x"])
def test_a_route_is_found_by_each_spelling_of_its_prefix(
    configured: str, requested: str
) -> None:
    """The identity of a request takes these paths for the same."""
    route_table = table(route("a", configured))
    assert route_table.match("h.example", requested) is not None
    assert route_table.match("h.example", "/b%2Fok/x") is None


SAME_ROUTES = [
    ({"host": "H.Example"}, {}),
    ({"host": "h.example."}, {}),
    ({"host": "h.example:8080"}, {}),
    ({"host": " h.example"}, {}),
    ({"prefix": "/%61/"}, {}),
    ({"host": "H.Example"}, {"host": "h.EXAMPLE"}),
]


@pytest.mark.parametrize(("one", "other"), SAME_ROUTES)
def test_two_routes_with_two_spellings_of_one_host_are_invalid(
    one: dict, other: dict
) -> None:
    with pytest.raises(errors.ConfigurationInvalid, match="same host"):
        table(
            route("a", **({"prefix": "/a/"} | one)),
            route("b", **({"prefix": "/a/"} | other)),
        )


@pytest.mark.parametrize(("one", "other"), SAME_ROUTES)
@pytest.mark.parametrize("is_reversed", [False, True])
def test_a_stored_table_uses_the_route_that_was_used_before(
    one: dict, other: dict, is_reversed: bool
) -> None:
    """A former version accepted both and compared hosts in lower case."""
    both = [
        route("a", **({"prefix": "/a/"} | one)),
        route("b", **({"prefix": "/a/"} | other)),
    ]
    if is_reversed:
        both.reverse()
    route_table = table(*both, stored=True)
    used = route_table.match("h.example", "/a/x")
    assert [used, *route_table.shadowed] in (both, both[::-1])
    # Where neither has the normalized form, it is the first.
    assert used.name == ("b" if not other else both[0].name)


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
