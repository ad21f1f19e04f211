"""Tests of workspaces: their distribution, keys, ranks and headers."""

import dataclasses

import pytest

from monsoonpass import codec
from monsoonpass import errors
from monsoonpass.core import effects
from monsoonpass.core.calls import call_messages
from monsoonpass.core.calls import outcome
from monsoonpass.core.calls import owner_call as owner_call_lib
from monsoonpass.core.distribution import catalog as catalog_lib
from monsoonpass.core.distribution import host_route
from monsoonpass.formats import header_names
from monsoonpass.runtime import caller_http
from tests import fake_calls
from tests import fake_mesh
from tests import test_operator_document


def make_workspace(name: str, *keys: str, **fields) -> catalog_lib.Workspace:
    return catalog_lib.Workspace(name=name, keys=keys, **fields)


def make_catalog(
    version: int, *workspaces: catalog_lib.Workspace
) -> catalog_lib.Catalog:
    """Return a configuration with one service and workspaces."""
    return catalog_lib.Catalog(
        version=version,
        services=fake_mesh.make_catalog(version, "shop").services,
        workspaces=workspaces,
    )


def hex_digest(data: bytes) -> str:
    return codec.digest_bytes(data).hex()


class TestUnchangedEncoding:
    """The expected values come from the build before workspaces."""

    def test_configuration_without_workspaces_is_encoded_as_before(self):
        """Guards against a digest that nodes of an earlier build refuse.

        Guard: `codec._packer_without_defaults`, and `workspace_marker` in
        catalog._content_digest.
        """
        document = test_operator_document.make_document()
        old = test_operator_document.compile_json(document)
        document = test_operator_document.make_document(version=8)
        document["routes"][1]["priority"] = 3
        document["services"][0]["connections_max"] = 13
        new = test_operator_document.compile_json(document)
        assert old.digest.hex() == "27e0d114ae136f52b688542f058cdce7"
        assert new.digest.hex() == "61b415dce41c120dd6ee89da08950d43"
        snapshot = codec.encode(old.snapshot())
        assert hex_digest(snapshot) == "e03998e5222b5b84c6318831bb32ca6b"
        delta = codec.encode(old.delta_to(new))
        assert hex_digest(delta) == "da0a0523d193647a5938120f45419b66"

    def test_call_without_workspace_is_encoded_as_before(self):
        """Guards against a field that each call would pay for.

        Guard: `codec._packer_without_defaults`.
        """
        message = call_messages.CallOpen(
            call=7,
            service="shop",
            method="GET",
            target=b"/lots/",
            headers=((b"host", b"shop.example"),),
            route="lots",
            timeout_s=0.5,
            priority=2,
            bulk=False,
            reroutable=True,
            body=b"",
            ended=True,
            traceparent="",
            idempotent=True,
            objective_s=0.25,
        )
        assert codec.encode(message).hex() == (
            "dc00106407a473686f70a3474554c4062f6c6f74732f9192c404686f7374c40c"
            "73686f702e6578616d706c65a46c6f7473cb3fe000000000000002c2c3c400c3"
            "a0c3cb3fd0000000000000"
        )


