"""Tests of opening links to peers."""

import types

import anyio

from monsoonpass.core import address as address_lib
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.runtime import mesh as mesh_lib
from monsoonpass.standin import local_mesh


class RecordingMesh:
    """A `Mesh` whose engine and link handlers only record their calls."""

    def __init__(self):
        self.fed = []
        self.lost_instances = []
        self.logged = []
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
            logger=types.SimpleNamespace(
                write=lambda code, **fields: self.logged.append(code)
            ),
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


class TestWaitingMessages:
    """Messages to a peer to which no link is open yet."""

    def test_waiting_message_keeps_its_class(self):
        """Guard: `bulk` in Mesh._queue_until_connected."""
        recording = RecordingMesh()
        sent = []
        link = types.SimpleNamespace(
            send=lambda message, bulk: sent.append((message, bulk))
        )
        recording.mesh.send_to_peer(recording.peer, "body", bulk=True)
        recording.mesh.send_to_peer(recording.peer, "head")
        for message, bulk in recording.mesh._waiting_messages.pop("n1"):
            recording.mesh.send_on_link(link, message, bulk=bulk)
        assert sent == [("body", True), ("head", False)]

    def test_dropped_message_is_logged(self):
        """Guard: the log line in Mesh._queue_until_connected."""
        recording = RecordingMesh()
        for number in range(mesh_lib.WAITING_MESSAGES_MAX + 1):
            recording.mesh.send_to_peer(recording.peer, number)
        assert recording.logged == [log_events.Code.MESSAGE_DROPPED]
