"""Decides which calls a stopping node still takes.

Load pattern: instances are stopped in turn under load, and kept connections
bring calls until the process ends. A call that its upstream is still running
then would be lost, while one that is refused in time runs at another node.
"""

import math

# Service times scatter; stragglers take several times the usual time.
USUAL_TIME_FACTOR = 8.0
# Share of the objective that a call of an unknown route is expected to take.
UNKNOWN_TIME_SHARE = 0.5
# Slowest rate at which the rest of a request body is expected to arrive.
BODY_RATE_BYTES_S = 1024 * 1024


def latest_start_s(
    end_s: float,
    *,
    deadline_s: float,
    usual_s: float,
    objective_s: float,
    body_bytes: int = 0,
) -> float:
    """Return the latest time at which a call may start at a stopping node.

    Args:
        end_s: When the node gives up all calls; infinite if it is not stopping.
        deadline_s: Deadline of the call. A call that must end before the node
            does may start at any time.
        usual_s: Usual time from the start of such a call to its answer; 0 if it
            is not known.
        objective_s: Response time objective; used instead of an unknown time.
        body_bytes: Length of the part of the request body still to arrive.

    Returns:
        The time in seconds; infinite if the call fits in any case.
    """
    if deadline_s <= end_s:
        return math.inf
    needed_s = USUAL_TIME_FACTOR * usual_s or UNKNOWN_TIME_SHARE * objective_s
    return end_s - needed_s - body_bytes / BODY_RATE_BYTES_S
