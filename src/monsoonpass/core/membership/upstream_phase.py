"""The state machine of the own upstream: phases and causes of changes."""

import enum


class Phase(enum.Enum):
    """Phase of the own upstream."""

    ABSENT = "absent"  # No upstream has announced itself.
    WAITING = "waiting"  # Members may still report a notice of leaving.
    OFFERED = "offered"  # Calls are admitted.
    UNREACHABLE = "unreachable"  # Withdrawn until a recheck.
    LOST = "lost"  # Withdrawn until the next announcement.
    LEAVING = "leaving"  # Gave notice, or the node is stopping.


class Cause(enum.Enum):
    """Cause of a change of phase."""

    ANNOUNCED = "announced"  # Announced as ready; no wait for members.
    ANNOUNCED_EARLY = "announced-early"  # Ready, but the node has yet to join.
    CONFIRMED = "confirmed"  # The node has joined, or waited long enough.
    LEAVES = "leaves"  # Notice of leaving, or the node stops.
    UNREACHABLE = "unreachable"  # Repeated connection failures.
    RECHECKED = "rechecked"  # The time until a recheck is over.
    REPLACED = "replaced"  # Another process is at its address.
    SILENT = "silent"  # No announcement and no answer.


_TRANSITIONS = {
    Cause.ANNOUNCED: dict.fromkeys(Phase, Phase.OFFERED),
    Cause.ANNOUNCED_EARLY: dict.fromkeys(Phase, Phase.WAITING),
    Cause.CONFIRMED: {Phase.WAITING: Phase.OFFERED},
    Cause.LEAVES: dict.fromkeys(Phase, Phase.LEAVING),
    Cause.UNREACHABLE: {Phase.OFFERED: Phase.UNREACHABLE},
    Cause.RECHECKED: {Phase.UNREACHABLE: Phase.OFFERED},
    Cause.REPLACED: {
        Phase.OFFERED: Phase.LOST,
        Phase.UNREACHABLE: Phase.LOST,
    },
    Cause.SILENT: {
        Phase.OFFERED: Phase.LOST,
        Phase.UNREACHABLE: Phase.LOST,
    },
}


def next_phase(phase: Phase, cause: Cause) -> Phase:
    """Return the phase after a cause; the same phase if nothing changes."""
    return _TRANSITIONS[cause].get(phase, phase)
