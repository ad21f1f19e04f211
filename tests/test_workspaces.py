"""Tests of workspaces: their distribution, keys, ranks and headers."""

import dataclasses

import pytest

from monsoonpass import codec
from monsoonpass import errors
from monsoonpass.core.calls import call_messages
from monsoonpass.core.distribution import catalog as catalog_lib
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

        Guard: `_omit_defaults` in codec._field_packer, and `workspace_marker`
        in catalog._content_digest.
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

        Guard: `_omit_defaults` in codec._field_packer.
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
