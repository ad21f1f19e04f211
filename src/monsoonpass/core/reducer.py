"""The reducer: the only code that changes the state of a node.

Importing this module registers the handlers of all subpackages.
"""

import dataclasses

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core import node
from monsoonpass.core import step as step_lib
from monsoonpass.core import timers
from monsoonpass.core.agreement import control_group
from monsoonpass.core.agreement import replication
from monsoonpass.core.calls import attempts
from monsoonpass.core.calls import call_handlers as _call_handlers
from monsoonpass.core.calls import giving_up
from monsoonpass.core.distribution import cold_start
from monsoonpass.core.distribution import survey as _survey
from monsoonpass.core.distribution import version_distribution
from monsoonpass.core.membership import directory
from monsoonpass.core.membership import gossip
from monsoonpass.core.membership import member as member_lib
from monsoonpass.core.membership import membership
from monsoonpass.core.membership import own_upstream
from monsoonpass.core.membership import sync_request
from monsoonpass.core.quotas import quota_handlers
from monsoonpass.core.rollouts import leader as _rollout_leader
from monsoonpass.core.rollouts import owner as _rollout_owner
from monsoonpass.core.rollouts import requests as _rollout_requests

assert _call_handlers  # Imported for its registrations.
assert _survey  # Imported for its registrations.
# Imported for their registrations.
assert _rollout_leader and _rollout_owner and _rollout_requests

DRAIN_CHECK_INTERVAL_S = 0.05
# Time for peers to receive the failures of calls that a stop has given up.
GIVE_UP_FLUSH_S = 0.1
PEER_DRAIN_LEAD_S = 1.0  # Time for calls that peers have already sent.

step = step_lib.step


@step_lib.step.register
def _(event: events.Started, state: node.Node) -> list[effects.Effect]:
    state.wall_offset_ms = event.wall_ms - int(event.now_s * 1000)
    state.started_s = event.now_s
    # Starts at the wall clock so that late replies to surveys of an earlier
    # process of this node do not match.
    state.survey_number = event.wall_ms
    state.admission.queue_limit = state.settings.queue_limit
    quota_handlers.start(state, event)
    state.admission.even_load = state.settings.even_load
    version_distribution.recover(state, event)
    return [
        *membership.start(state, event),
        *directory.start(state, event),
        *cold_start.start_cold_read(state, event),
        *control_group.start_control_group(state, event),
        effects.Log(
            code=log_events.Code.NODE_STARTED,
            fields={"version": state.config.version},
        ),
    ]


@step_lib.step.register
def _(event: events.SettingsChanged, state: node.Node) -> list[effects.Effect]:
    state.settings = dataclasses.replace(
        state.settings, seeds=event.seeds, service=event.service
    )
    return sync_request.request_sync_from_missing_seeds(state)


@step_lib.step.register
def _(event: events.LinkLost, state: node.Node) -> list[effects.Effect]:
    if state.control.replica is not None:
        replication.handle_link_lost(state.control.replica, event.instance)
    return [
        *attempts.handle_link_lost(state, event),
        *cold_start.handle_link_lost(state, event),
        *control_group.handle_replica_notices(state, event),
    ]


@step_lib.step.register
def _(event: events.StopRequested, state: node.Node) -> list[effects.Effect]:
    if state.stopping:
        return []
    state.stopping = True
    state.stop_deadline_s = event.now_s + state.settings.drain_limit_s
    state.earliest_stop_s = event.now_s + state.settings.stop_after_s
    state.admission.end_s = state.stop_deadline_s
    state.admission.noticed_s = state.earliest_stop_s
    return [
        effects.Log(code=log_events.Code.NODE_STOPPING),
        *_start_draining(state, event),
        effects.SetTimer(
            timer=timers.DrainCheck(), delay_s=DRAIN_CHECK_INTERVAL_S
        ),
    ]


def _start_draining(
    state: node.Node, event: events.StopRequested
) -> list[effects.Effect]:
    """Start draining now, or schedule it if callers are still to be served.

    While callers have not yet noticed the stop, this node serves them:
    refusals would cost them more than answers. Peers keep using the own
    upstream until the time left is about what the calls in progress need.
    """
    if not state.settings.stop_after_s:
        return own_upstream.drain(state, event)
    delay_s = max(state.settings.stop_after_s - PEER_DRAIN_LEAD_S, 0.0)
    return [effects.SetTimer(timer=timers.PublishDraining(), delay_s=delay_s)]


@step_lib.handle_timer.register
def _(
    timer: timers.PublishDraining, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    draining = member_lib.UpstreamState.DRAINING
    return [
        *gossip.update_own_record(state, event, upstream=draining),
        *gossip.send_updates_now(state, event),
    ]


@step_lib.handle_timer.register
def _(
    timer: timers.DrainCheck, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    idle = state.admission.is_idle and not state.calls
    idle = idle and not state.keyed_calls
    idle = idle and event.now_s >= state.earliest_stop_s
    if not idle and event.now_s < state.stop_deadline_s + GIVE_UP_FLUSH_S:
        is_over = event.now_s >= state.stop_deadline_s
        return [
            *(giving_up.give_up_all(state, event) if is_over else []),
            effects.SetTimer(timer=timer, delay_s=DRAIN_CHECK_INTERVAL_S),
        ]
    # The process only sends its last answers now, and takes no more calls.
    state.stop_deadline_s = event.now_s
    state.admission.end_s = event.now_s
    return [
        *gossip.update_own_record(
            state, event, state=member_lib.MemberState.LEFT
        ),
        *gossip.send_updates_now(state, event),
        effects.Log(code=log_events.Code.NODE_STOPPED),
        effects.StopCompleted(),
    ]
