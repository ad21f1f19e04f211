"""Tests of immutable data classes."""

import dataclasses
import importlib
import os

import pytest

from monsoonpass import immutable


@immutable.dataclass
class Point:
    """A point with a default."""

    x: int
    y: int = 2


@immutable.dataclass
class Empty:
    """A class without fields."""


class TestDataclass:
    def test_equal_values_are_equal_and_have_one_hash(self):
        assert Point(x=1) == Point(x=1, y=2)
        assert hash(Point(x=1)) == hash(Point(x=1, y=2))
        assert Point(x=1) != Point(x=2)
        assert Empty() == Empty()
        assert len({Empty(), Empty()}) == 1

    def test_other_classes_with_equal_values_are_not_equal(self):
        @immutable.dataclass
        class Other:
            x: int
            y: int = 2

        assert Point(x=1) != Other(x=1)

    def test_fields_may_be_left_out_of_comparisons(self):
        @immutable.dataclass
        class Noted:
            x: int
            note: str = dataclasses.field(default="", compare=False)

        assert Noted(x=1, note="a") == Noted(x=1, note="b")
        assert hash(Noted(x=1, note="a")) == hash(Noted(x=1, note="b"))

    def test_display_names_class_and_fields(self):
        assert repr(Point(x=1)) == "Point(x=1, y=2)"
        assert repr(Empty()) == "Empty()"

    def test_functions_of_dataclasses_accept_it(self):
        assert dataclasses.replace(Point(x=1), y=5) == Point(x=1, y=5)
        assert [f.name for f in dataclasses.fields(Point)] == ["x", "y"]

    def test_only_keywords_are_accepted(self):
        with pytest.raises(TypeError):
            Point(1)

    def test_change_of_an_object_is_an_error_in_tests(self):
        with pytest.raises(dataclasses.FrozenInstanceError):
            Point(x=1).x = 3

    def test_classes_behave_alike_without_the_check(self, monkeypatch):
        """Nodes run without the check; only the refusal of changes differs."""
        monkeypatch.setitem(os.environ, immutable.CHECK_VARIABLE, "0")
        try:
            unchecked = importlib.reload(immutable)

            @unchecked.dataclass
            class Plain:
                x: int

            assert Plain(x=1) == Plain(x=1)
            assert hash(Plain(x=1)) == hash(Plain(x=1))
            assert not hasattr(Plain(x=1), "__dict__")
            assert dataclasses.replace(Plain(x=1), x=2).x == 2
        finally:
            monkeypatch.undo()
            importlib.reload(immutable)
