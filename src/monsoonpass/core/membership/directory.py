"""Directory of other data centres: contacts, versions and endpoints.

A few relays in each data centre exchange contacts and configuration versions
with nodes of the other data centres. A node holds remote endpoints only for
services that its calls need, and obtains them through a relay of its own data
centre, so that only one query per service and interval crosses each link.
"""

import heapq

from monsoonpass import codec
from monsoonpass import immutable
from monsoonpass.core import address as address_lib
from monsoonpass.core import bounded_mapping
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core import seeded_random
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.distribution import catch_up
from monsoonpass.core.membership import member as member_lib
from monsoonpass.core.membership import member_table

RELAYS = 2  # Per data centre and purpose.
GREETING_INTERVAL_S = 2.0
GREETINGS_PER_EXCHANGE = 4  # Data centres greeted per interval.
ENDPOINTS_FRESH_S = 2.0
UNUSED_ENDPOINTS_S = 30.0
ENDPOINTS_MAX = 64  # Per reply.
CONTACTS_MAX = 5  # Per data centre.
SERVICES_MAX = 512
RTT_SMOOTHING = 0.2  # Weight of a new measurement.


@codec.register(80)
@immutable.dataclass
class Greeting:
    """Introduces the sender's data centre to another one.

    Attributes:
        data_centre: The sender's data centre.
        region: Region of that data centre.
        contacts: Nodes of that data centre to contact.
        version: Configuration version in force at the sender.
        sent_s: Start of the exchange, by the clock of the node that began it;
            copied into the reply to measure the round trip.
        wants_reply: Whether the receiver should reply.
    """

    data_centre: str
    region: str
    contacts: tuple[address_lib.Address, ...]
    version: int
    sent_s: float
    wants_reply: bool


@codec.register(81)
@immutable.dataclass
class EndpointQuery:
    """Requests the endpoints of a service.

    Attributes:
        service: Name of the service.
        from_other_data_centre: Whether the sender is in another data centre
            than the receiver.
    """

    service: str
    from_other_data_centre: bool


@codec.register(82)
@immutable.dataclass
class EndpointReply:
    """Carries the endpoints of a service in one data centre."""

    service: str
    data_centre: str
    members: tuple[member_lib.Member, ...]


@immutable.dataclass
class Endpoints:
    """The last received endpoints of a service in one data centre.

    Attributes:
        members: Members whose upstreams serve the service.
        received_s: When the endpoints were received.
    """

    members: tuple[member_lib.Member, ...]
    received_s: float


def start(state: node.Node, event: events.Started) -> list[effects.Effect]:
    """Use seeds as the first contacts and start the periodic exchange."""
    directory = state.directory
    if state.settings.flat:
        return []
    own = state.settings.data_centre
    for seed in state.settings.seeds:
        directory.regions[seed.data_centre] = seed.region
        if seed.data_centre == own:
            continue
        contacts = directory.contacts.get(seed.data_centre, ())
        directory.contacts[seed.data_centre] = (*contacts, seed.address)
    if not directory.contacts:
        return []
    rng = seeded_random.SeededRandom(bits=event.random_bits)
    delay_s = rng.uniform(0.05, 0.3)
    return [effects.SetTimer(timer=timers.GreetingDue(), delay_s=delay_s)]


def relays(state: node.Node, salt: str) -> list[address_lib.Address]:
    """Return the relays of the own data centre.

    Args:
        state: The node.
        salt: Purpose of the relays; each purpose has its own ranking.
    """
    ranked = heapq.nsmallest(
        RELAYS,
        state.membership.table.alive(),
        key=lambda m: member_table.rank(m.instance, salt),
    )
    return [m.address for m in ranked]


def is_relay(state: node.Node, salt: str) -> bool:
    """Return whether this node is one of the relays for a purpose."""
    own = state.settings.address.instance
    return any(relay.instance == own for relay in relays(state, salt))


