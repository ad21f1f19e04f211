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


def make_workspaces():
    """Return two valid workspaces, in the order of their names."""
    return [
        {
            "name": "alpha",
            "keys": ["key-0", "key-1"],
            "priority": 0,
            "rate_per_s": 12.5,
            "burst": 20,
            "contact": {"kept": ["as it is"]},
        },
        {
            "name": "beta",
            "keys": ["key-b"],
            "priority": None,
            "rate_per_s": None,
            "burst": 0,
        },
    ]


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


class TestWorkspaces:
    """Workspaces of the document, and the faults for which it is refused."""

    def test_rendered_document_equals_the_submitted_one(self):
        """Guards against a field that is lost on its way to the operator.

        Guard: `_render_workspace`, and `public` in `_render_route`.
        """
        document = make_document(workspaces=make_workspaces())
        document["routes"][0]["public"] = True
        document["routes"][1]["public"] = False
        catalog = compile_json(document)
        assert json.loads(operator_document.render(catalog)) == document
        assert catalog.routes[0].public
        assert not catalog.routes[1].public

    def test_missing_fields_have_defaults(self):
        """Guards against a limit or a fault where the document sets none."""
        workspaces = [{"name": "a"}]
        workspace = compile_json(
            make_document(workspaces=workspaces)
        ).workspaces["a"]
        assert workspace.keys == ()
        assert workspace.priority is None
        assert not workspace.rate_per_s
        assert workspace.burst == 0

    def test_empty_list_equals_no_list(self):
        catalog = compile_json(make_document(workspaces=[]))
        assert catalog.digest == compile_json(make_document()).digest
        assert json.loads(operator_document.render(catalog)) == make_document()

    def test_workspace_may_repeat_its_own_key(self):
        workspaces = [{"name": "a", "keys": ["k", "k"]}]
        catalog = compile_json(make_document(workspaces=workspaces))
        assert catalog.find_workspace(b"k").name == "a"

    @pytest.mark.parametrize(
        ("change", "location"),
        [
            ({"keys": ["key-b"]}, "workspaces"),
            ({"keys": ["key-0", "key-b"]}, "workspaces"),
            ({"name": "beta"}, "workspaces"),
            ({"name": ""}, "workspaces.0.name"),
            ({"name": None}, "workspaces.0.name"),
            ({"name": "a\r\nx-forged: 1"}, "workspaces.0.name"),
            ({"name": "a "}, "workspaces.0.name"),
            ({"keys": [""]}, "workspaces.0.keys.0"),
            ({"keys": ["key-0", " "]}, "workspaces.0.keys.1"),
            ({"keys": ["key\n0"]}, "workspaces.0.keys.0"),
            ({"keys": [7]}, "workspaces.0.keys.0"),
            ({"keys": None}, "workspaces.0.keys"),
            ({"keys": "key-0"}, "workspaces.0.keys"),
            ({"priority": -1}, "workspaces.0.priority"),
            ({"priority": 1.5}, "workspaces.0.priority"),
            ({"priority": "high"}, "workspaces.0.priority"),
            ({"rate_per_s": -1}, "workspaces.0.rate_per_s"),
            ({"rate_per_s": "fast"}, "workspaces.0.rate_per_s"),
            ({"burst": -1}, "workspaces.0.burst"),
            ({"burst": None}, "workspaces.0.burst"),
        ],
    )
    def test_invalid_workspace_is_refused_without_showing_a_key(
        self, change, location
    ):
        """Guards against keys that two workspaces share, and forged headers.

        Guard: `_check_workspaces` and `_check_header_value`.
        """
        document = make_document(workspaces=make_workspaces())
        document["workspaces"][0].update(change)
        with pytest.raises(errors.OperatorTextError) as error_info:
            compile_json(document)
        issues = error_info.value.issues
        assert {issue.location for issue in issues} == {location}
        for key in ("key-0", "key-b"):
            assert key not in str(error_info.value)

    @pytest.mark.parametrize("workspaces", [{}, "a", [1], [{"keys": []}], None])
    def test_workspaces_of_another_type_are_refused(self, workspaces):
        with pytest.raises(errors.OperatorTextError):
            compile_json(make_document(workspaces=workspaces))

    @pytest.mark.parametrize("public", ["yes", 1, None])
    def test_route_that_is_unclearly_public_is_refused(self, public):
        """Guard: `pydantic.Strict` of `public` in RouteModel."""
        document = make_document()
        document["routes"][0]["public"] = public
        with pytest.raises(errors.OperatorTextError):
            compile_json(document)

    def test_name_that_cannot_be_encoded_is_refused(self):
        """Guards against a lone surrogate, which no header can carry."""
        data = json.dumps(
            make_document(workspaces=[{"name": "\ud800", "keys": []}])
        ).encode()
        with pytest.raises(errors.OperatorTextError):
            operator_document.compile_document(data)