class TestDistribution:
    def test_snapshot_carries_workspaces(self):
        """Guard: `workspaces=` in Catalog.snapshot and from_snapshot."""
        catalog = make_catalog(
            1,
            make_workspace("b", "kb", rate_per_s=5.0, burst=2.0),
            make_workspace("a", "ka1", "ka2", priority=0, extra_json='{"x":1}'),
        )
        snapshot = codec.decode(codec.encode(catalog.snapshot()))
        result = catalog_lib.from_snapshot(snapshot)
        assert result.workspaces == catalog.workspaces
        assert list(result.workspaces) == ["a", "b"]

    def test_delta_carries_only_the_workspaces_that_changed(self):
        """Guards against a change that resends all workspaces.

        Guard: the comparison for `workspaces_changed` in Catalog.delta_to.
        """
        kept = [make_workspace(f"w{n}", f"k{n}") for n in range(70)]
        old = make_catalog(1, *kept, make_workspace("x", "x1"))
        new = make_catalog(
            2, *kept, make_workspace("y", "y1"), make_workspace("z")
        )
        delta = codec.decode(codec.encode(old.delta_to(new)))
        assert [w.name for w in delta.workspaces_changed] == ["y", "z"]
        assert delta.workspaces_removed == ("x",)
        result = old.apply(delta)
        assert result.workspaces == new.workspaces
        assert result.digest == new.digest

    def test_last_workspace_can_be_removed(self):
        old = make_catalog(1, make_workspace("a", "k"))
        new = make_catalog(2)
        result = old.apply(codec.decode(codec.encode(old.delta_to(new))))
        assert not result.workspaces
        assert result.digest == fake_mesh.make_catalog(2, "shop").digest

    @pytest.mark.parametrize(
        "change",
        [
            {"name": "b"},
            {"keys": ("other",)},
            {"priority": 1},
            {"rate_per_s": 9.0},
            {"burst": 9.0},
            {"extra_json": "{}"},
        ],
    )
    def test_digest_covers_each_field_of_a_workspace(self, change):
        """Guards against a change that no node would notice.

        Guard: the workspaces' digests in catalog._content_digest.
        """
        workspace = make_workspace("a", "k")
        changed = dataclasses.replace(workspace, **change)
        digest = make_catalog(1, workspace).digest
        assert make_catalog(1, changed).digest != digest
        snapshot = make_catalog(1, workspace).snapshot()
        damaged = dataclasses.replace(snapshot, workspaces=(changed,))
        with pytest.raises(errors.DigestMismatchError):
            catalog_lib.from_snapshot(damaged)

    def test_keys_are_not_displayed(self):
        """Guards against keys in logs, in messages that show a value.

        Guard: `repr=False` in catalog.Workspace, and codec._describe.
        """
        workspace = make_workspace("a", "secret-key")
        snapshot = make_catalog(1, workspace).snapshot()
        assert "secret-key" not in repr(snapshot)
        damaged = dataclasses.replace(workspace, keys=("secret-key", 3))
        data = codec.encode(
            dataclasses.replace(snapshot, workspaces=(damaged,))
        )
        with pytest.raises(errors.FrameDecodeError) as error_info:
            codec.decode(data)
        assert "workspaces.0.keys.1" in str(error_info.value)
        damaged = dataclasses.replace(workspace, keys="secret-key")
        data = codec.encode(
            dataclasses.replace(snapshot, workspaces=(damaged,))
        )
        with pytest.raises(errors.FrameDecodeError) as error_info:
            codec.decode(data)
        assert "secret-key" not in str(error_info.value)

    def test_one_changed_workspace_costs_few_bytes(self):
        """Guards against a delta that grows with the configuration.

        Guard: the comparison for `workspaces_changed` in Catalog.delta_to, and
        the shared objects, whose digests are known, in Catalog.apply.
        """
        services = fake_mesh.make_catalog(1, "shop").services
        routes = tuple(
            make_route(name=f"r{n}", path=f"/{n}/") for n in range(1400)
        )
        workspaces = [
            make_workspace(f"workspace-{n}", f"key-{n}" * 4) for n in range(72)
        ]
        old = catalog_lib.Catalog(
            version=1, services=services, routes=routes, workspaces=workspaces
        )
        workspaces[7] = dataclasses.replace(workspaces[7], rate_per_s=9.0)
        new = catalog_lib.Catalog(
            version=2, services=services, routes=routes, workspaces=workspaces
        )
        delta = old.delta_to(new)
        assert len(delta.packed) < 256
        result = old.apply(delta)
        for name in old.workspaces:
            is_kept = result.workspaces[name] is old.workspaces[name]
            assert is_kept == (name != "workspace-7")


def make_route(**changes) -> host_route.HostRoute:
    """Return an idempotent route of host "mall" to service "shop"."""
    fields = {
        "name": "lots",
        "host": "mall",
        "path": "/lots/",
        "kind": host_route.RouteKind.IDEMPOTENT,
        "deadline_s": 5.0,
        "objective_s": 5.0,
        "priority": 2,
        "attempts_max": 2,
        "service": "shop",
    }
    return host_route.HostRoute(**{**fields, **changes})


