"""Bounds of the values that other processes send.

What one process lets pass is sent on to all others, so the types of messages
check it.
"""

import ipaddress
import typing

import attrs

# JSON readers keep integers exact up to this one.
MAX_INTEGER = (1 << 53) - 1
_PORTS = 1 << 16


def is_count(
    instance: object, attribute: attrs.Attribute, value: typing.Any
) -> None:
    """Validates an integer from 0 to MAX_INTEGER; raises ValueError."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{attribute.name} is not an integer")
    if not 0 <= value <= MAX_INTEGER:
        raise ValueError(f"{attribute.name} is out of range")


def is_text(
    instance: object, attribute: attrs.Attribute, value: typing.Any
) -> None:
    """Validates a string that can be encoded; raises ValueError."""
    if not isinstance(value, str):
        raise ValueError(f"{attribute.name} is not a string")
    # Raises UnicodeEncodeError, a ValueError, for lone surrogates.
    value.encode()


def are_texts(
    instance: object, attribute: attrs.Attribute, values: typing.Any
) -> None:
    """Validates a list of strings that can be encoded; raises ValueError."""
    for value in values:
        is_text(instance, attribute, value)


def check_address(address: str) -> str:
    """Returns an IP address and port that can be connected to.

    Raises ValueError for any other text.

    >>> check_address("127.0.0.1:80")
    '127.0.0.1:80'
    """
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not (port.isascii() and port.isdigit() and 0 < int(port) < _PORTS):
        raise ValueError("address has no valid port")
    return address
