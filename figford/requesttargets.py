"""The normalized form of hosts and paths, and the target of a request.

Several spellings name the same host or path (RFC 3986, section 6.2.2). They
compare equal in their normalized form; what is sent on and read back stays as
it was received.
"""

import ipaddress
import re
import string

import attrs

from figford import errors
from figford import wire

_ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})")
_UNRESERVED = string.ascii_letters + string.digits + "-._~"
_ABSOLUTE = re.compile(rb"https?://([^/?#]*)([^#]*)", re.IGNORECASE)
_HOST = b"host"
_OPTIONAL_WHITESPACE = " \t"


def normalize_escapes(text: str) -> str:
    """Returns the same text for all spellings of its characters.

    >>> normalize_escapes("/%7Ea/%2f?b")
    '/~a/%2F?b'
    """

    def spell(escape: re.Match[str]) -> str:
        character = chr(int(escape[1], 16))
        return character if character in _UNRESERVED else escape[0].upper()

    return _ESCAPE.sub(spell, text)


def normalize_host(host: str) -> str:
    """Returns the normalized form of a host, without the port.

    Names have no case, and a dot may end them (RFC 9110, section 4.2.3; RFC
    3986, section 3.2.2).

    >>> normalize_host(" Shop.Example.:8080"), normalize_host("[0:0::1]:80")
    ('shop.example', '[::1]')
    """
    host = normalize_escapes(host.strip(_OPTIONAL_WHITESPACE)).lower()
    if host.startswith("["):
        return _normalize_ipv6(host[1:].partition("]")[0])
    return host.partition(":")[0].removesuffix(".")


def _normalize_ipv6(address: str) -> str:
    try:
        return f"[{ipaddress.IPv6Address(address).compressed}]"
    except ValueError:
        return f"[{address}]"


@attrs.frozen
class RequestTarget:
    """The host and target of a request; the target begins with the path."""

    host: str
    target: bytes
    headers: wire.HeaderList

    @property
    def path(self) -> str:
        """Returns the path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


def read(
    target: bytes, headers: wire.HeaderList, needs_host: bool
) -> RequestTarget:
    """Returns host, target and headers as they are forwarded.

    A target in absolute form replaces the Host header (RFC 9112, section
    3.2.2). Raises BadRequest if there is more than one such header, or none
    though the version of HTTP needs it.
    """
    hosts = [value for name, value in headers if name.lower() == _HOST]
    if len(hosts) > 1 or (needs_host and not hosts):
        raise errors.BadRequest(f"the request has {len(hosts)} Host headers")
    absolute = _ABSOLUTE.fullmatch(target)
    if absolute is not None:
        host = absolute[1].rpartition(b"@")[2]
        target = absolute[2] if absolute[2][:1] == b"/" else b"/" + absolute[2]
        others = [item for item in headers if item[0].lower() != _HOST]
        hosts, headers = [host], [(_HOST, host), *others]
    host_name = hosts[0].decode("latin-1") if hosts else ""
    return RequestTarget(normalize_host(host_name), target, headers)
