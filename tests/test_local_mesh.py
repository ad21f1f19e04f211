"""Tests of the local mesh that the demo and other tests use."""

import socket

import anyio
import pytest

from monsoonpass.standin import local_mesh


class TestPorts:
    def test_port_that_another_process_reserved_is_not_used(self):
        """Several test suites run at once.

        Guard: `_reserve` in local_mesh.free_ports.
        """
        (port,) = local_mesh.free_ports(1)
        with pytest.raises(OSError):
            with socket.socket(type=socket.SOCK_DGRAM) as other:
                other.bind((local_mesh.RESERVATION_HOST, port))
        assert not local_mesh._reserve(port)

    def test_ports_are_never_given_out_twice(self):
        ports = [local_mesh.free_ports(1)[0] for _ in range(200)]
        assert len(set(ports)) == 200


class TestStart:
    def test_port_in_use_ends_the_start_with_its_error(self, tmp_path):
        """Guard: the handler of errors in LocalMesh.__aenter__."""
        mesh = local_mesh.LocalMesh(
            specs=(local_mesh.NodeSpec(instance="n0", service="shop"),),
            voters=("n0",),
            folder=tmp_path,
        )

        async def run():
            with anyio.fail_after(10):
                async with mesh:
                    pass

        with socket.socket() as taken:
            taken.bind(("127.0.0.1", mesh.nodes[0].peer_port))
            taken.listen()
            with pytest.raises(BaseExceptionGroup) as raised:
                anyio.run(run)
        assert raised.group_contains(OSError)

    def test_started_node_accepts_operators(self, tmp_path, monkeypatch):
        """The first announcement after a start found its port closed.

        Guard: `listen` in http_server.Server.serve, which does not wait.
        """
        create_listener = anyio.create_tcp_listener

        async def create_listener_late(**options):
            # As slow as resolving the address was on a busy machine.
            await anyio.sleep(0.1)
            return await create_listener(**options)

        monkeypatch.setattr(anyio, "create_tcp_listener", create_listener_late)
        mesh = local_mesh.LocalMesh(
            specs=(local_mesh.NodeSpec(instance="n0"),),
            voters=("n0",),
            folder=tmp_path,
        )

        async def run():
            with anyio.fail_after(20):
                async with mesh:
                    url = f"{mesh.nodes[0].operator_url}/healthz"
                    return (await mesh.http.get(url)).status_code

        assert anyio.run(run) == 200
