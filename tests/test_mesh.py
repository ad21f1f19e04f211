"""Tests of opening links to peers."""

import types

import anyio

from monsoonpass.core import address as address_lib
from monsoonpass.core import events
from monsoonpass.runtime import mesh as mesh_lib
from monsoonpass.standin import local_mesh


class Scene:
    """A `Mesh` whose engine and link handlers only record their calls."""

    def __init__(self):
        self.fed = []
        self.gone = []
        engine = types.SimpleNamespace(
            on=lambda effect, performer: None,
            feed=lambda make, **fields: self.fed.append((make, fields)),
        )
        own = address_lib.Address(instance="n0", host="127.0.0.1", port=1)
        settings = types.SimpleNamespace(
            core_settings=lambda: types.SimpleNamespace(address=own),
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
        self.mesh.on_call_message(
            receive=lambda link, message: None,
            link_opened=lambda link: None,
            link_gone=lambda instance, link: self.gone.append(instance),
        )
        self.peer = address_lib.Address(
            instance="n1",
            host="127.0.0.1",
            port=local_mesh.free_ports(1)[0],
        )


class TestConnect:
    def test_peer_that_cannot_be_dialled_is_lost(self):
        scene = Scene()
        anyio.run(scene.mesh._connect, scene.peer)
        assert scene.fed == [(events.LinkLost, {"instance": "n1"})]
        assert scene.gone == ["n1"]

    def test_peer_that_has_dialled_meanwhile_is_not_lost(self):
        """A starting peer refuses connections but may open a link itself.

        Guard: `self.links` in Mesh._connect.
        """
        scene = Scene()
        scene.mesh.links["n1"] = [object()]
        anyio.run(scene.mesh._connect, scene.peer)
        assert scene.fed == []
        assert scene.gone == []
