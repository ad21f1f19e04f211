"""Dispatch functions of the reducer: events, peer messages and timers.

Each handler changes the state in place and returns the effects that the
runtime performs in order.
"""

import functools
from typing import Any

from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core import timers


@functools.singledispatch
def step(event: events.Event, state: node.Node) -> list[effects.Effect]:
    """Apply one event to the state.

    Args:
        event: The event, with its time and random bits.
        state: The node's state, changed in place.

    Returns:
        Effects for the runtime to perform in order.
    """
    raise TypeError(f"no handler for event {type(event).__name__}")


@functools.singledispatch
def handle_message(
    message: Any, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    """Handle a message from a peer, dispatched on the message's type."""
    raise TypeError(f"no handler for message {type(message).__name__}")


@functools.singledispatch
def handle_timer(
    timer: timers.Timer, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    """Handle a timer that fired, dispatched on the timer's type."""
    raise TypeError(f"no handler for timer {type(timer).__name__}")


@step.register
def _(event: events.PeerMessage, state: node.Node) -> list[effects.Effect]:
    return handle_message(event.message, event, state)


@step.register
def _(event: events.TimerFired, state: node.Node) -> list[effects.Effect]:
    return handle_timer(event.timer, event, state)
