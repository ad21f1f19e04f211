"""Cold start: a quorum read of the last accepted version.

A node that starts without a stored configuration does not serve calls until a
quorum has confirmed the last accepted version. The node then fetches the
content from a peer in its data centre if possible, so that many nodes starting
at once do not overload the voters.
"""

from monsoonpass.core import address as address_lib
from monsoonpass.core import backoff
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core import node
from monsoonpass.core import seeded_random
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.agreement import voter_lookup
from monsoonpass.core.distribution import catch_up
from monsoonpass.core.distribution import config_messages as messages
from monsoonpass.core.distribution import linearizable_read
from monsoonpass.core.distribution import submission
from monsoonpass.core.membership import own_upstream
from monsoonpass.core.rollouts import knowledge as rollout_knowledge

RETRY_BASE_S = 0.2  # Shorter than an election after all voters restart.
# Nodes that are notified of the next leader; further nodes retry on a timer.
WAITING_NODES_MAX = 1024
LEADER_HINT_INTERVAL_S = 0.1
# Short, because connections that a starting voter refuses cost little.
UNREACHABLE_RETRY_MIN_S = 0.15
RETRY_MAX_S = 1.0  # Short, because the node rejects all calls meanwhile.


@step.handle_message.register
def _(
    message: messages.ColdReadReply, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    config = state.config
    if message.voters:
        state.control.voters = message.voters
    state.control.leader = message.leader or state.control.leader
    result = notify_waiting_nodes(state)
    if message.read_id:
        return result + linearizable_read.handle_reply(state, event, message)
    if not message.confirmed:
        return result + _query_hinted_leader(state, event, message.leader)
    result += submission.forward_pending(state, event)
    config.confirming_voter = event.sender
    config.confirmed_version = max(
        message.version, config.confirmed_version or 0
    )
    if message.version <= config.version and not config.ready:
        config.ready = True
        result.append(
            effects.Log(
                code=log_events.Code.COLD_START_READ,
                fields={"version": config.version},
            )
        )
    result += rollout_knowledge.learn_at_start(state, event, message.rollouts)
    result += own_upstream.merge_durable_notices(state, event, message.notices)
    if config.ready:
        result.append(effects.CancelTimer(timer=timers.ColdStartRetry()))
    if message.version > config.newest.version:
        source = _content_source(state, event)
        result += catch_up.send_fetch(state, source, message.version)
    return result


@step.handle_timer.register
def _(
    timer: timers.ColdStartRetry, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    return start_cold_read(state, event)


def handle_link_lost(
    state: node.Node, event: events.LinkLost
) -> list[effects.Effect]:
    """Retry the cold read soon after the link to a voter is lost."""
    if state.config.ready:
        return []
    voters = voter_lookup.known_voters(state)
    if all(voter.instance != event.instance for voter in voters):
        return []
    rng = seeded_random.SeededRandom(bits=event.random_bits)
    delay_s = rng.uniform(
        UNREACHABLE_RETRY_MIN_S, 2.0 * UNREACHABLE_RETRY_MIN_S
    )
    timer = timers.ColdStartRetry()
    return [effects.SetTimer(timer=timer, delay_s=delay_s)]


def start_cold_read(
    state: node.Node, event: events.Event
) -> list[effects.Effect]:
    """Query a voter for the last accepted version, with jittered backoff."""
    config = state.config
    config.cold_read_attempts += 1
    delay_max_s = backoff.doubled_s(
        RETRY_BASE_S, config.cold_read_attempts, RETRY_MAX_S
    )
    rng = seeded_random.SeededRandom(bits=event.random_bits)
    retry = effects.SetTimer(
        timer=timers.ColdStartRetry(),
        delay_s=rng.uniform(0.5 * RETRY_BASE_S, delay_max_s),
    )
    own = state.settings.address
    replica = state.control.replica
    if replica is not None and replica.is_ready_leader:
        return [effects.Send(to=own, message=messages.ColdRead()), retry]
    voters = voter_lookup.other_voters(state)
    if not voters:
        return [retry]
    to = rng.choice(voters)
    return [effects.Send(to=to, message=messages.ColdRead()), retry]


def _content_source(
    state: node.Node, event: events.PeerMessage
) -> address_lib.Address:
    """Return the node to fetch the content from: a nearby peer at first.

    A peer may not have the content either, so later attempts fetch from the
    voter that confirmed the version.
    """
    peers = catch_up.nearest_members(state)
    if state.config.cold_read_attempts > 1 or not peers:
        return event.sender
    return seeded_random.SeededRandom(bits=event.random_bits).choice(peers)


def _query_hinted_leader(
    state: node.Node,
    event: events.PeerMessage,
    leader: address_lib.Address | None,
) -> list[effects.Effect]:
    """Query the leader that a voter named, at most once per hint interval."""
    control = state.control
    if leader is None or leader.instance == event.sender.instance:
        return []
    if leader.instance == state.settings.address.instance:
        return []
    if event.now_s - control.leader_hint_followed_s < LEADER_HINT_INTERVAL_S:
        return []
    control.leader_hint_followed_s = event.now_s
    return [effects.Send(to=leader, message=messages.ColdRead())]


def add_waiting_node(
    state: node.Node, requester: address_lib.Address, message: messages.ColdRead
) -> None:
    """Record a node to be notified once a leader is known.

    When all nodes restart at once, they query voters before a leader is
    elected. The notification spares each node the wait for its next attempt.
    """
    waiting_nodes = state.control.waiting_nodes
    replica = state.control.replica
    is_leading = replica is not None and replica.is_leader
    knows_other_leader = (
        voter_lookup.known_leader(state) is not None and not is_leading
    )
    if (
        not message.read_id
        and not knows_other_leader
        and len(waiting_nodes) < WAITING_NODES_MAX
    ):
        waiting_nodes[requester.instance] = requester


def notify_waiting_nodes(state: node.Node) -> list[effects.Effect]:
    """Notify the nodes that queried this node before the leader was known.

    This node need not be a voter. For example, a seed that is no longer one
    learns of the leader from a `ColdReadReply`.
    """
    leader = voter_lookup.known_leader(state)
    if leader is None or leader == state.settings.address:
        return []
    waiting_nodes, state.control.waiting_nodes = state.control.waiting_nodes, {}
    return [
        make_cold_read_reply(state, requester, False)
        for requester in waiting_nodes.values()
    ]


def make_cold_read_reply(
    state: node.Node,
    requester: address_lib.Address,
    confirmed: bool,
    *,
    read_id: int = 0,
) -> effects.Send:
    """Return the reply to a `ColdRead`.

    Args:
        state: The node.
        requester: Address of the node that sent the `ColdRead`.
        confirmed: Whether a quorum confirmed the last accepted version.
        read_id: Correlates the reply with the request; 0 for a cold start.

    Returns:
        The effect that sends the reply.
    """
    state_machine = state.control.state_machine
    version = state_machine.catalog.version
    notices = state_machine.notices.find(requester.instance)
    message = messages.ColdReadReply(
        confirmed=confirmed,
        version=version if confirmed else 0,
        leader=voter_lookup.known_leader(state),
        voters=voter_lookup.known_voters(state),
        read_id=read_id,
        notices=notices if confirmed and not read_id else (),
        rollouts=(
            state_machine.rollouts.recent() if confirmed and not read_id else ()
        ),
    )
    return effects.Send(to=requester, message=message)
