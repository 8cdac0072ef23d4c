"""Encodes messages as CBOR arrays and validates received ones.

A message is a frozen dataclass declared with `message` and a tag number that must
not change between releases. On the wire it is an array of the tag followed by the
field values in order. New fields are added at the end with a default, so that
processes one release older or newer can still decode the message.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, fields
from functools import cache
from typing import Any, TypeVar

import cbor2
from pydantic import TypeAdapter, ValidationError
from pydantic_core import ArgsKwargs

from ..errors import DecodeError

__all__ = ["decode", "encode", "from_array", "message", "to_array"]

_Class = TypeVar("_Class", bound=type)
_classes: dict[int, type] = {}
_tags: dict[type, int] = {}


def message(tag: int) -> Callable[[_Class], _Class]:
    """Declare a frozen dataclass as a message with a unique tag.

    Examples
    --------
    >>> @message(9_999)
    ... class Ping:
    ...     sent_at_ms: int
    >>> decode(encode(Ping(5)))
    Ping(sent_at_ms=5)
    """

    def register(cls: _Class) -> _Class:
        declared = dataclass(frozen=True, slots=True)(cls)
        if tag in _classes:
            raise ValueError(f"tag {tag} is taken by {_classes[tag].__name__}")
        _classes[tag] = declared
        _tags[declared] = tag
        return declared

    return register


@cache
def _field_names(cls: type) -> tuple[str, ...]:
    return tuple(field.name for field in fields(cls))


@cache
def _adapter(cls: type) -> TypeAdapter[Any]:
    return TypeAdapter(cls)


def to_array(value: Any) -> list[Any]:
    """Return the array that represents a message on the wire."""
    cls = type(value)
    return [_tags[cls], *(getattr(value, name) for name in _field_names(cls))]


def from_array(array: Any) -> Any:
    """Return the message that an array represents; raises `DecodeError`."""
    if not isinstance(array, list) or not array or not isinstance(array[0], int):
        raise DecodeError("a message is an array that begins with its tag")
    cls = _classes.get(array[0])
    if cls is None:
        raise DecodeError(f"unknown message tag {array[0]}")
    known = array[1 : len(_field_names(cls)) + 1]
    try:
        return _adapter(cls).validate_python(ArgsKwargs(tuple(known)))
    except ValidationError as error:
        raise DecodeError(f"{cls.__name__}: {error.error_count()} findings") from error


def encode(value: Any) -> bytes:
    """Encode a message as CBOR bytes."""
    return cbor2.dumps(to_array(value))


def decode(data: bytes) -> Any:
    """Decode a message from CBOR bytes; raises `DecodeError`."""
    return from_array(load_cbor(data))


def load_cbor(data: bytes) -> Any:
    """Decode a value from CBOR bytes; raises `DecodeError`."""
    try:
        return cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError, OverflowError) as error:
        raise DecodeError(f"not CBOR: {error}") from error