def has_recent_endpoints(
    state: node.Node, event: events.Event, service: str
) -> bool:
    """Return whether the endpoints of all other data centres are recent."""
    by_data_centre = state.directory.endpoints.get(service, {})
    for data_centre in state.directory.contacts:
        endpoints = by_data_centre.get(data_centre)
        if (
            endpoints is None
            or event.now_s - endpoints.received_s > 2 * ENDPOINTS_FRESH_S
        ):
            return False
    return True


def refresh_endpoints(
    state: node.Node, event: events.Event, service: str
) -> list[effects.Effect]:
    """Query remote endpoints that a call needs, unless queried recently."""
    directory = state.directory
    if not directory.contacts:
        return []
    bounded_mapping.evict_oldest_if_full(directory.needed_s, SERVICES_MAX)
    directory.needed_s[service] = event.now_s
    queried_s = directory.queried_s.get(service, float("-inf"))
    if event.now_s - queried_s < ENDPOINTS_FRESH_S:
        return []
    return query_endpoints(state, event, service)


def query_endpoints(
    state: node.Node, event: events.Event, service: str
) -> list[effects.Effect]:
    """Query endpoints from a relay or, as a relay, from other data centres."""
    directory = state.directory
    queried_s = directory.queried_s.get(service, float("-inf"))
    if event.now_s - queried_s < 0.1:  # Seconds; waiting calls share a query.
        return []
    directory.queried_s[service] = event.now_s
    salt = f"relay/{service}"
    own = state.settings.address.instance
    local_relays = relays(state, salt)
    if local_relays and all(relay.instance != own for relay in local_relays):
        query = EndpointQuery(service=service, from_other_data_centre=False)
        return [effects.Send(to=local_relays[0], message=query)]
    return _query_other_data_centres(state, event, service)


