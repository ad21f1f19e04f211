"""Generates the functions that read and write the fields of message classes.

Validating a message through pydantic costs several times as much as checking
the types of its fields, and a validator takes 1 to 3 ms to build. The function
generated for a class therefore accepts only fields that already have the exact
types of the annotations, which is what `pack` writes. For all others it raises
`InexactFieldsError`, and the caller validates them with pydantic, which
converts or refuses them.
"""

import dataclasses
import enum
import types
import typing
from typing import Any

EXACT_TYPES = (int, str, bytes, bool)
# Above it, not every integer has an equal float.
EXACT_FLOAT_MAX = 2**53
# Metadata of fields that `pack` leaves out while they have their defaults.
IS_APPENDED = "monsoonpass_is_appended"

Read = typing.Callable[[Any], Any]
Pack = typing.Callable[[Any], list[Any]]


class InexactFieldsError(Exception):
    """A field is missing or does not have exactly the annotated type."""


class _Source:
    """Source of one generated function, and the names that it refers to."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.names: dict[str, Any] = {
            "Inexact": InexactFieldsError,
            "as_float": _as_float,
            "to_plain": to_plain,
        }

    def bind(self, value: Any) -> str:
        """Return a name that refers to a value."""
        name = f"bound_{len(self.names)}"
        self.names[name] = value
        return name

    def compile(self, function_name: str) -> Any:
        exec("\n".join(self.lines), self.names)
        return self.names[function_name]


_readers: dict[type, Read] = {}
_packers: dict[type, Pack] = {}


def reader(cls: type) -> Read:
    """Return the function that reads an instance of a data class.

    Args:
        cls: The data class.

    Returns:
        A function of an array of fields, which raises `InexactFieldsError` if
        they need validation.
    """
    found = _readers.get(cls)
    if found is None:
        found = _readers[cls] = _make_reader(cls)
    return found


def packer(cls: type) -> Pack:
    """Return the function that lists the fields of a data class instance."""
    found = _packers.get(cls)
    if found is None:
        found = _packers[cls] = _make_packer(cls)
    return found


def to_plain(value: Any) -> Any:
    """Return a value with data classes replaced by lists of their fields."""
    if dataclasses.is_dataclass(value):
        return packer(type(value))(value)
    if isinstance(value, tuple):
        return [to_plain(item) for item in value]
    return value


def _make_reader(cls: type) -> Read:
    hints = typing.get_type_hints(cls)
    names = [field.name for field in dataclasses.fields(cls)]
    defaults = tuple(field.default for field in _appended_fields(cls))
    source = _Source()
    source.lines = [
        "def read(fields):",
        "    if type(fields) is not tuple: raise Inexact",
    ]
    if names:
        unpacked = "".join(f"v_{name}, " for name in names)
        fixed_count = len(names) - len(defaults)
        source.lines += [
            f"    if len(fields) == {len(names)}: {unpacked} = fields",
            f"    elif len(fields) > {len(names)}:",
            f"        {unpacked} = fields[:{len(names)}]",
            f"    elif len(fields) >= {fixed_count}:",
            f"        {unpacked} = fields + "
            f"{source.bind(defaults)}[len(fields) - {fixed_count}:]",
            "    else: raise Inexact",
        ]
    for name in names:
        _add_check(source, f"v_{name}", hints[name], "    ")
    arguments = ", ".join(f"{name}=v_{name}" for name in names)
    source.lines.append(f"    return {source.bind(cls)}({arguments})")
    return source.compile("read")


def _add_check(source: _Source, variable: str, hint: Any, indent: str) -> None:
    """Add the lines that check a variable against a type annotation."""
    if hint in EXACT_TYPES:
        source.lines.append(
            f"{indent}if type({variable}) is not {hint.__name__}: raise Inexact"
        )
    elif hint is float:
        source.lines.append(
            f"{indent}if type({variable}) is not float: "
            f"{variable} = as_float({variable})"
        )
    elif (item_hint := _optional_hint(hint)) is not None:
        source.lines.append(f"{indent}if {variable} is not None:")
        _add_check(source, variable, item_hint, indent + "    ")
    else:
        check = source.bind(_make_check(hint))
        source.lines.append(f"{indent}{variable} = {check}({variable})")


def _make_check(hint: Any) -> Read:
    """Return a function that returns a value read as a type annotation."""
    if isinstance(hint, type) and dataclasses.is_dataclass(hint):
        return reader(hint)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _make_enum_check(hint)
    source = _Source()
    arguments = typing.get_args(hint)
    if typing.get_origin(hint) is not tuple:
        source.lines = ["def check(value):"]
        if hint in EXACT_TYPES or hint is float:
            _add_check(source, "value", hint, "    ")
            source.lines.append("    return value")
        else:
            source.lines.append("    raise Inexact")
    elif len(arguments) == 2 and arguments[1] is Ellipsis:
        check = source.bind(_make_check(arguments[0]))
        source.lines = [
            "def check(value):",
            "    if type(value) is not tuple: raise Inexact",
            f"    return tuple([{check}(item) for item in value])",
        ]
        if arguments[0] in EXACT_TYPES:
            source.lines[2:] = [
                "    for item in value:",
                f"        if type(item) is not {arguments[0].__name__}:",
                "            raise Inexact",
                "    return value",
            ]
    else:
        names = [f"v_{number}" for number in range(len(arguments))]
        source.lines = [
            "def check(value):",
            "    if type(value) is not tuple: raise Inexact",
            f"    if len(value) != {len(arguments)}: raise Inexact",
        ]
        source.lines += [f"    {', '.join(names)}, = value"] if names else []
        for name, argument in zip(names, arguments, strict=True):
            _add_check(source, name, argument, "    ")
        is_unchanged = all(argument in EXACT_TYPES for argument in arguments)
        made = "value" if is_unchanged else f"({', '.join(names)},)"
        source.lines.append(f"    return {made}")
    return source.compile("check")


def _make_enum_check(cls: type[enum.Enum]) -> Read:
    members = {item.value: item for item in cls}
    value_types = {type(value) for value in members}

    def check(value: Any) -> Any:
        # Enums with values of several types are left to pydantic.
        if value_types != {type(value)} or value not in members:
            raise InexactFieldsError
        return members[value]

    return check


def _as_float(value: Any) -> float:
    if type(value) is not int or abs(value) > EXACT_FLOAT_MAX:
        raise InexactFieldsError
    return float(value)


def _optional_hint(hint: Any) -> Any:
    """Return X for the annotation `X | None`, and None for any other."""
    if typing.get_origin(hint) not in (types.UnionType, typing.Union):
        return None
    arguments = typing.get_args(hint)
    if len(arguments) != 2 or type(None) not in arguments:
        return None
    return arguments[0] if arguments[1] is type(None) else arguments[1]


def _make_packer(cls: type) -> Pack:
    hints = typing.get_type_hints(cls)
    source = _Source()
    values = [
        _pack_expression(source, f"item.{field.name}", hints[field.name])
        for field in dataclasses.fields(cls)
    ]
    source.lines = ["def pack(item):"]
    for field in reversed(_appended_fields(cls)):
        default = source.bind(field.default)
        source.lines += [
            f"    if item.{field.name} != {default}:",
            f"        return [{', '.join(values)}]",
        ]
        values.pop()
    source.lines.append(f"    return [{', '.join(values)}]")
    return source.compile("pack")


def _appended_fields(cls: type) -> list[dataclasses.Field]:
    """Return the last fields that are left out while they have defaults."""
    fields = list(dataclasses.fields(cls))
    first = len(fields)
    while first and fields[first - 1].metadata.get(IS_APPENDED):
        first -= 1
    return fields[first:]


def _pack_expression(source: _Source, value: str, hint: Any) -> str:
    """Return the expression that turns a value into what msgpack packs."""
    if _is_plain(hint):
        return value
    if isinstance(hint, type) and dataclasses.is_dataclass(hint):
        pack, cls = source.bind(packer(hint)), source.bind(hint)
        return (
            f"{pack}({value}) if type({value}) is {cls} else to_plain({value})"
        )
    arguments = typing.get_args(hint)
    is_list = typing.get_origin(hint) is tuple and arguments[1:] == (...,)
    if is_list and dataclasses.is_dataclass(arguments[0]):
        pack, cls = source.bind(packer(arguments[0])), source.bind(arguments[0])
        return (
            f"[{pack}(x) if type(x) is {cls} else to_plain(x) for x in {value}]"
        )
    return f"to_plain({value})"


def _is_plain(hint: Any) -> bool:
    """Return whether msgpack packs values of a type as they are."""
    if hint in EXACT_TYPES or hint is float:
        return True
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return True
    arguments = typing.get_args(hint)
    return typing.get_origin(hint) is tuple and all(
        argument is Ellipsis or _is_plain(argument) for argument in arguments
    )
