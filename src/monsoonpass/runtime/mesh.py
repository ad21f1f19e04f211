"""Network between nodes: links by the peer's instance name, and datagrams."""

import collections
from collections.abc import Callable
import random
import socket
from typing import Any

import anyio
import anyio.abc

from monsoonpass import errors
from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core.calls import call_messages
from monsoonpass.formats import handshake
from monsoonpass.formats import settings as settings_lib
from monsoonpass.runtime import effect_failures
from monsoonpass.runtime import engine as engine_lib
from monsoonpass.runtime import event_log
from monsoonpass.runtime import link as link_lib
from monsoonpass.runtime import metrics as metrics_lib
from monsoonpass.runtime import peer_traffic
from monsoonpass.runtime import streams

CONNECT_TIMEOUT_S = 2.0
WAITING_MESSAGES_MAX = 256
PENDING_HANDSHAKES_MAX = 256
RECONNECT_JITTER_S = 0.05
TCP_NOTSENT_LOWAT = 25  # Number of the Linux socket option.
TCP_USER_TIMEOUT_MS = 2500  # Below the silence after which a voter is replaced.
TCP_KEEPALIVE_S = 1  # Idle time before the first probe, and between probes.
TCP_KEEPALIVE_PROBES = 2
NOTSENT_LOWAT_BYTES = 64 * 1024