ROUTES = (
    make_route(),
    make_route(name="open", path="/open/", public=True),
    make_route(name="urgent", path="/lots/urgent/", priority=0),
    make_route(name="slow", path="/lots/slow/", priority=3),
    make_route(name="pay", path="/pay/", kind=host_route.RouteKind.ONCE),
)


def make_mall(
    version: int, *workspaces: catalog_lib.Workspace
) -> catalog_lib.Catalog:
    """Return a configuration of `ROUTES` with workspaces."""
    return catalog_lib.Catalog(
        version=version,
        services=fake_mesh.make_catalog(version, "shop").services,
        routes=ROUTES,
        workspaces=workspaces,
    )


def make_mesh(*workspaces: catalog_lib.Workspace, **options):
    """Return a mesh with entry node "e0" and `make_mall` in force."""
    mesh = fake_calls.make_call_mesh(seed_number=1, **options)
    mesh.submit("v0", make_mall(2, *workspaces))
    mesh.run(2)
    assert mesh.nodes["e0"].state.config.version == 2
    return mesh


def call(mesh, path="/lots/1", workspace_key=None, **options):
    """Return the record of a call of host "mall" after it has ended."""
    record = mesh.call(
        "e0", path=path, host="mall", workspace_key=workspace_key, **options
    )
    mesh.run(1)
    return record


def is_refused(record) -> bool:
    """Return whether a call was refused for its key, and has not run."""
    if record.failure is None:
        assert record.answer is not None
        return False
    assert record.failure.reason is outcome.Reason.UNKNOWN_KEY
    assert record.failure.outcome is outcome.Outcome.NOT_RUN
    assert record.failure.retry_after_s is None
    assert record.runs == 0
    return True


