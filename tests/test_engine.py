"""Tests of the engine: which failures of effects a node survives."""

import types

import anyio
import pytest

from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core import timers
from monsoonpass.core.calls import outcome
from monsoonpass.core.membership import member as member_lib
from monsoonpass.formats import framing
from monsoonpass.formats import handshake
from monsoonpass.formats import settings as settings_lib
from monsoonpass.runtime import daemon as daemon_lib
from monsoonpass.runtime import engine as engine_lib
from monsoonpass.runtime import http_server
from monsoonpass.standin import local_mesh
from tests import test_end_to_end

PEER = address_lib.Address(instance="n1", host="127.0.0.1", port=1)


def fail(effect: effects.Effect) -> None:
    """Fail as an encoder does that meets a number too large."""
    raise OverflowError("Integer value out of range")


class Scene:
    """An engine whose reducer answers each event with given effects."""

    def __init__(self, monkeypatch, *returned: effects.Effect):
        self.events: list[events.Event] = []
        self.failures: list[dict[str, object]] = []
        self.performed: list[effects.Effect] = []
        self.engine = engine_lib.Engine(state=types.SimpleNamespace())
        self.engine.set_failure_handler(self.failures.append)
        self.has_ended = False
        self.engine.set_fatal_handler(self.end)
        self.engine.set_performer(effects.Log, self.performed.append)
        self._returned = list(returned)
        monkeypatch.setattr(engine_lib.reducer, "step", self.step)

    def end(self) -> None:
        self.has_ended = True

    def step(self, event, state) -> list[effects.Effect]:
        self.events.append(event)
        returned, self._returned = self._returned, []
        return returned


class TestFailedEffects:
    LOG = effects.Log(code=log_events.Code.NODE_STOPPING)

    def test_message_that_cannot_be_sent_is_dropped_and_logged(
        self, monkeypatch
    ):
        """Guards against one bad value that ends the node."""
        send = effects.Send(to=PEER, message=self.LOG)
        scene = Scene(monkeypatch, send, self.LOG)
        scene.engine.set_performer(effects.Send, fail)
        scene.engine.feed(events.StopRequested)
        assert scene.performed == [self.LOG]
        (failure,) = scene.failures
        assert failure["place"] == "Send"
        assert failure["peer"] == "n1"
        assert "OverflowError" in failure["error"]

    def test_call_that_cannot_be_dispatched_frees_its_slot(self, monkeypatch):
        """Guards against a lost call that ends the node."""
        dispatch = effects.Dispatch(
            owner_call_id=7, timeout_s=1.0, process_number=1
        )
        scene = Scene(monkeypatch, dispatch, self.LOG)
        scene.engine.set_performer(effects.Dispatch, fail)
        scene.engine.feed(events.StopRequested)
        assert scene.performed == [self.LOG]
        finished = scene.events[-1]
        assert isinstance(finished, events.OwnerCallFinished)
        assert finished.owner_call_id == 7
        assert finished.failure.outcome is outcome.Outcome.UNKNOWN
        assert scene.failures[0]["owner_call_id"] == 7

    def test_call_that_cannot_be_forwarded_ends_its_attempt(self, monkeypatch):
        forward = effects.Forward(
            call_id=3,
            attempt=2,
            to=PEER,
            service="shop",
            timeout_s=1.0,
            route="r",
            bulk=False,
            idempotent=False,
            priority=1,
            reroutable=False,
        )
        scene = Scene(monkeypatch, forward)
        scene.engine.set_performer(effects.Forward, fail)
        scene.engine.feed(events.StopRequested)
        ended = scene.events[-1]
        assert isinstance(ended, events.AttemptEnded)
        assert (ended.call_id, ended.attempt) == (3, 2)
        assert ended.failure.outcome is outcome.Outcome.UNKNOWN

    @pytest.mark.parametrize(
        "effect",
        [
            effects.WriteDisk(sequence=1, records=()),
            effects.SetTimer(timer=timers.DrainCheck(), delay_s=1.0),
            effects.CancelTimer(timer=timers.DrainCheck()),
            effects.SwitchUpstream(port=1, upstream_id="", process_number=1),
            effects.StopCompleted(),
        ],
        ids=lambda effect: type(effect).__name__,
    )
    def test_node_ends_if_its_state_cannot_be_trusted(
        self, monkeypatch, effect
    ):
        scene = Scene(monkeypatch, effect)
        scene.engine.set_performer(type(effect), fail)
        with pytest.raises(OverflowError):
            scene.engine.feed(events.StopRequested)
        assert scene.has_ended

    def test_error_in_the_reducer_ends_the_node(self, monkeypatch):
        scene = Scene(monkeypatch)

        def step(event, state):
            raise KeyError(1)

        monkeypatch.setattr(engine_lib.reducer, "step", step)
        with pytest.raises(KeyError):
            scene.engine.feed(events.StopRequested)
        assert scene.has_ended
        assert isinstance(scene.engine.fatal_error, KeyError)
        monkeypatch.setattr(engine_lib.reducer, "step", scene.step)
        scene.engine.feed(events.StopRequested)
        assert not scene.events


