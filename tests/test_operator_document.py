"""Validation and rendering of the operator document."""

import json

import pytest

from monsoonpass import errors
from monsoonpass.formats import operator_document


def make_document(**changes):
    """Return a valid document: one route to a service, one split in parts."""
    split_route = {
        "name": "canary",
        "host": "shop.example",
        "path": "/pay/",
        "kind": "once",
        "deadline_s": 0.8,
        "objective_s": 0.4,
        "priority": 0,
        "attempts_max": 2,
        "parts": [
            {"service": "shop", "weight": 90},
            {"service": "pay", "weight": 10},
        ],
    }
    plain_route = {
        **split_route,
        "name": "lots",
        "path": "/lots/",
        "kind": "idempotent",
        "service": "shop",
        "note": "kept as it is",
    }
    del plain_route["parts"]
    document = {
        "version": 7,
        "routes": [plain_route, split_route],
        "services": [
            {"name": "shop", "health_path": "/h", "connections_max": 12},
            {
                "name": "pay",
                "health_path": "/h",
                "connections_max": 12,
                "tls": False,
            },
        ],
        "limits": {
            "header_max_bytes": 16384,
            "body_max_bytes": 1048576,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
    }
    return {**document, **changes}


def compile_json(document):
    return operator_document.compile_document(json.dumps(document).encode())


class TestDocument:
    def test_rendered_document_equals_the_submitted_one(self):
        document = make_document()
        catalog = compile_json(document)
        assert json.loads(operator_document.render(catalog)) == document

    @pytest.mark.parametrize(
        "introduce_fault",
        [
            lambda d: d["routes"][0].update(service="nowhere"),
            lambda d: d["routes"][0].update(path="/pay/"),
            lambda d: d["routes"][0].update(attempts_max=0),
            lambda d: d["routes"][0].update(host=""),
            lambda d: d["routes"][0].update(kind="sometimes"),
            lambda d: d["routes"][0].pop("deadline_s"),
            lambda d: d["routes"][0].pop("service"),
            lambda d: d["routes"][1]["parts"][0].pop("weight"),
            lambda d: d["routes"][1].update(service="shop"),
            lambda d: d["services"].append(d["services"][0]),
            lambda d: d.pop("limits"),
            lambda d: d.update(version="8"),
            lambda d: d.update(version=0),
        ],
    )
    def test_invalid_document_is_refused(self, introduce_fault):
        document = make_document()
        introduce_fault(document)
        with pytest.raises(errors.OperatorTextError):
            compile_json(document)

    @pytest.mark.parametrize("number", ["1e400", "1" + "0" * 30, "-1"])
    @pytest.mark.parametrize(
        "place",
        [
            ("services", 0, "connections_max"),
            ("limits", "body_max_bytes"),
            ("limits", "header_max_bytes"),
            ("limits", "idle_timeout_s"),
            ("routes", 0, "deadline_s"),
            ("routes", 0, "priority"),
            ("routes", 1, "parts", 0, "weight"),
            ("version",),
        ],
    )
    def test_number_out_of_range_is_refused_by_its_place(self, place, number):
        """Guards against a closed connection in place of an answer."""
        document = make_document()
        item = document
        for key in place[:-1]:
            item = item[key]
        item[place[-1]] = "@"
        data = json.dumps(document).replace('"@"', number).encode()
        with pytest.raises(errors.OperatorTextError) as error_info:
            operator_document.compile_document(data)
        location = ".".join(str(key) for key in place)
        assert [issue.location for issue in error_info.value.issues] == [
            location
        ]

    @pytest.mark.parametrize("place", ["routes", "services", "limits"])
    def test_extra_field_that_json_cannot_carry_is_refused(self, place):
        """Guards against a document that cannot be read back."""
        document = make_document()
        item = document[place]
        if place != "limits":
            item = item[0]
        item["extra"] = "@"
        data = json.dumps(document).replace('"@"', "1e400").encode()
        with pytest.raises(errors.OperatorTextError):
            operator_document.compile_document(data)

    def test_truncated_document_is_refused(self):
        data = json.dumps(make_document()).encode()
        for size in range(0, len(data), 97):
            with pytest.raises(errors.OperatorTextError):
                operator_document.compile_document(data[:size])
