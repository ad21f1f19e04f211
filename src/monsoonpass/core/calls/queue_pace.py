"""Estimates queueing time per class of calls from the waits of earlier ones.

Load pattern: a peak that lasts seconds, during which more urgent calls keep
arriving and overtake queued ones. The queue length on arrival then
underestimates the wait, while the waits of earlier calls include the
overtaking.
"""

from monsoonpass.core import bounded_mapping

SMOOTHING = 0.3  # Weight of a new wait; a load peak lasts only seconds.
CLASSES_MAX = 8192  # Classes whose pace is kept.

PaceClass = tuple[str, bool]  # See `OwnerCall.pace_class`.


class QueuePace:
    """Smoothed time in which the queue of a class advances by one call."""

    def __init__(self) -> None:
        self._seconds_per_position: dict[PaceClass, float] = {}

    def expected_wait_s(
        self, pace_class: PaceClass, queued_ahead: int
    ) -> float:
        """Return the expected wait of a call, from the waits of earlier ones.

        Args:
            pace_class: Class of the call.
            queued_ahead: Calls of the class that are queued already.

        Returns:
            The wait in seconds. It is 0 if nothing is known, and also for the
            first queued call of a class: while a class is starved, only the
            wait of a queued call shows when slots are free again.
        """
        if not queued_ahead:
            return 0.0
        pace_s = self._seconds_per_position.get(pace_class, 0.0)
        return (queued_ahead + 1) * pace_s

    def record(
        self, pace_class: PaceClass, queued_ahead: int, waited_s: float
    ) -> None:
        """Record the wait of a call that got a slot or was refused.

        Args:
            pace_class: Class of the call.
            queued_ahead: Queued calls of the class when the call arrived.
            waited_s: How long the call waited.
        """
        sample_s = waited_s / (queued_ahead + 1)
        mean_s = self._seconds_per_position.get(pace_class)
        if mean_s is None:
            bounded_mapping.evict_oldest_if_full(
                self._seconds_per_position, CLASSES_MAX
            )
            mean_s = sample_s
        self._seconds_per_position[pace_class] = mean_s + SMOOTHING * (
            sample_s - mean_s
        )
