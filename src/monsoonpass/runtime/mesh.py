"""The node's network to its peers: streams by instance, and datagrams."""

import collections
from collections.abc import Callable
import random
import socket
from typing import Any

import anyio
import anyio.abc

from monsoonpass import errors
from monsoonpass.border import hello
from monsoonpass.border import settings as settings_lib
from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core.calls import call_messages
from monsoonpass.runtime import engine as engine_lib
from monsoonpass.runtime import link as link_lib
from monsoonpass.runtime import logs
from monsoonpass.runtime import metrics as metrics_lib
from monsoonpass.runtime import traffic as traffic_lib

CONNECT_TIMEOUT_S = 2.0
BACKLOG_MAX = 256
PENDING_HANDSHAKES_MAX = 256
RECONNECT_JITTER_S = 0.05
TCP_NOTSENT_LOWAT = 25
USER_TIMEOUT_MS = 2500  # Below the silence after which a voter is replaced.
KEEPALIVE_S = 1  # First probe of an idle stream, and between two of them.
KEEPALIVE_PROBES = 2
NOTSENT_BYTES = 64 * 1024


class Mesh:
    """Opens, accepts and uses links; sends and receives datagrams.

    Attributes:
        links: Links by the peer's instance name; the last one is used.
    """

    def __init__(
        self,
        *,
        engine: engine_lib.Engine,
        settings: settings_lib.Settings,
        logger: logs.Logger,
        metrics: metrics_lib.Metrics,
        traffic: traffic_lib.Traffic,
        incarnation: int,
    ):
        self._incarnation = incarnation
        self._engine = engine
        self._settings = settings
        self._logger = logger
        self._metrics = metrics
        self._traffic = traffic
        self._address = settings.core_settings().address
        self._secret = settings.mesh.secret.get_secret_value().encode()
        self._group: anyio.abc.TaskGroup | None = None
        self._udp: anyio.abc.UDPSocket | None = None
        self._listener: anyio.abc.SocketListener | None = None
        self._outbox: collections.deque[tuple[bytes, str, int]] = (
            collections.deque()
        )
        self._outbox_wanted = anyio.Event()
        self._backlog: dict[str, list[Any]] = {}
        self._handshakes = 0
        self._receive_call: Callable[[link_lib.Link, Any], None] | None = None
        self._link_opened: Callable[[link_lib.Link], None] | None = None
        self._link_gone: Callable[[str, link_lib.Link | None], None] | None = (
            None
        )
        self.links: dict[str, list[link_lib.Link]] = {}
        engine.on(effects.Send, self._perform_send)
        engine.on(effects.SendDatagram, self._perform_datagram)

    def on_call_message(
        self,
        receive: Callable[[link_lib.Link, Any], None],
        link_opened: Callable[[link_lib.Link], None],
        link_gone: Callable[[str, link_lib.Link | None], None],
    ) -> None:
        """Name the functions for messages of calls and for links' fates.

        Args:
            receive: Called with each message of a call.
            link_opened: Called with a new link, once what waited is queued.
            link_gone: Called with the instance and its lost link, or None if
                no link could be opened.
        """
        self._receive_call = receive
        self._link_opened = link_opened
        self._link_gone = link_gone

    async def open(self) -> None:
        """Bind the peers' port for TCP and UDP."""
        host = self._settings.listen.peers.host
        port = self._settings.listen.peers.port
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=1024
        )
        self._listener = listener.listeners[0]
        self._udp = await anyio.create_udp_socket(
            local_host=host, local_port=port
        )

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._receive_datagrams)
            group.start_soon(self._send_datagrams)
            await self._listener.serve(self._accept, group)

    def send_call(
        self, to: address_lib.Address, message: Any, *, bulk: bool = False
    ) -> link_lib.Link | None:
        """Send a message of a call, opening a link if there is none.

        Args:
            to: The peer.
            message: A registered message.
            bulk: Whether it yields to all that is not bulk.

        Returns:
            The link used, or None while one is being opened.
        """
        links = self.links.get(to.instance)
        if links:
            self.send_on(links[-1], message, bulk=bulk)
            return links[-1]
        self._enqueue(to, message)
        return None

    def send_on(
        self, link: link_lib.Link, message: Any, *, bulk: bool = False
    ) -> None:
        """Send a message on a certain link; a full link is closed."""
        try:
            link.send(message, bulk=bulk)
        except link_lib.LinkQueueFullError as error:
            self._logger.write(
                log_events.Code.PEER_REFUSED,
                peer=link.peer.instance,
                error=str(error),
            )

    def _perform_send(self, effect: effects.Send) -> None:
        if effect.to.instance == self._address.instance:
            self._engine.feed(
                events.PeerMessage,
                sender=self._address,
                message=effect.message,
            )
            return
        self.send_call(effect.to, effect.message)

    def _enqueue(self, to: address_lib.Address, message: Any) -> None:
        backlog = self._backlog.get(to.instance)
        if backlog is None:
            self._backlog[to.instance] = [message]
            if self._group is not None:
                self._group.start_soon(self._connect, to)
            return
        if len(backlog) < BACKLOG_MAX:
            backlog.append(message)

    async def _connect(self, to: address_lib.Address) -> None:
        """Open a link and send what waited for it."""
        stream = None
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(to.host, to.port)
            _tune(stream)
            theirs, reader = await self._shake_hands(stream, to.instance)
        except (OSError, TimeoutError, errors.MonsoonpassError):
            if stream is not None:
                await anyio.aclose_forcefully(stream)
            # A peer that is down must not be dialled in a tight loop.
            await anyio.sleep(random.uniform(0, RECONNECT_JITTER_S))
            if to.instance in self.links:
                # The peer has dialled meanwhile and got what waited.
                return
            self._backlog.pop(to.instance, None)
            self._engine.feed(events.LinkLost, instance=to.instance)
            if self._link_gone is not None:
                self._link_gone(to.instance, None)
            return
        await self._run_link(stream, theirs, reader)

    async def _accept(self, stream: anyio.abc.SocketStream) -> None:
        busy = self._handshakes >= PENDING_HANDSHAKES_MAX
        count = sum(len(links) for links in self.links.values())
        if busy or count >= self._settings.limits.peer_links:
            await anyio.aclose_forcefully(stream)
            return
        self._handshakes += 1
        try:
            _tune(stream)
            theirs, reader = await self._shake_hands(stream, "")
        except errors.MonsoonpassError as error:
            if not isinstance(error, errors.TransportError):
                self._logger.write(
                    log_events.Code.PEER_REFUSED, peer="", error=str(error)
                )
            await anyio.aclose_forcefully(stream)
            return
        finally:
            self._handshakes -= 1
        await self._run_link(stream, theirs, reader)

    async def _shake_hands(
        self, stream: anyio.abc.SocketStream, expected: str
    ) -> tuple[hello.Hello, Any]:
        return await link_lib.shake_hands(
            stream,
            mesh=self._settings.mesh.name,
            secret=self._secret,
            sender=self._address,
            data_centre=self._settings.node.data_centre,
            incarnation=self._incarnation,
            expected=expected,
        )

    async def _run_link(
        self, stream: anyio.abc.SocketStream, theirs: hello.Hello, reader: Any
    ) -> None:
        instance = theirs.sender.instance
        link = link_lib.Link(
            stream=stream,
            peer=theirs.sender,
            data_centre=theirs.data_centre,
            incarnation=theirs.incarnation,
            reader=reader,
            count_bytes=self._count_bytes(theirs.data_centre),
            count_message=self._count_message(instance),
        )
        self.links.setdefault(instance, []).append(link)
        self._metrics.links.inc()
        self._logger.write(log_events.Code.LINK_UP, peer=instance)
        for message in self._backlog.pop(instance, []):
            self.send_on(link, message)
        if self._link_opened is not None:
            self._link_opened(link)
        try:
            await link.run(lambda message: self._received(link, message))
        except errors.ProtocolError as error:
            self._logger.write(
                log_events.Code.PEER_REFUSED, peer=instance, error=str(error)
            )
        finally:
            self._metrics.links.dec()
            self._forget(link)
            with anyio.CancelScope(shield=True):
                await link.aclose()

    def _forget(self, link: link_lib.Link) -> None:
        instance = link.peer.instance
        links = self.links[instance]
        links.remove(link)
        if self._link_gone is not None:
            self._link_gone(instance, link)
        if not links:
            del self.links[instance]
            self._logger.write(log_events.Code.LINK_LOST, peer=instance)
            self._engine.feed(events.LinkLost, instance=instance)

    def _received(self, link: link_lib.Link, message: Any) -> None:
        if type(message).__module__ == call_messages.__name__:
            self._receive_call(link, message)
            return
        if type(message).__module__ == hello.__name__:
            raise errors.BadFrameError("a handshake message after the start")
        self._engine.feed(events.PeerMessage, sender=link.peer, message=message)

    def _count_bytes(self, data_centre: str) -> Callable[[str, int], None]:
        own = data_centre == self._settings.node.data_centre
        kind = "stream" if own else "stream_across"
        counters = {
            direction: self._metrics.peer_bytes.labels(direction, kind)
            for direction in ("sent", "received")
        }
        return lambda direction, size: counters[direction].inc(size)

    def _count_message(self, instance: str) -> Callable[[Any, int], None]:
        # The table may learn where a peer is after its link has opened.
        return lambda message, size_bytes: self._traffic.sent(
            message, self._distance(instance), size_bytes
        )

    def _distance(self, instance: str) -> str:
        """Return how far a member is away, as far as the table tells."""
        member = self._engine.state.membership.table.get(instance)
        own = self._settings.node
        near, same_region, far = metrics_lib.DISTANCES
        if member is None or member.region != own.region:
            return far
        return near if member.data_centre == own.data_centre else same_region

    def _perform_datagram(self, effect: effects.SendDatagram) -> None:
        try:
            data = hello.seal_datagram(
                self._secret, self._address, effect.message
            )
        except errors.FrameTooLargeError:
            return
        distance = self._distance(effect.to.instance)
        self._traffic.sent(effect.message, distance, len(data))
        self._outbox.append((data, effect.to.host, effect.to.port))
        self._outbox_wanted.set()

    async def _send_datagrams(self) -> None:
        sent = self._metrics.peer_bytes.labels("sent", "datagram")
        while True:
            await self._outbox_wanted.wait()
            self._outbox_wanted = anyio.Event()
            while self._outbox:
                data, host, port = self._outbox.popleft()
                sent.inc(len(data))
                try:
                    await self._udp.sendto(data, host, port)
                except OSError:
                    continue

    async def _receive_datagrams(self) -> None:
        received = self._metrics.peer_bytes.labels("received", "datagram")
        while True:
            try:
                data, _ = await self._udp.receive()
            except (anyio.BrokenResourceError, OSError):
                continue
            received.inc(len(data))
            try:
                sender, message = hello.open_datagram(self._secret, data)
                self._engine.feed(
                    events.PeerMessage, sender=sender, message=message
                )
            except errors.ProtocolError as error:
                self._logger.write(
                    log_events.Code.DATAGRAM_REFUSED, error=str(error)
                )


def _tune(stream: anyio.abc.SocketStream) -> None:
    """Bound what the kernel holds, so that short frames need not queue."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.IPPROTO_TCP, TCP_NOTSENT_LOWAT, NOTSENT_BYTES)
    # A partition may leave a stream silent for good, without a reset.
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
