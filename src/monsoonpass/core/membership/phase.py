"""What is done with the own upstream, and what changes that."""

import enum


class Phase(enum.Enum):
    """What is done with the own upstream."""

    ABSENT = "absent"  # None has announced itself.
    WAITING = "waiting"  # Members may still tell that it leaves.
    OFFERED = "offered"  # It takes calls.
    UNREACHABLE = "unreachable"  # It is offered again after a while.
    LOST = "lost"  # Only an announcement offers it again.
    LEAVING = "leaving"  # It gave notice, or its node stops.


class Cause(enum.Enum):
    """What may change the phase."""

    ANNOUNCED = "announced"  # It says that it is ready, and may be offered.
    ANNOUNCED_EARLY = "announced-early"  # Members were not heard yet.
    CONFIRMED = "confirmed"  # Members were heard, or nobody answers.
    LEAVES = "leaves"  # A notice binds it, or its node stops.
    UNREACHABLE = "unreachable"  # Connections to it fail.
    RECHECKED = "rechecked"  # The while after that is over.
    REPLACED = "replaced"  # Another process answered at its address.
    SILENT = "silent"  # It neither announces itself nor answers.


_NEXT = {
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


def after(phase: Phase, cause: Cause) -> Phase:
    """Return the phase that follows, the same one where nothing changes."""
    return _NEXT[cause].get(phase, phase)
