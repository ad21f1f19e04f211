"""HTTP/1.1 server for ASGI applications, built on h11 and anyio.

It enforces the limits of the configuration in force on requests, and limits on
what all connections use together. It reports a disconnect of the caller
immediately, and answers every request that it has started before it closes the
connection.
"""

from collections.abc import Callable
import socket

import anyio
import anyio.abc

from monsoonpass.core.calls import caller_limits
from monsoonpass.core.distribution import host_route
from monsoonpass.runtime import caller_connection
from monsoonpass.runtime import caller_load
from monsoonpass.runtime import caller_stream

# Connections accepted before other tasks get their turn.
ACCEPT_BATCH = 16
# Pause after a failure to accept, such as too many open descriptors.
ACCEPT_RETRY_S = 0.1

App = caller_connection.App


class Server:
    """Serves an ASGI application on one address."""

    def __init__(
        self,
        *,
        app: App,
        limits: Callable[[], host_route.RequestLimits],
        is_closing: Callable[[], bool],
        on_error: Callable[[Exception], None] = lambda error: None,
        load: caller_load.CallerLoad | None = None,
        gate: caller_load.ConnectionGate | None = None,
    ):
        """Store the application and its limits.

        Args:
            app: The ASGI application.
            limits: Returns the limits in force for requests.
            is_closing: Returns whether connections should be closed after
                the next answer.
            on_error: Called with an unexpected error, which ends only its
                connection.
            load: What all servers of the node use together; None for a
                server of its own.
            gate: Bounds the number of connections; None for a bound of its
                own.
        """
        load = load or caller_load.CallerLoad(limits=caller_limits.derive())
        self._gate = gate or caller_load.ConnectionGate(
            connections_max=load.limits.connections_max
        )
        self._hangups = caller_stream.HangupWatch()
        self._service = caller_connection.Service(
            app=app,
            limits=limits,
            is_closing=is_closing,
            on_error=on_error,
            count_open=self._count_open,
            load=load,
            hangups=self._hangups,
        )
        self._accepting = anyio.CancelScope()
        self._listener_closed = anyio.Event()
        self._open_requests = 0
        self._requests_ended = anyio.Event()

    async def serve(self, host: str, port: int) -> None:
        """Serve until cancelled; the first step listens."""
        listener = caller_stream.listen(host, port)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._hangups.run)
                try:
                    with self._accepting:
                        await self._accept_all(listener, group)
                finally:
                    listener.close()
                self._listener_closed.set()
        finally:
            self._hangups.close()

    async def finish(self) -> None:
        """Accept no more connections, and wait until no request is open."""
        self._accepting.cancel()
        await self._listener_closed.wait()
        while self._open_requests:
            self._requests_ended = anyio.Event()
            await self._requests_ended.wait()

    def _count_open(self, change: int) -> None:
        self._open_requests += change
        if not self._open_requests:
            self._requests_ended.set()

    async def _accept_all(
        self, listener: socket.socket, group: anyio.abc.TaskGroup
    ) -> None:
        """Accept connections until cancelled."""
        while True:
            await anyio.wait_readable(listener)
            for _ in range(ACCEPT_BATCH):
                try:
                    raw, peer = listener.accept()
                except BlockingIOError:
                    break
                except ConnectionError:
                    continue
                except OSError:
                    await anyio.sleep(ACCEPT_RETRY_S)
                    break
                self._admit(
                    caller_stream.CallerStream(raw=raw, peer=peer), group
                )

    def _admit(
        self, stream: caller_stream.CallerStream, group: anyio.abc.TaskGroup
    ) -> None:
        """Serve a new connection, or refuse it if there are too many."""
        if not self._gate.admit():
            self._service.load.on_shed(caller_load.CONNECTION_REFUSED)
            stream.send_if_possible(caller_connection.refusal(503))
            stream.close()
            return
        connection = caller_connection.Connection(
            service=self._service, stream=stream
        )
        self._gate.connections.add(connection)
        group.start_soon(self._run, connection, stream)

    async def _run(
        self,
        connection: caller_connection.Connection,
        stream: caller_stream.CallerStream,
    ) -> None:
        try:
            await connection.run()
        except Exception as error:
            self._service.on_error(error)
        finally:
            self._gate.remove(connection)
            stream.close()
