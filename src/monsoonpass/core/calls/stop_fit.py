"""Decides which calls a stopping node still takes.

Load pattern: instances are stopped in turn under load, and kept connections
bring calls until the process ends. A call that its upstream is still running
then would be lost, while one that is refused in time runs at another node. Only
its deadline says for sure when a call will have ended. A stopping node thus
takes calls whose deadline lies before its own end, and calls with a later
deadline as long as even a straggler ends in time. Once callers have had time to
notice the stop, calls that may run only once are taken by their deadline alone:
another node runs them, and nobody may repeat one that is cut off.
"""

import math

# Stragglers take many times the usual time, and more on a slow upstream.
STRAGGLER_FACTOR = 50.0
# The next long call may take longer than the longest one lately seen.
LONGEST_FACTOR = 2.0
# Slowest rate at which the rest of a request body is expected to arrive.
BODY_RATE_BYTES_S = 1024 * 1024


def latest_start_s(
    end_s: float,
    *,
    deadline_s: float,
    usual_s: float,
    longest_s: float = 0.0,
    certain_from_s: float = math.inf,
    body_bytes: int = 0,
) -> float:
    """Return the latest time at which a call may start at a stopping node.

    Args:
        end_s: When the node gives up all calls; infinite if it is not stopping.
        deadline_s: Deadline of the call. A call that must end before the node
            does may start at any time.
        usual_s: Usual time from the start of such a call to its answer; 0 if it
            is not known.
        longest_s: Longest such time lately seen.
        certain_from_s: Time from which the call must be certain to end in time.
        body_bytes: Length of the part of the request body still to arrive.

    Returns:
        The time in seconds; infinite if the call fits in any case, and minus
        infinity if its deadline is later and its usual time is not known.
    """
    if deadline_s <= end_s:
        return math.inf
    if not usual_s:
        return -math.inf
    duration_s = max(STRAGGLER_FACTOR * usual_s, LONGEST_FACTOR * longest_s)
    duration_s += body_bytes / BODY_RATE_BYTES_S
    return min(end_s - duration_s, certain_from_s)
