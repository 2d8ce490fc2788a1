"""CBOR encoding of typed messages."""

import datetime
import types
import typing

import attrs
import cattrs
from cattrs.preconf import cbor2 as preconf
from cattrs.preconf import json as json_preconf
from cattrs import strategies

from figford import errors
from figford import messages

# These messages make up most of the traffic between entries.
_COMPACT_KINDS = (messages.Beat, messages.Load, messages.PeerState)
_MICROSECOND = datetime.timedelta(microseconds=1)


def _tagged_unions() -> tuple[types.UnionType, ...]:
    return (
        messages.Order,
        messages.Command,
        messages.Outcome,
        messages.SubmitOutcome,
        messages.AgreementMessage,
        messages.Record,
        messages.PeerMessage,
        messages.Greeting,
    )


def make_converter(
    factory: typing.Callable[..., cattrs.Converter],
    compact: bool,
) -> cattrs.Converter:
    """Returns a converter for all messages that rejects unknown keys.

    A compact one omits the field names of the most frequent messages.
    """
    converter = factory(forbid_extra_keys=True, detailed_validation=False)
    converter.register_unstructure_hook(
        datetime.timedelta, lambda value: value // _MICROSECOND
    )
    converter.register_structure_hook(
        datetime.timedelta,
        lambda value, _: datetime.timedelta(microseconds=value),
    )
    for kind in _COMPACT_KINDS if compact else ():
        converter.register_unstructure_hook(kind, _as_list)
        converter.register_structure_hook(kind, _list_reader(converter))
    for union in _tagged_unions():
        strategies.configure_tagged_union(
            union, converter, tag_name="_", tag_generator=_tag
        )
    return converter


def _as_list(value: typing.Any) -> list:
    return [
        _as_list(item) if attrs.has(type(item)) else item
        for item in (
            getattr(value, field.name) for field in attrs.fields(type(value))
        )
    ]


def _list_reader(
    converter: cattrs.Converter,
) -> typing.Callable[[typing.Any, type], typing.Any]:
    def read(values: typing.Any, kind: type) -> typing.Any:
        fields = attrs.fields(kind)
        if not isinstance(values, list) or len(values) != len(fields):
            raise errors.MessageError(
                f"malformed field list of {kind.__name__}"
            )
        parts = []
        for value, field in zip(values, fields):
            if attrs.has(field.type):
                value = converter.structure(value, field.type)
            elif type(value) is not field.type:
                raise errors.MessageError(
                    f"wrong field type in {kind.__name__}"
                )
            parts.append(value)
        return kind(*parts)

    return read


def _tag(kind: type) -> str:
    return kind.__name__


_converter = make_converter(preconf.make_converter, compact=True)
_plain_converter = make_converter(json_preconf.make_converter, compact=False)


def to_plain(value: object, kind: object) -> typing.Any:
    """Returns a value of the given type as JSON-compatible data."""
    return _plain_converter.unstructure(value, unstructure_as=kind)


def from_plain(plain: object, kind: type) -> typing.Any:
    """Returns the value of the given type that JSON data describes.

    Raises MessageError when the data does not describe one.
    """
    try:
        return _plain_converter.structure(plain, kind)
    except Exception as error:
        # Untrusted data can raise many exception types in the library.
        raise errors.MessageError(
            f"not a valid {getattr(kind, '__name__', kind)}:"
            f" {type(error).__name__}: {error}"[:300]
        ) from error


def encode(value: object, kind: object) -> bytes:
    """Returns the CBOR encoding of a value as the given type."""
    return _converter.dumps(value, unstructure_as=kind)


def decode(data: bytes, kind: type) -> typing.Any:
    """Returns the value of the given type that `data` encodes.

    Raises MessageError when the data is not a valid encoding of it.
    """
    try:
        return _converter.loads(data, kind)
    except Exception as error:
        # Untrusted bytes can raise many exception types in the libraries.
        raise errors.MessageError(
            f"not a valid {getattr(kind, '__name__', kind)}:"
            f" {type(error).__name__}"
        ) from error
