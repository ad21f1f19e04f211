"""When refused callers are told to come back.

Load pattern: a moment refuses hundreds of callers, who would all come back at
the same moment if they were told the same time. They are spread over the time
of one more wait.
"""

import dataclasses

from monsoonpass.core import entropy as entropy_lib
from monsoonpass.core.calls import outcome

RETRY_AFTER_MIN_S = 0.05  # A new connection and the way back.
FAILOVER_RETRY_AFTER_S = 0.25  # News of who serves instead takes about as long.
RETRY_AFTER_SPREAD = 2.0  # Times the wait over which returns are spread.


def with_time(failure: outcome.Failure, entropy: int) -> outcome.Failure:
    """Return a failure with the time after which a caller should return.

    Args:
        failure: The failure to tell.
        entropy: Random bits.

    Returns:
        The failure; one that may have run, or that time does not mend, is
        unchanged.
    """
    if failure.outcome is not outcome.Outcome.NOT_RUN:
        return failure
    if failure.reason is outcome.Reason.UPSTREAM_SHED:
        # It is not load that it shed, so nothing is gained by waiting.
        return dataclasses.replace(failure, retry_after_s=RETRY_AFTER_MIN_S)
    if failure.reason in (outcome.Reason.NO_ROUTE, outcome.Reason.TOO_LARGE):
        return failure
    if failure.retry_after_s is None:
        return dataclasses.replace(
            failure, retry_after_s=FAILOVER_RETRY_AFTER_S
        )
    random_numbers = entropy_lib.Entropy(bits=entropy)
    min_s = max(failure.retry_after_s, RETRY_AFTER_MIN_S)
    spread_s = min_s * random_numbers.uniform(1.0, RETRY_AFTER_SPREAD)
    return dataclasses.replace(failure, retry_after_s=spread_s)
