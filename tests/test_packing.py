"""Tests of the packed form of configuration content."""

import zlib

import pytest

from monsoonpass import codec
from monsoonpass import errors
from monsoonpass.core import effects
from monsoonpass.core.distribution import catalog as catalog_lib
from monsoonpass.core.distribution import config_messages
from monsoonpass.core.distribution import packing
from tests import fake_mesh
from tests import fake_topologies
from tests import test_host_route


class TestPacking:
    def test_whole_content_of_many_routes_is_sent_compressed(self):
        """Guards against saturating a node's link at each start.

        The uncompressed content of 1,120 routes is 88 KB, which takes a third
        of a second to transfer.
        """
        routes = [
            test_host_route.make_route(f"/{number * 7919 % 99991}/")
            for number in range(1120)
        ]
        catalog = test_host_route.make_catalog(1, *routes)
        assert len(catalog.packed) < 40_000
        received = packing.unpack(catalog.packed, catalog_lib.Snapshot)
        assert catalog_lib.from_snapshot(received).digest == catalog.digest

    def test_small_delta_stays_uncompressed(self):
        base = fake_mesh.make_catalog(1, "a")
        delta = base.delta_to(fake_mesh.make_catalog(2, "a", "b"))
        assert packing.unpack(delta.packed, catalog_lib.Delta) == delta
        assert len(delta.packed) < packing.PLAIN_MAX_BYTES

    @pytest.mark.parametrize(
        "damage",
        [
            lambda data: b"",
            lambda data: b"\x07" + data[1:],
            lambda data: data[:-9],
            lambda data: data[:20] + b"\xff\xff" + data[22:],
            lambda data: b"\x01" + zlib.compress(b"\xc1" * 900),
        ],
    )
    def test_damaged_content_raises_packed_content_error(self, damage):
        catalog = fake_mesh.make_catalog(1, *(f"s{n}" for n in range(200)))
        with pytest.raises(errors.PackedContentError):
            packing.unpack(damage(catalog.packed), catalog_lib.Snapshot)

    def test_content_of_another_type_is_refused(self):
        catalog = fake_mesh.make_catalog(1, "a")
        with pytest.raises(errors.PackedContentError):
            packing.unpack(catalog.packed, catalog_lib.Delta)

    def test_content_beyond_the_bound_is_refused(self, monkeypatch):
        monkeypatch.setattr(packing, "CONTENT_MAX_BYTES", 1000)
        catalog = fake_mesh.make_catalog(1, *(f"s{n}" for n in range(200)))
        with pytest.raises(errors.PackedContentError):
            packing.unpack(catalog.packed, catalog_lib.Snapshot)


class TestForwardedSubmission:
    def test_forwarded_submission_is_packed(self):
        """Guards against sending uncompressed content over metered links."""
        mesh = fake_topologies.make_two_data_centres()
        mesh.run(6)
        services = tuple(f"service-{number}" for number in range(300))
        catalog = fake_mesh.make_catalog(1, *services)
        mesh.submit("b1", catalog)
        mesh.run(2)
        sizes = [
            len(codec.encode(effect.message))
            for effect in mesh.nodes["b1"].performed_effects
            if isinstance(effect, effects.Send)
            and isinstance(effect.message, config_messages.SubmitForward)
        ]
        assert sizes and max(sizes) < len(codec.encode(catalog.snapshot())) / 4
        assert fake_topologies.versions_in_force(mesh) == {1}
