"""The reducer: the one way in which the state of a node changes.

Importing this module registers the handlers of every subject.
"""

from monsoonpass.core import attempts
from monsoonpass.core import calls as _calls
from monsoonpass.core import control
from monsoonpass.core import directory
from monsoonpass.core import distribution
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import gossip
from monsoonpass.core import logbook
from monsoonpass.core import member as member_lib
from monsoonpass.core import membership
from monsoonpass.core import node
from monsoonpass.core import own_upstream
from monsoonpass.core import replication
from monsoonpass.core import step as step_lib
from monsoonpass.core import survey as _survey

assert _calls  # Imported for its registrations.
assert _survey  # Imported for its registrations.

DRAIN_CHECK_S = 0.05

step = step_lib.step


@step_lib.step.register
def _(event: events.Started, state: node.Node) -> list[effects.Effect]:
    state.wall_offset_ms = event.wall_ms - int(event.now_s * 1000)
    state.admission.queue_limit = state.settings.queue_limit
    return [
        *membership.start(state, event),
        *directory.start(state, event),
        *distribution.start(state, event),
        *control.start(state, event),
        effects.Log(
            code=logbook.Code.NODE_STARTED,
            fields={"version": state.config.version},
        ),
    ]


@step_lib.step.register
def _(event: events.LinkLost, state: node.Node) -> list[effects.Effect]:
    if state.control.replica is not None:
        replication.link_lost(state.control.replica, event.instance)
    return [
        *attempts.link_lost(state, event),
        *control.drain_notices(state, event),
    ]


@step_lib.step.register
def _(event: events.StopRequested, state: node.Node) -> list[effects.Effect]:
    if state.stopping:
        return []
    state.stopping = True
    state.stop_at_s = event.now_s + state.settings.drain_limit_s
    return [
        effects.Log(code=logbook.Code.NODE_STOPPING),
        *own_upstream.drain(state, event),
        effects.SetTimer(timer=events.DrainCheck(), delay_s=DRAIN_CHECK_S),
    ]


@step_lib.expire.register
def _(
    timer: events.DrainCheck, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    idle = state.admission.is_idle and not state.calls
    idle = idle and not state.keyed_calls
    if not idle and event.now_s < state.stop_at_s:
        return [effects.SetTimer(timer=timer, delay_s=DRAIN_CHECK_S)]
    return [
        *gossip.change_own(state, event, state=member_lib.MemberState.LEFT),
        *gossip.spread_now(state, event),
        effects.Log(code=logbook.Code.NODE_STOPPED),
        effects.Stopped(),
    ]
