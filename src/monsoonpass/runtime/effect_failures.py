"""What follows when an effect cannot be performed.

An effect that concerns one call, one message or one log line fails alone: the
failure is logged and counted, and the reducer hears of the call's end. After
any other failure, the node's state and what was done no longer agree, so the
process ends and starts again from its journal.
"""

import functools
from typing import Any

from monsoonpass import errors
from monsoonpass import immutable
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core.calls import outcome

CONFINED = (
    effects.Send,
    effects.SendDatagram,
    effects.Reply,
    effects.Log,
    effects.Forward,
    effects.CancelForward,
    effects.Dispatch,
    effects.AbortDispatch,
    effects.FailCall,
    effects.ReplayAnswer,
)
# Fields that identify what an effect concerns, for the log.
IDENTIFYING_FIELDS = ("call_id", "owner_call_id", "attempt", "request_id")


@immutable.dataclass
class FollowUp:
    """An event that tells the reducer of the failure.

    Attributes:
        event_type: Class of the event.
        fields: Its fields.
    """

    event_type: Any
    fields: dict[str, Any]


@functools.singledispatch
def follow_up(effect: effects.Effect) -> FollowUp | None:
    """Return the event that follows a failed effect, or None."""
    return None


@follow_up.register
def _(effect: effects.Dispatch) -> FollowUp | None:
    """Free the slot of a call that was not sent to the upstream."""
    return FollowUp(
        event_type=events.OwnerCallFinished,
        fields={
            "owner_call_id": effect.owner_call_id,
            "service_time_s": 0.0,
            "failure": _unknown(outcome.Reason.UPSTREAM_BROKE_OFF),
        },
    )


@follow_up.register
def _(effect: effects.Forward) -> FollowUp | None:
    """End an attempt that may not have been sent."""
    return FollowUp(
        event_type=events.AttemptEnded,
        fields={
            "call_id": effect.call_id,
            "attempt": effect.attempt,
            "failure": _unknown(outcome.Reason.LINK_LOST),
            "load": None,
        },
    )


def describe_effect(effect: effects.Effect, error: Exception) -> dict[str, Any]:
    """Return the log fields of a failed effect."""
    fields: dict[str, Any] = {
        name: getattr(effect, name)
        for name in IDENTIFYING_FIELDS
        if hasattr(effect, name)
    }
    if isinstance(effect, effects.Send | effects.SendDatagram):
        fields["peer"] = effect.to.instance
        fields["message"] = type(effect.message).__name__
    return describe(type(effect).__name__, error, **fields)


def describe(place: str, error: Exception, **fields: Any) -> dict[str, Any]:
    """Return the log fields of an unexpected error.

    Args:
        place: The effect or the component that failed.
        error: The error.
        **fields: What identifies the call, link or connection.
    """
    cause = errors.first_leaf(error)
    text = f"{type(cause).__name__}: {cause}"[:200]
    return {"place": place, **fields, "error": text}


def _unknown(reason: outcome.Reason) -> outcome.Failure:
    return outcome.Failure(outcome=outcome.Outcome.UNKNOWN, reason=reason)