class TestKeys:
    """The check at the entry node, in virtual time."""

    def test_request_needs_a_known_key(self):
        """Guard: `_is_permitted` in call_handlers."""
        mesh = make_mesh(make_workspace("a", "ka"), make_workspace("b"))
        assert is_refused(call(mesh))
        assert is_refused(call(mesh, workspace_key=b""))
        assert is_refused(call(mesh, workspace_key=b"KA"))
        assert not is_refused(call(mesh, workspace_key=b"ka"))

    def test_public_route_needs_no_key_but_refuses_an_unknown_one(self):
        """Guards against calls of upstreams that are refused.

        Guard: `route.public` and `has_unknown_key` in
        call_handlers._is_permitted.
        """
        mesh = make_mesh(make_workspace("a", "ka"))
        assert not is_refused(call(mesh, "/open/1"))
        assert not is_refused(call(mesh, "/open/1", workspace_key=b"ka"))
        assert is_refused(call(mesh, "/open/1", workspace_key=b"other"))

    def test_unknown_route_takes_precedence(self):
        """Guard: the order of the checks at `CallArrived`."""
        mesh = make_mesh(make_workspace("a", "ka"))
        for workspace_key in (None, b"ka", b"other"):
            record = call(mesh, "/none", workspace_key=workspace_key)
            assert record.failure.reason is outcome.Reason.NO_ROUTE

    def test_configuration_without_workspaces_needs_no_key(self):
        """Guard: the first condition of call_handlers._is_permitted."""
        mesh = make_mesh()
        assert not is_refused(call(mesh))
        assert not is_refused(call(mesh, workspace_key=b"any"))

    def test_added_key_is_accepted_and_revoked_key_refused(self):
        """Guards against a node that keeps the keys of an old version.

        Guard: `workspaces=` in Catalog.apply.
        """
        mesh = make_mesh(make_workspace("a", "ka"))
        mesh.submit(
            "v0",
            make_mall(3, make_workspace("a", "new"), make_workspace("b", "kb")),
        )
        mesh.run(2.5)
        assert is_refused(call(mesh, workspace_key=b"ka"))
        assert not is_refused(call(mesh, workspace_key=b"new"))
        assert not is_refused(call(mesh, workspace_key=b"kb"))
        mesh.submit("v0", make_mall(4, make_workspace("b")))
        mesh.run(2.5)
        for workspace_key in (b"ka", b"new", b"kb"):
            assert is_refused(call(mesh, workspace_key=workspace_key))

    def test_restarted_nodes_know_the_keys(self):
        """Guards against keys that are lost with the power of all nodes.

        Guard: `workspaces` in catalog.Snapshot and Delta, and the reason of
        call_handlers._refusal_at_arrival before the first version.
        """
        mesh = make_mesh(make_workspace("a", "ka"))
        mesh.submit("v0", make_mall(3, make_workspace("a", "kb")))
        mesh.run(2)
        for node in mesh.nodes.values():
            node.crash()
        for node in mesh.nodes.values():
            node.start()
        record = mesh.call("e0", path="/lots/1", host="mall")
        assert record.failure.reason is outcome.Reason.NO_CONFIGURATION
        mesh.run(5)
        for number in range(4):
            mesh.nodes[f"o{number}"].announce(3)
        mesh.run(5)
        assert mesh.nodes["e0"].state.config.version == 3
        assert is_refused(call(mesh, workspace_key=b"ka"))
        assert not is_refused(call(mesh, workspace_key=b"kb"))

    def test_call_and_its_failure_name_the_workspace(self):
        """Guard: `workspace` in attempts._failure_context."""
        mesh = make_mesh(make_workspace("a", "ka"))
        node = mesh.nodes["e0"]
        contexts = []
        perform = node._perform

        def record_failures(effect):
            if isinstance(effect, effects.FailCall):
                contexts.append(effect.context)
            perform(effect)

        node._perform = record_failures
        for number in range(4):
            mesh.nodes[f"o{number}"].should_fail = lambda _: True
        record = mesh.call(
            "e0", path="/pay/1", host="mall", workspace_key=b"ka"
        )
        assert node.state.calls[record.number].workspace == "a"
        mesh.run(1)
        call(mesh, workspace_key=b"other")
        assert contexts[0]["workspace"] == "a"
        assert contexts[1] == {"route": "lots"}


class TestIdempotencyKeys:
    def test_workspaces_do_not_share_idempotency_keys(self):
        """Guards against the stored answer to another workspace's request.

        Guard: `call_handlers._ledger_key`.
        """
        mesh = make_mesh(make_workspace("a", "ka"), make_workspace("b", "kb"))
        first = call(mesh, "/pay/1", b"ka", key="order-1")
        again = call(mesh, "/pay/1", b"ka", key="order-1")
        other = call(mesh, "/pay/1", b"kb", key="order-1")
        assert (first.answer, again.answer) == (first.number, first.number)
        assert again.runs == 0
        assert other.answer == other.number
        assert other.runs == 1


class TestRank:
    """Order of admission: the workspace's priority, then the route's."""

    def test_calls_are_admitted_by_workspace_then_route(self):
        """Guard: `OwnerCall.rank`, and its two priorities in attempts.send."""
        mesh = make_mesh(
            make_workspace("urgent", "ku", priority=1),
            make_workspace("late", "kl", priority=3),
            make_workspace("plain", "kp"),
            nodes=1,
            slots=1,
        )
        for node in mesh.nodes.values():
            node.service_s = lambda _: 0.5
        mesh.call("e0", path="/lots/1", host="mall", workspace_key=b"kl")
        records = {}
        for name, path, key in (
            ("plain, slow route", "/lots/slow/1", b"kp"),
            ("late", "/lots/1", b"kl"),
            ("late, urgent route", "/lots/urgent/1", b"kl"),
            ("plain", "/lots/1", b"kp"),
            ("urgent", "/lots/1", b"ku"),
            ("urgent, urgent route", "/lots/urgent/1", b"ku"),
            ("plain, urgent route", "/lots/urgent/1", b"kp"),
        ):
            mesh.run(0.05)  # Longer than the way to the owner.
            records[name] = mesh.call(
                "e0", path=path, host="mall", workspace_key=key
            )
        mesh.run(5)
        order = sorted(records, key=lambda name: records[name].ended_s)
        assert order == [
            "plain, urgent route",
            "urgent, urgent route",
            "urgent",
            "plain",
            "late, urgent route",
            "late",
            "plain, slow route",
        ]

    def test_call_without_workspace_priority_has_the_rank_of_its_route(self):
        """Guards against calls that lose their place to equal ones."""
        fields = {
            "owner_call_id": 1,
            "deadline_s": 9.0,
            "bulk": False,
            "route": "lots",
            "arrived_s": 0.0,
        }
        plain = owner_call_lib.OwnerCall(priority=2, **fields)
        ranked = owner_call_lib.OwnerCall(
            priority=2, route_priority=2, **fields
        )
        assert plain.rank == ranked.rank


