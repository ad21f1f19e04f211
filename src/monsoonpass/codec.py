"""Encoding of typed messages as msgpack arrays.

A message is a data class registered under an integer tag. It is encoded as an
array of the tag and the fields in order; nested data classes are arrays of
their fields. Decoding validates every field against its annotation.
"""

from collections.abc import Callable
import dataclasses
import functools
import hashlib
import types
import typing
from typing import Any

import msgpack
import pydantic

from monsoonpass import errors

DIGEST_BYTES = 16  # Makes collisions negligible for any number of records.
_IS_APPENDED = "monsoonpass_is_appended"

_tags: dict[type, int] = {}
_types: dict[int, type] = {}


def register(tag: int) -> Callable[[type], type]:
    """Make a class decorator that registers a message type.

    Args:
        tag: Number that identifies the type on the wire; never reuse one.

    Returns:
        The decorator.

    Raises:
        ValueError: The tag is already registered.
    """

    def decorate(cls: type) -> type:
        if tag in _types:
            raise ValueError(
                f"tag {tag} is registered for {_types[tag].__name__}"
            )
        _tags[cls] = tag
        _types[tag] = cls
        return cls

    return decorate


def appended_field(*, default: Any, repr: bool = True) -> Any:
    """Return a field that is appended to a class that builds already encode.

    Such fields come last. They are left out of the encoding as long as they and
    all fields after them have their defaults, so the encoding and the digest of
    a value that does not use them are those of earlier builds.

    Args:
        default: Value of the field if the encoding does not contain it.
        repr: Whether the field is part of the class's representation.
    """
    return dataclasses.field(
        default=default, repr=repr, metadata={_IS_APPENDED: True}
    )


def encode(message: Any) -> bytes:
    """Encode a registered message.

    Args:
        message: An instance of a registered data class.

    Returns:
        The encoding, a msgpack array.
    """
    cls = type(message)
    return msgpack.packb([_tags[cls], *_field_packer(cls)(message)])


def decode(data: bytes) -> Any:
    """Decode a message.

    Args:
        data: The complete output of `encode`.

    Returns:
        The message.

    Raises:
        FrameDecodeError: The bytes are not a valid message.
        UnknownMessageError: No message type is registered for the tag.
    """
    try:
        value = msgpack.unpackb(
            data, use_list=False, raw=False, strict_map_key=True
        )
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise errors.FrameDecodeError(str(error)) from error
    if not isinstance(value, tuple) or not value:
        raise errors.FrameDecodeError("a message must be a non-empty array")
    tag = value[0]
    if not isinstance(tag, int):
        raise errors.FrameDecodeError(f"message tag {tag!r} is not a number")
    cls = _types.get(tag)
    if cls is None:
        raise errors.UnknownMessageError(f"unknown message tag {tag}")
    return _validate(cls, value[1:])


def canonical_bytes(value: Any) -> bytes:
    """Return the canonical encoding of a data class, without a tag.

    Args:
        value: An instance of a data class, registered or not.

    Returns:
        Bytes that are equal if and only if the values are equal.
    """
    return msgpack.packb(_field_packer(type(value))(value))


def digest(value: Any) -> bytes:
    """Return the digest of the canonical encoding of a data class."""
    return digest_bytes(canonical_bytes(value))


def digest_bytes(data: bytes) -> bytes:
    """Return the digest of bytes."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def _validate(cls: type, fields: tuple[Any, ...]) -> Any:
    try:
        return _type_adapter(cls).validate_python(_name_fields(cls, fields))
    except pydantic.ValidationError as error:
        raise errors.FrameDecodeError(
            f"{cls.__name__}: {_describe(error)}"
        ) from None


def _describe(error: pydantic.ValidationError) -> str:
    """Describe the first fault without its value, which may be a secret."""
    fault = error.errors(
        include_url=False, include_context=False, include_input=False
    )[0]
    location = ".".join(str(part) for part in fault["loc"])
    return f"{location}: {fault['msg']}"


@functools.cache
def _type_adapter(cls: type) -> pydantic.TypeAdapter:
    return pydantic.TypeAdapter(cls)


@functools.cache
def _field_packer(cls: type) -> Callable[[Any], list[Any]]:
    """Return a function that converts an instance to a list of fields."""
    names = [field.name for field in dataclasses.fields(cls)]
    readers = _field_readers(cls)
    if _appended_fields(cls):
        return _packer_without_defaults(cls, names, any(readers))
    if not any(readers):
        return lambda message: [getattr(message, name) for name in names]

    def pack(message: Any) -> list[Any]:
        return [_to_plain(getattr(message, name)) for name in names]

    return pack


def _packer_without_defaults(
    cls: type, names: list[str], has_data_classes: bool
) -> Callable[[Any], list[Any]]:
    """Return a packer that leaves out appended fields with their defaults."""
    last_first = _appended_fields(cls)
    prefixes = [names[:count] for count in range(len(names) + 1)]

    def pack(message: Any) -> list[Any]:
        count = len(names)
        for name, default in last_first:
            if getattr(message, name) != default:
                break
            count -= 1
        values = [getattr(message, name) for name in prefixes[count]]
        if has_data_classes:
            return [_to_plain(value) for value in values]
        return values

    return pack


def _appended_fields(cls: type) -> list[tuple[str, Any]]:
    """Return names and defaults of the appended fields, the last one first."""
    result: list[tuple[str, Any]] = []
    for field in reversed(dataclasses.fields(cls)):
        if not field.metadata.get(_IS_APPENDED):
            break
        result.append((field.name, field.default))
    return result


def _to_plain(value: Any) -> Any:
    if dataclasses.is_dataclass(value):
        return _field_packer(type(value))(value)
    if isinstance(value, tuple):
        return [_to_plain(item) for item in value]
    return value


def _name_fields(cls: type, fields: Any) -> dict[str, Any]:
    """Map positional fields to their names, recursively, for validation.

    Newer builds append fields; those that this build does not know are ignored.
    """
    field_definitions = dataclasses.fields(cls)
    if not isinstance(fields, tuple):
        raise errors.FrameDecodeError(f"{cls.__name__}: expected an array")
    values_by_name = {}
    readers = _field_readers(cls)
    for field_definition, reader, value in zip(
        field_definitions, readers, fields, strict=False
    ):
        values_by_name[field_definition.name] = (
            reader(value) if reader else value
        )
    return values_by_name


@functools.cache
def _field_readers(cls: type) -> list[Callable[[Any], Any] | None]:
    hints = typing.get_type_hints(cls)
    return [
        _field_reader(hints[field.name]) for field in dataclasses.fields(cls)
    ]


def _field_reader(hint: Any) -> Callable[[Any], Any] | None:
    """Return a reader for a field that holds data classes, else None."""
    if isinstance(hint, type) and dataclasses.is_dataclass(hint):
        return lambda value: _name_fields(hint, value)
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin in (types.UnionType, typing.Union):
        readers = [_field_reader(argument) for argument in arguments]
        reader = next((item for item in readers if item), None)
        if reader is None:
            return None
        return lambda value: None if value is None else reader(value)
    if origin is tuple and len(arguments) == 2 and arguments[1] is Ellipsis:
        reader = _field_reader(arguments[0])
        if reader is None:
            return None
        return lambda value: _read_items(reader, value)
    return None


def _read_items(reader: Callable[[Any], Any], value: Any) -> Any:
    if not isinstance(value, tuple):
        raise errors.FrameDecodeError("expected an array")
    return tuple(reader(item) for item in value)
