"""Immutable data classes that are cheap to define and to create.

A node defines some 180 of them at each start. What `dataclasses.dataclass`
compiles for each frozen class takes a fifth of the start, and a frozen class
takes longer to create than a plain one. These classes therefore share their
methods for comparison, hashing and display. That an object is never changed is
left to type checkers and, with the environment variable `CHECK_VARIABLE` set
to 1, as in the tests, to frozen classes.
"""

import dataclasses
import operator
import os
import typing
from typing import Any

CHECK_VARIABLE = "MONSOONPASS_CHECK_IMMUTABLE"
T = typing.TypeVar("T")
_IS_CHECKED = os.environ.get(CHECK_VARIABLE) == "1"


@typing.dataclass_transform(kw_only_default=True, frozen_default=True)
def dataclass(cls: type[T]) -> type[T]:
    """Turn a class into an immutable data class with keyword-only fields."""
    made = dataclasses.dataclass(
        kw_only=True, slots=True, eq=False, repr=False, frozen=_IS_CHECKED
    )(cls)
    names = [f.name for f in dataclasses.fields(made) if f.compare]
    made._values = operator.attrgetter(*names) if names else _no_values
    made.__eq__ = _equal
    made.__hash__ = _hash
    made.__repr__ = _display
    return made


def _no_values(item: Any) -> None:
    return None


def _equal(self: Any, other: object) -> Any:
    if other.__class__ is not self.__class__:
        return NotImplemented
    get_values = self.__class__._values
    return get_values(self) == get_values(other)


def _hash(self: Any) -> int:
    return hash(self.__class__._values(self))


def _display(self: Any) -> str:
    values = ", ".join(
        f"{field.name}={getattr(self, field.name)!r}"
        for field in dataclasses.fields(self)
    )
    return f"{self.__class__.__qualname__}({values})"