NAMES = header_names.HeaderNames(workspace=b"x-workspace", caller_service=b"by")


class TestHeaders:
    @pytest.mark.parametrize(
        ("values", "expected"),
        [
            ([], None),
            ([b"Token k-1"], b"k-1"),
            ([b"token  k-1 "], b"k-1"),
            ([b"Token a b"], b"a b"),
            ([b"Token"], b""),
            ([b"Token "], b""),
            ([b""], None),
            ([b"Bearer k-1"], None),
            ([b"k-1"], None),
            ([b"Token k-1", b"Token k-1"], b""),
        ],
    )
    def test_key_is_read_from_the_header(self, values, expected):
        """Guard: caller_http.workspace_key."""
        headers = [(b"host", b"h")]
        headers += [(b"authorization", value) for value in values]
        assert caller_http.workspace_key(headers, NAMES) == expected

    def test_header_without_scheme_holds_the_key_alone(self):
        names = header_names.HeaderNames(
            workspace_key=b"x-key", workspace_key_scheme=b""
        )
        headers = [(b"x-key", b"k 1")]
        assert caller_http.workspace_key(headers, names) == b"k 1"

    @pytest.mark.parametrize("value", [b"Token k", b"Bearer k", b"k", b""])
    def test_key_is_not_forwarded(self, value):
        """Guard: `reserved.add` in caller_http.request_headers."""
        forwarded = caller_http.request_headers(
            [(b"authorization", value), (b"authorization", value)],
            NAMES,
            "shop",
            has_workspaces=True,
            workspace="a",
        )
        assert forwarded == ((b"x-workspace", b"a"), (b"by", b"shop"))

    def test_workspace_cannot_be_forged(self):
        """Guard: `header_names.workspace` in `reserved`."""
        forged = [(b"x-workspace", b"b"), (b"connection", b"x-workspace")]
        for workspace in ("a", "", "ä"):
            forwarded = caller_http.request_headers(
                forged, NAMES, "shop", has_workspaces=True, workspace=workspace
            )
            expected = ((b"by", b"shop"),)
            if workspace:
                expected = ((b"x-workspace", workspace.encode()), *expected)
            assert forwarded == expected

    def test_authorization_passes_without_workspaces(self):
        headers = ((b"authorization", b"Token k"),)
        forwarded = caller_http.request_headers(headers, NAMES, "")
        assert forwarded == (*headers, (b"by", b""))

    def test_unknown_key_is_answered_with_401_and_the_scheme(self):
        """Guard: `STATUS_BY_REASON`, and www-authenticate for RFC 9110."""
        failure = outcome.Failure(
            outcome=outcome.Outcome.NOT_RUN, reason=outcome.Reason.UNKNOWN_KEY
        )
        status, headers, _ = caller_http.failure_response(failure, NAMES)
        assert status == 401
        assert dict(headers)[b"www-authenticate"] == b"Token"
        assert dict(headers)[b"monsoonpass-outcome"] == b"not-run"
        assert dict(headers)[b"monsoonpass-reason"] == b"unknown-key"
        assert b"retry-after" not in dict(headers)