class Mesh:
    """Opens and accepts links, and sends and receives messages to peers.

    Attributes:
        links: Open links by the peer's instance name, oldest first. Messages
            are sent on the newest.
    """

    def __init__(
        self,
        *,
        engine: engine_lib.Engine,
        settings: settings_lib.Settings,
        logger: event_log.Logger,
        metrics: metrics_lib.Metrics,
        traffic: peer_traffic.PeerTraffic,
        incarnation: int,
    ):
        self._incarnation = incarnation
        self._engine = engine
        self._settings = settings
        self._logger = logger
        self._metrics = metrics
        self._traffic = traffic
        self._address = settings.reducer_settings().address
        self._secret = settings.mesh.secret.get_secret_value().encode()
        self._task_group: anyio.abc.TaskGroup | None = None
        self._udp_socket: anyio.abc.UDPSocket | None = None
        self._listener: anyio.abc.SocketListener | None = None
        self._datagrams: collections.deque[tuple[bytes, str, int]] = (
            collections.deque()
        )
        self._datagrams_queued = anyio.Event()
        self._waiting_messages: dict[str, list[tuple[Any, bool]]] = {}
        self._pending_handshakes = 0
        self._on_call_message: Callable[[link_lib.Link, Any], None] | None = (
            None
        )
        self._on_link_opened: Callable[[link_lib.Link], None] | None = None
        self._on_link_lost: (
            Callable[[str, link_lib.Link | None], None] | None
        ) = None
        self.links: dict[str, list[link_lib.Link]] = {}
        engine.set_performer(effects.Send, self._perform_send)
        engine.set_performer(effects.SendDatagram, self._perform_send_datagram)

    def set_call_handlers(
        self,
        on_call_message: Callable[[link_lib.Link, Any], None],
        on_link_opened: Callable[[link_lib.Link], None],
        on_link_lost: Callable[[str, link_lib.Link | None], None],
    ) -> None:
        """Set the handlers of call messages and of opened and lost links.

        Args:
            on_call_message: Called with the link and each call message that
                arrives on it.
            on_link_opened: Called with a new link, once the messages that
                waited for one are in its send queue.
            on_link_lost: Called with the peer's instance name and the lost
                link, or None if no link could be opened.
        """
        self._on_call_message = on_call_message
        self._on_link_opened = on_link_opened
        self._on_link_lost = on_link_lost

    async def open(self) -> None:
        """Bind the port for peers, for TCP and UDP."""
        host = self._settings.listen.peers.host
        port = self._settings.listen.peers.port
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=1024
        )
        self._listener = listener.listeners[0]
        self._udp_socket = await anyio.create_udp_socket(
            local_host=host, local_port=port
        )

    async def run(self) -> None:
        """Accept links and exchange datagrams until cancelled."""
        async with anyio.create_task_group() as group:
            self._task_group = group
            group.start_soon(self._receive_datagrams)
            group.start_soon(self._send_datagrams)
            await streams.serve(
                self._listener.extra(anyio.abc.SocketAttribute.raw_socket),
                lambda stream: group.start_soon(self._accept, stream),
            )

    def send_to_peer(
        self, to: address_lib.Address, message: Any, *, bulk: bool = False
    ) -> link_lib.Link | None:
        """Send a message to a peer, opening a link if there is none.

        While a link is being opened, messages for the peer are queued;
        messages beyond `WAITING_MESSAGES_MAX` are dropped.

        Args:
            to: Address of the peer.
            message: A message of a type that is registered for encoding.
            bulk: Whether messages that are not bulk are sent first.

        Returns:
            The link used, or None while one is being opened.
        """
        links = self.links.get(to.instance)
        if links:
            self.send_on_link(links[-1], message, bulk=bulk)
            return links[-1]
        self._queue_until_connected(to, message, bulk)
        return None

    def send_on_link(
        self, link: link_lib.Link, message: Any, *, bulk: bool = False
    ) -> None:
        """Send a message on a link; a link whose queue is full is closed."""
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
        self.send_to_peer(effect.to, effect.message)

    def _queue_until_connected(
        self, to: address_lib.Address, message: Any, bulk: bool
    ) -> None:
        waiting = self._waiting_messages.get(to.instance)
        if waiting is None:
            self._waiting_messages[to.instance] = [(message, bulk)]
            if self._task_group is not None:
                self._task_group.start_soon(self._connect, to)
            return
        if len(waiting) < WAITING_MESSAGES_MAX:
            waiting.append((message, bulk))
            return
        self._logger.write(
            log_events.Code.MESSAGE_DROPPED,
            peer=to.instance,
            message=type(message).__name__,
            waiting=len(waiting),
        )

    async def _connect(self, to: address_lib.Address) -> None:
        """Open a link, send the messages that wait for it and serve it."""
        stream = None
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await streams.connect(to.host, to.port)
            _set_socket_options(stream)
            peer_hello, reader = await self._perform_handshake(
                stream, to.instance
            )
        except (OSError, TimeoutError, errors.MonsoonpassError):
            if stream is not None:
                stream.abort()
            # Delay before `LinkLost` is fed, so that the reducer's retries do
            # not dial a peer that is down in a tight loop.
            await anyio.sleep(random.uniform(0, RECONNECT_JITTER_S))
            if to.instance in self.links:
                # The peer has opened a link meanwhile, on which the waiting
                # messages were sent.
                return
            self._waiting_messages.pop(to.instance, None)
            self._engine.feed(events.LinkLost, instance=to.instance)
            if self._on_link_lost is not None:
                self._on_link_lost(to.instance, None)
            return
        await self._run_link(stream, peer_hello, reader)

    async def _accept(self, stream: streams.Stream) -> None:
        too_many_handshakes = self._pending_handshakes >= PENDING_HANDSHAKES_MAX
        link_count = sum(len(links) for links in self.links.values())
        if (
            too_many_handshakes
            or link_count >= self._settings.limits.peer_links
        ):
            stream.abort()
            return
        self._pending_handshakes += 1
        try:
            _set_socket_options(stream)
            peer_hello, reader = await self._perform_handshake(stream, "")
        except errors.MonsoonpassError as error:
            if not isinstance(error, errors.TransportError):
                self._logger.write(
                    log_events.Code.PEER_REFUSED, peer="", error=str(error)
                )
            stream.abort()
            return
        finally:
            self._pending_handshakes -= 1
        await self._run_link(stream, peer_hello, reader)

    async def _perform_handshake(
        self, stream: streams.Stream, expected_instance: str
    ) -> tuple[handshake.Hello, Any]:
        return await link_lib.perform_handshake(
            stream,
            mesh=self._settings.mesh.name,
            secret=self._secret,
            sender=self._address,
            data_centre=self._settings.node.data_centre,
            incarnation=self._incarnation,
            expected_instance=expected_instance,
        )

    async def _run_link(
        self,
        stream: streams.Stream,
        peer_hello: handshake.Hello,
        reader: Any,
    ) -> None:
        instance = peer_hello.sender.instance
        link = link_lib.Link(
            stream=stream,
            peer=peer_hello.sender,
            data_centre=peer_hello.data_centre,
            incarnation=peer_hello.incarnation,
            reader=reader,
            count_bytes=self._make_byte_counter(peer_hello.data_centre),
            count_message=self._make_message_counter(instance),
            report_skipped=lambda description: self._logger.write(
                log_events.Code.MESSAGE_SKIPPED,
                peer=instance,
                error=description,
            ),
        )
        self.links.setdefault(instance, []).append(link)
        self._metrics.peer_links.inc()
        self._logger.write(log_events.Code.LINK_UP, peer=instance)
        for message, bulk in self._waiting_messages.pop(instance, []):
            self.send_on_link(link, message, bulk=bulk)
        if self._on_link_opened is not None:
            self._on_link_opened(link)
        try:
            await link.run(
                lambda message: self._dispatch_message(link, message)
            )
        except errors.ProtocolError as error:
            self._logger.write(
                log_events.Code.PEER_REFUSED, peer=instance, error=str(error)
            )
        except Exception as error:
            self._engine.report_failure(
                effect_failures.describe("Link", error, peer=instance)
            )
        finally:
            self._metrics.peer_links.dec()
            self._remove_link(link)
            with anyio.CancelScope(shield=True):
                await link.abort()

    def _remove_link(self, link: link_lib.Link) -> None:
        instance = link.peer.instance
        links = self.links[instance]
        links.remove(link)
        if self._on_link_lost is not None:
            self._on_link_lost(instance, link)
        if not links:
            del self.links[instance]
            self._logger.write(log_events.Code.LINK_LOST, peer=instance)
            self._engine.feed(events.LinkLost, instance=instance)

    def _dispatch_message(self, link: link_lib.Link, message: Any) -> None:
        if type(message).__module__ == call_messages.__name__:
            self._on_call_message(link, message)
            return
        if type(message).__module__ == handshake.__name__:
            raise errors.FrameDecodeError(
                "handshake message received after the handshake"
            )
        self._engine.feed(events.PeerMessage, sender=link.peer, message=message)

    def _make_byte_counter(
        self, data_centre: str
    ) -> Callable[[str, int], None]:
        is_own_data_centre = data_centre == self._settings.node.data_centre
        kind = "stream" if is_own_data_centre else "stream_across"
        counters = {
            direction: self._metrics.peer_bytes.labels(direction, kind)
            for direction in ("sent", "received")
        }
        return lambda direction, size: counters[direction].inc(size)

    def _make_message_counter(
        self, instance: str
    ) -> Callable[[Any, int], None]:
        # The distance is looked up for each message: the member table may
        # learn a peer's region only after the link is open.
        return lambda message, size_bytes: self._traffic.count_sent(
            message, self._distance(instance), size_bytes
        )

    def _distance(self, instance: str) -> str:
        """Return the label of the distance to an instance.

        An instance that is not in the member table counts as in another region.
        """
        member = self._engine.state.membership.table.get(instance)
        own_settings = self._settings.node
        same_data_centre, same_region, other_region = (
            metrics_lib.DISTANCE_LABELS
        )
        if member is None or member.region != own_settings.region:
            return other_region
        return (
            same_data_centre
            if member.data_centre == own_settings.data_centre
            else same_region
        )

    def _perform_send_datagram(self, effect: effects.SendDatagram) -> None:
        try:
            data = handshake.seal_datagram(
                self._secret, self._address, effect.message
            )
        except errors.FrameTooLargeError:
            return
        distance = self._distance(effect.to.instance)
        self._traffic.count_sent(effect.message, distance, len(data))
        self._datagrams.append((data, effect.to.host, effect.to.port))
        self._datagrams_queued.set()

    async def _send_datagrams(self) -> None:
        sent = self._metrics.peer_bytes.labels("sent", "datagram")
        while True:
            await self._datagrams_queued.wait()
            self._datagrams_queued = anyio.Event()
            while self._datagrams:
                data, host, port = self._datagrams.popleft()
                sent.inc(len(data))
                try:
                    await self._udp_socket.sendto(data, host, port)
                except OSError:
                    continue

    async def _receive_datagrams(self) -> None:
        received = self._metrics.peer_bytes.labels("received", "datagram")
        while True:
            try:
                data, _ = await self._udp_socket.receive()
            except (anyio.BrokenResourceError, OSError):
                continue
            received.inc(len(data))
            try:
                sender, message = handshake.open_datagram(self._secret, data)
                self._engine.feed(
                    events.PeerMessage, sender=sender, message=message
                )
            except errors.ProtocolError as error:
                self._logger.write(
                    log_events.Code.DATAGRAM_REFUSED, error=str(error)
                )


def _set_socket_options(stream: streams.Stream) -> None:
    """Set the TCP options of a link's socket."""
    sock = stream.raw_socket
    # Bounds the unsent bytes in the kernel, where urgent frames cannot overtake
    # bulk ones.
    sock.setsockopt(socket.IPPROTO_TCP, TCP_NOTSENT_LOWAT, NOTSENT_LOWAT_BYTES)
    # Detects a partition, which may silence a stream for good without a reset.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES
    )
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