@step.handle_timer.register
def _(
    timer: timers.GreetingDue, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    rng = seeded_random.SeededRandom(bits=event.random_bits)
    delay_s = rng.uniform(
        0.75 * GREETING_INTERVAL_S, 1.25 * GREETING_INTERVAL_S
    )
    result: list[effects.Effect] = [
        effects.SetTimer(timer=timers.GreetingDue(), delay_s=delay_s)
    ]
    _evict_unused(state, event.now_s)
    if not is_relay(state, "relay") and state.control.replica is None:
        return result
    greeting = _make_greeting(state, event.now_s, wants_reply=True)
    others = sorted(state.directory.contacts)
    for data_centre in rng.sample(others, GREETINGS_PER_EXCHANGE):
        to = _choose_contact(state, data_centre, rng)
        result.append(effects.Send(to=to, message=greeting))
    return result


@step.handle_message.register
def _(
    message: Greeting, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    directory = state.directory
    result: list[effects.Effect] = []
    if message.data_centre != state.settings.data_centre:
        directory.regions[message.data_centre] = message.region
        directory.heard_s[message.data_centre] = event.now_s
        if message.contacts:
            contacts = message.contacts[:CONTACTS_MAX]
            directory.contacts[message.data_centre] = contacts
        if not message.wants_reply:
            _update_rtt(
                state, message.data_centre, event.now_s - message.sent_s
            )
    if message.wants_reply:
        reply = _make_greeting(state, message.sent_s, wants_reply=False)
        result.append(effects.Send(to=event.sender, message=reply))
    return result + catch_up.handle_peer_version(state, event, message.version)


@step.handle_message.register
def _(
    message: EndpointQuery, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    directory = state.directory
    if message.from_other_data_centre:
        reply = EndpointReply(
            service=message.service,
            data_centre=state.settings.data_centre,
            members=_local_endpoints(state, event, message.service),
        )
        return [effects.Send(to=event.sender, message=reply)]
    result: list[effects.Effect] = []
    by_data_centre = directory.endpoints.get(message.service, {})
    for data_centre, endpoints in sorted(by_data_centre.items()):
        reply = EndpointReply(
            service=message.service,
            data_centre=data_centre,
            members=endpoints.members,
        )
        result.append(effects.Send(to=event.sender, message=reply))
    if not directory.contacts:
        # No reply would come that ends the wait.
        return result
    waiting_nodes = directory.waiting_nodes.setdefault(message.service, {})
    if len(waiting_nodes) < CONTACTS_MAX * ENDPOINTS_MAX:
        waiting_nodes[event.sender.instance] = event.sender
    return result + refresh_endpoints(state, event, message.service)


def store_endpoints(
    state: node.Node, event: events.PeerMessage, message: EndpointReply
) -> tuple[list[effects.Effect], bool]:
    """Store the endpoints of a service and forward them to waiting nodes.

    Args:
        state: The node.
        event: The event that carried the message.
        message: Endpoints of the service in one data centre.

    Returns:
        Effects, and whether calls may stop waiting for endpoints: there are
        some, or every data centre has replied.
    """
    directory = state.directory
    by_data_centre = directory.endpoints.setdefault(message.service, {})
    by_data_centre[message.data_centre] = Endpoints(
        members=message.members, received_s=event.now_s
    )
    result: list[effects.Effect] = [
        effects.Send(to=waiting_node, message=message)
        for waiting_node in directory.waiting_nodes.get(
            message.service, {}
        ).values()
        if waiting_node.instance != event.sender.instance
    ]
    is_complete = len(by_data_centre) >= len(directory.contacts)
    if is_complete:
        directory.waiting_nodes.pop(message.service, None)
    return result, bool(message.members) or is_complete


def _query_other_data_centres(
    state: node.Node, event: events.Event, service: str
) -> list[effects.Effect]:
    rng = seeded_random.SeededRandom(bits=event.random_bits)
    query = EndpointQuery(service=service, from_other_data_centre=True)
    return [
        effects.Send(to=_choose_contact(state, data_centre, rng), message=query)
        for data_centre in sorted(state.directory.contacts)
    ]


def _choose_contact(
    state: node.Node, data_centre: str, rng: seeded_random.SeededRandom
) -> address_lib.Address:
    """Return a random contact; sometimes a seed, in case contacts are gone."""
    seeds = [
        seed.address
        for seed in state.settings.seeds
        if seed.data_centre == data_centre
    ]
    contacts = state.directory.contacts[data_centre]
    if seeds and rng.below(4) == 0:
        return rng.choice(seeds)
    return rng.choice(contacts)


def _make_greeting(
    state: node.Node, sent_s: float, *, wants_reply: bool
) -> Greeting:
    return Greeting(
        data_centre=state.settings.data_centre,
        region=state.settings.region,
        contacts=tuple(relays(state, "relay")),
        version=state.config.version,
        sent_s=sent_s,
        wants_reply=wants_reply,
    )


def _update_rtt(state: node.Node, data_centre: str, rtt_s: float) -> None:
    previous = state.directory.rtt_s.get(data_centre)
    if previous is None:
        state.directory.rtt_s[data_centre] = rtt_s
        return
    state.directory.rtt_s[data_centre] = previous + RTT_SMOOTHING * (
        rtt_s - previous
    )


def _local_endpoints(
    state: node.Node, event: events.Event, service: str
) -> tuple[member_lib.Member, ...]:
    group = state.membership.table.by_service.get(service, {})
    serving = [m for m in group.values() if m.upstream.accepts_calls]
    rng = seeded_random.SeededRandom(bits=event.random_bits)
    return tuple(rng.sample(serving, ENDPOINTS_MAX))


def _evict_unused(state: node.Node, now_s: float) -> None:
    """Remove the endpoints of services that no call has needed recently."""
    directory = state.directory
    for service, needed_s in list(directory.needed_s.items()):
        if now_s - needed_s > UNUSED_ENDPOINTS_S:
            del directory.needed_s[service]
            directory.endpoints.pop(service, None)
            directory.queried_s.pop(service, None)
            directory.waiting_nodes.pop(service, None)
