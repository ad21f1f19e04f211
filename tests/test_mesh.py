"""Tests of opening links to peers."""

import types

import anyio

from monsoonpass.core import address as address_lib
from monsoonpass.core import events
from monsoonpass.runtime import mesh as mesh_lib
from monsoonpass.standin import local_mesh


class RecordingMesh:
    """A `Mesh` whose engine and link handlers only record their calls."""

    def __init__(self):
        self.fed = []
        self.lost_instances = []
        engine = types.SimpleNamespace(
            set_performer=lambda effect, performer: None,
            feed=lambda event_type, **fields: self.fed.append(
                (event_type, fields)
            ),
        )
        own = address_lib.Address(instance="n0", host="127.0.0.1", port=1)
        settings = types.SimpleNamespace(
            reducer_settings=lambda: types.SimpleNamespace(address=own),
            mesh=types.SimpleNamespace(
                secret=types.SimpleNamespace(get_secret_value=lambda: "s")
            ),
        )
        self.mesh = mesh_lib.Mesh(
            engine=engine,
            settings=settings,
            logger=None,
            metrics=None,
            traffic=None,
            incarnation=1,
        )
        self.mesh.set_call_handlers(
            on_call_message=lambda link, message: None,
            on_link_opened=lambda link: None,
            on_link_lost=lambda instance, link: self.lost_instances.append(
                instance
            ),
        )
        self.peer = address_lib.Address(
            instance="n1",
            host="127.0.0.1",
            port=local_mesh.free_ports(1)[0],
        )


class TestConnect:
    def test_unreachable_peer_is_reported_lost(self):
        recording = RecordingMesh()
        anyio.run(recording.mesh._connect, recording.peer)
        assert recording.fed == [(events.LinkLost, {"instance": "n1"})]
        assert recording.lost_instances == ["n1"]

    def test_peer_that_opened_a_link_meanwhile_is_not_lost(self):
        """A starting peer refuses connections but may open a link itself.

        Guard: `self.links` in Mesh._connect.
        """
        recording = RecordingMesh()
        recording.mesh.links["n1"] = [object()]
        anyio.run(recording.mesh._connect, recording.peer)
        assert recording.fed == []
        assert recording.lost_instances == []
