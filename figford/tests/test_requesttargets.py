"""Spellings of one host or path compare equal, at each place of use."""

import pytest

from figford import crashes
from figford import errors
from figford import requesttargets

SPELLINGS = (
    "shop.example",
    "Shop.Example",
    "SHOP.EXAMPLE",
    "shop.example:8080",
    "Shop.Example:8080",
    "shop.example.",
    "SHOP.example.:443",
    " shop.example",
    "shop.example\t",
    "sh%6Fp.example",
)
IPV6_SPELLINGS = ("[::1]", "[::1]:80", "[0:0:0:0:0:0:0:1]", "[0::1]:8080")


@pytest.mark.parametrize("spelling", SPELLINGS)
def test_spellings_of_a_name_have_one_form(spelling: str) -> None:
    assert requesttargets.normalize_host(spelling) == "shop.example"


@pytest.mark.parametrize("spelling", IPV6_SPELLINGS)
def test_spellings_of_an_ipv6_address_have_one_form(spelling: str) -> None:
    assert requesttargets.normalize_host(spelling) == "[::1]"


@pytest.mark.parametrize(
    "other", ["shop.exampl", "shop.example..", "a.shop.example", "", "[::2]"]
)
def test_other_hosts_have_other_forms(other: str) -> None:
    forms = {
        requesttargets.normalize_host(item) for item in ("shop.example", other)
    }
    assert len(forms) == 2


def test_crashes_know_a_request_by_the_form_of_its_host() -> None:
    """The same read came again with another spelling of the host."""
    found = {
        crashes.host_of([(b"Host", spelling.encode())])
        for spelling in SPELLINGS
    }
    assert found == {"shop.example"}


@pytest.mark.parametrize(
    ("target", "origin"),
    [
        (b"http://Shop.Example:80/a/x?q=1", b"/a/x?q=1"),
        (b"HTTPS://shop.example/a/", b"/a/"),
        (b"http://shop.example", b"/"),
        (b"http://shop.example?q", b"/?q"),
        (b"http://user@shop.example/a/", b"/a/"),
    ],
)
def test_a_target_in_absolute_form_replaces_the_host(
    target: bytes, origin: bytes
) -> None:
    headers = [(b"Host", b"other.example"), (b"X", b"y")]
    found = requesttargets.read(target, headers, needs_host=True)
    assert (found.host, found.target) == ("shop.example", origin)
    named = [value for name, value in found.headers if name.lower() == b"host"]
    assert len(named) == 1
    assert crashes.host_of(found.headers) == "shop.example"
    assert (b"X", b"y") in found.headers


@pytest.mark.parametrize("target", [b"/a/x?http://b/", b"//a/", b"*", b"/"])
def test_other_targets_stay_as_they_are(target: bytes) -> None:
    headers = [(b"Host", b"Shop.Example")]
    found = requesttargets.read(target, headers, needs_host=True)
    assert (found.host, found.target) == ("shop.example", target)
    assert found.headers == headers


@pytest.mark.parametrize("count", [0, 2])
def test_a_request_needs_exactly_one_host(count: int) -> None:
    headers = [(b"Host", b"shop.example")] * count
    with pytest.raises(errors.BadRequest):
        requesttargets.read(b"/", headers, needs_host=True)


def test_an_old_version_of_http_needs_no_host() -> None:
    assert requesttargets.read(b"/", [], needs_host=False).host == ""
