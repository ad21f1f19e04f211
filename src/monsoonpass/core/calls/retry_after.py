"""Retry-after times of refused calls.

Load pattern: hundreds of calls are refused at the same moment. With equal
retry-after times their callers would all retry at the same moment too, so the
times are spread at random over the length of one more wait.
"""

import dataclasses

from monsoonpass.core import seeded_random
from monsoonpass.core.calls import outcome

RETRY_AFTER_MIN_S = 0.05  # Time of a new connection and a round trip.
# About the time until news of another instance of the service has spread.
FAILOVER_RETRY_AFTER_S = 0.25
RETRY_AFTER_SPREAD = 2.0  # Longest retry-after time, as a multiple of the wait.
# Reasons for which a later retry would be refused too.
FINAL_REASONS = frozenset(
    (
        outcome.Reason.NO_ROUTE,
        outcome.Reason.UNKNOWN_KEY,
        outcome.Reason.TOO_LARGE,
        outcome.Reason.EMPTY_KEY,
    )
)


def with_retry_after(
    failure: outcome.Failure, random_bits: int
) -> outcome.Failure:
    """Return a failure with the time after which the caller should retry.

    Args:
        failure: The failure of a call.
        random_bits: Random bits.

    Returns:
        The failure. It is unchanged if the call may have run, or if a later
        retry would fail for the same reason.
    """
    if failure.outcome is not outcome.Outcome.NOT_RUN:
        return failure
    if failure.reason is outcome.Reason.UPSTREAM_SHED:
        # Upstreams shed calls at random, not by the length of a queue, so an
        # immediate retry has the same chance as a later one.
        return dataclasses.replace(failure, retry_after_s=RETRY_AFTER_MIN_S)
    if failure.reason in FINAL_REASONS:
        return failure
    if failure.reason is outcome.Reason.OVER_QUOTA:
        # These times are spread already, at the rate of the workspace.
        retry_after_s = max(failure.retry_after_s or 0.0, RETRY_AFTER_MIN_S)
        return dataclasses.replace(failure, retry_after_s=retry_after_s)
    if failure.retry_after_s is None:
        return dataclasses.replace(
            failure, retry_after_s=FAILOVER_RETRY_AFTER_S
        )
    rng = seeded_random.SeededRandom(bits=random_bits)
    min_s = max(failure.retry_after_s, RETRY_AFTER_MIN_S)
    retry_after_s = min_s * rng.uniform(1.0, RETRY_AFTER_SPREAD)
    return dataclasses.replace(failure, retry_after_s=retry_after_s)