class TestFatalError:
    def test_node_ends_although_its_caller_catches_the_error(
        self, tmp_path, monkeypatch
    ):
        """Guards against a node that runs on with a state it cannot trust."""
        spec = local_mesh.NodeSpec(instance="n0")
        mesh = local_mesh.LocalMesh(
            specs=(spec,), voters=["n0"], folder=tmp_path
        )
        text = mesh.nodes[0].settings_text
        daemon = daemon_lib.Daemon(settings=settings_lib.parse(text))

        def raise_error(event, state):
            raise KeyError("lost")

        async def break_reducer() -> None:
            await daemon.started.wait()
            monkeypatch.setattr(engine_lib.reducer, "step", raise_error)
            with pytest.raises(KeyError):
                daemon.stop()

        async def run() -> None:
            with anyio.fail_after(5):
                async with anyio.create_task_group() as group:
                    group.start_soon(break_reducer)
                    await daemon.run()

        with pytest.raises(BaseExceptionGroup) as error_info:
            anyio.run(run)
        assert error_info.group_contains(KeyError)


class TestStart:
    def test_message_of_a_peer_is_not_handled_before_the_start(
        self, tmp_path, monkeypatch
    ):
        """A datagram that arrived while a server started ended the node.

        Guard: the order of the steps in Daemon.run.
        """
        mesh = local_mesh.LocalMesh(
            specs=(local_mesh.NodeSpec(instance="n0"),),
            voters=["n0"],
            folder=tmp_path,
        )
        node = mesh.nodes[0]
        serve = http_server.Server.serve

        async def serve_late(*args, **options) -> None:
            await anyio.sleep(0.2)
            await serve(*args, **options)

        monkeypatch.setattr(http_server.Server, "serve", serve_late)
        own = address_lib.Address(
            instance="n0", host="127.0.0.1", port=node.peer_port
        )
        suspected = member_lib.Member(
            address=own,
            data_centre=node.spec.data_centre,
            incarnation=2**52,
            state=member_lib.MemberState.SUSPECT,
            has_disk=True,
            service="",
            slots=0,
            upstream=member_lib.UpstreamState.NONE,
        )
        datagram = handshake.seal_datagram(
            b"only-for-loopback",
            address_lib.Address(instance="n1", host="127.0.0.1", port=1),
            member_lib.Rumour(updates=(suspected,)),
        )

        daemon = daemon_lib.Daemon(
            settings=settings_lib.parse(node.settings_text)
        )

        async def run() -> None:
            with anyio.fail_after(20):
                async with anyio.create_task_group() as group:
                    group.start_soon(send_datagrams)
                    group.start_soon(daemon.run)
                    await anyio.sleep(0.5)
                    group.cancel_scope.cancel()

        async def send_datagrams() -> None:
            async with await anyio.create_udp_socket(
                local_host="127.0.0.1"
            ) as sender:
                while True:
                    await sender.sendto(datagram, "127.0.0.1", node.peer_port)
                    await anyio.sleep(0.01)

        anyio.run(run)
        own_record = daemon.engine.state.membership.own_record
        assert own_record.incarnation > 2**52


class TestConfinedErrors:
    @pytest.mark.parametrize("payload", [b"\x91\xc0", b"\x91\x01", b"\xc1"])
    def test_malformed_message_ends_only_its_link(self, tmp_path, payload):
        """Guards against a peer's message that ends the node."""

        async def scenario(mesh):
            link = mesh.nodes[0].daemon._mesh.links["n1"][0]
            frame = len(payload).to_bytes(framing.LENGTH_BYTES, "big") + payload
            link._urgent_frames.append(frame)
            link._frames_queued.set()
            while not link.closed:
                await anyio.sleep(0.01)
            response = await test_end_to_end.call(mesh, mesh.nodes[0], "/lots")
            assert response.status_code == 200

        test_end_to_end.run_mesh(tmp_path, test_end_to_end.TWO_NODES, scenario)
