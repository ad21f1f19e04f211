"""The generated readers of messages against pydantic's validation."""

import dataclasses
import enum
import typing
from typing import Any

import hypothesis
from hypothesis import strategies as st
import msgpack
import pydantic
import pytest

from monsoonpass import codec
from monsoonpass import errors
from monsoonpass import message_functions
from monsoonpass.core import reducer
from monsoonpass.core.calls import call_messages
from monsoonpass.core.calls import outcome
from monsoonpass.formats import handshake

assert reducer  # Imported for the messages that it registers.
assert handshake  # Imported for the messages that it registers.

CLASSES = sorted(codec._types.values(), key=lambda cls: cls.__name__)
# Values that pydantic converts to some field types, and refuses for others.
OTHER_VALUES = (
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False)
    | st.sampled_from(["", "1", "true", "1.5", "alive", "\u00e9"])
    | st.sampled_from([b"", b"1", b"\xff"])
    | st.tuples(st.integers(0, 3))
    | st.tuples(st.binary(max_size=2), st.binary(max_size=2))
    | st.dictionaries(st.text(max_size=2), st.booleans(), max_size=2)
)
SCALARS = {
    int: st.integers(0, 2**63),
    float: st.floats(allow_nan=False),
    bool: st.booleans(),
    str: st.text(max_size=3),
    bytes: st.binary(max_size=3),
}


def draw_fields(draw: st.DrawFn, cls: type) -> tuple[Any, ...]:
    """Draw an array of fields as `pack` writes them for a valid instance."""
    hints = typing.get_type_hints(cls)
    fields = dataclasses.fields(cls)
    values = [draw_value(draw, hints[field.name]) for field in fields]
    for field in reversed(message_functions._appended_fields(cls)):
        if values[-1] != field.default:
            break
        values.pop()
    return tuple(values)


def draw_value(draw: st.DrawFn, hint: Any) -> Any:
    if dataclasses.is_dataclass(hint):
        return draw_fields(draw, hint)
    arguments = typing.get_args(hint)
    if typing.get_origin(hint) is tuple:
        if arguments[1:] == (...,):
            count = draw(st.integers(0, 2))
            arguments = (arguments[0],) * count
        return tuple(draw_value(draw, argument) for argument in arguments)
    if arguments:
        return draw_value(draw, draw(st.sampled_from(arguments)))
    if hint is type(None):
        return None
    if issubclass(hint, enum.Enum):
        return draw(st.sampled_from([item.value for item in hint]))
    return draw(SCALARS[hint])


def replace_one(draw: st.DrawFn, value: tuple[Any, ...]) -> tuple[Any, ...]:
    """Replace one value of an array, or of an array in it."""
    if not value:
        return value
    position = draw(st.integers(0, len(value) - 1))
    old = value[position]
    if isinstance(old, tuple) and old and draw(st.booleans()):
        new = replace_one(draw, old)
    else:
        new = draw(OTHER_VALUES)
    return (*value[:position], new, *value[position + 1 :])


def validated(cls: type, fields: tuple[Any, ...]) -> Any:
    """Return what pydantic makes of the fields, or the error's class."""
    try:
        named = codec._name_fields(cls, fields)
        return codec._type_adapter(cls).validate_python(named)
    except (errors.FrameDecodeError, pydantic.ValidationError):
        return errors.FrameDecodeError


def decoded(cls: type, fields: tuple[Any, ...]) -> Any:
    data = msgpack.packb([codec._tags[cls], *fields])
    try:
        return codec.decode(data)
    except errors.FrameDecodeError:
        return errors.FrameDecodeError


def with_types(value: Any) -> Any:
    """Return a value with the types of all its parts, for comparison."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        names = [field.name for field in dataclasses.fields(value)]
        parts = [with_types(getattr(value, name)) for name in names]
        return type(value), tuple(parts)
    if isinstance(value, tuple):
        return tuple, tuple(with_types(item) for item in value)
    return type(value), value


@pytest.mark.parametrize("cls", CLASSES, ids=lambda cls: cls.__name__)
class TestAllMessages:
    @hypothesis.given(data=st.data())
    @hypothesis.settings(max_examples=10)
    def test_valid_fields_need_no_pydantic(self, cls, data):
        """A field type unknown to the generator would cost pydantic's time.

        Guard: the branches of `_add_check` and `_make_check`.
        """
        fields = draw_fields(data.draw, cls)
        made = message_functions.reader(cls)(fields)
        assert with_types(made) == with_types(validated(cls, fields))
        assert codec.decode(codec.encode(made)) == made
        assert codec.encode(made) == msgpack.packb([codec._tags[cls], *fields])

    @hypothesis.given(data=st.data())
    @hypothesis.settings(max_examples=20)
    def test_other_values_are_converted_and_refused_as_by_pydantic(
        self, cls, data
    ):
        """A peer could pass a field of another type to the reducer.

        Guard: each type check in the generated readers.
        """
        fields = replace_one(data.draw, draw_fields(data.draw, cls))
        expected = with_types(validated(cls, fields))
        assert with_types(decoded(cls, fields)) == expected

    @hypothesis.given(data=st.data())
    @hypothesis.settings(max_examples=5)
    def test_missing_and_appended_fields_are_as_for_pydantic(self, cls, data):
        """A peer of an older build omits fields, a newer one appends some.

        Guard: the comparisons of the number of fields in `_make_reader`.
        """
        fields = draw_fields(data.draw, cls)
        defaults = [field.default for field in dataclasses.fields(cls)]
        padded = (*fields, *defaults[len(fields) :])
        for changed in (fields[:-1], padded, (*padded, "appended")):
            expected = with_types(validated(cls, changed))
            assert with_types(decoded(cls, changed)) == expected


class TestReader:
    def test_array_of_two_bytes_is_not_taken_for_a_header(self):
        """A value of two items unpacks like a pair of name and value.

        Guard: the check for a tuple in `_make_check`.
        """
        read = message_functions.reader(call_messages.AnswerHead)
        load = (1, 0, 0, 0.5)
        for header in (b"ab", "ab", {b"a": 1, b"b": 2}, [b"a", b"b"]):
            fields = (7, 200, (header,), load, b"", True, b"")
            with pytest.raises(message_functions.InexactFieldsError):
                read(fields)

    def test_integer_in_a_field_of_floats_becomes_a_float(self):
        read = message_functions.reader(outcome.Load)
        assert type(read((1, 0, 0, 2)).service_time_s) is float
        with pytest.raises(message_functions.InexactFieldsError):
            read((1, 0, 0, 2**53 + 1))
