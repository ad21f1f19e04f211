"""Compares the answers of a rollout's target with those of other versions.

Load patterns: a bad version fails or is several times slower on about half of
its requests, on all routes or on one, from the start or later. At the same time
single upstreams become slow, and services that the upstreams call fail, both
for all versions alike.

Each route is tested by a cumulative sum (CUSUM): an answer adds the logarithm
of how much likelier it is under an excess of `EXCESS` than under the rate of
the other versions in the same period. The sum does not fall below zero, so a
fault that begins late is found as fast as one from the start.
"""

import collections
import dataclasses
import math

from monsoonpass.core.rollouts import answer_counts
from monsoonpass.core.rollouts import rollout_messages as messages

# Excess of bad answers that is tested for. Bad versions have about 0.5.
EXCESS = 0.25
# Added to the measured rates, which are uncertain. Hedges cut off slow answers
# of other versions, but not of canaries, so the rate of slow ones gets more.
FAILURE_MARGIN = 0.01
SLOW_MARGIN = 0.05
# A slow answer is this many buckets above the other versions' median, which is
# 2.8 to 3.4 times as long. Some upstreams are twice as slow as the mean.
SLOW_BUCKETS = 7
# About e**-7 false alarms for each run of sound answers. Three failures in a
# row exceed it, or four slow answers.
FAILURE_THRESHOLD = 7.0
SLOW_THRESHOLD = 6.0
SUSPICION = 0.5  # Share of the thresholds from which there is no verdict yet.
# While all calls go to the target, there are many more answers to test, and no
# others to compare them with.
FAILURE_THRESHOLD_PROMOTED = 12.0
SLOW_THRESHOLD_PROMOTED = 30.0
# Reports of other upstreams on the same period arrive a little later.
SCORE_DELAY_S = 0.35
HALF_LIVES_S = (1.0, 6.0)
MEDIAN_SAMPLES_MIN = 20
PRIOR_SAMPLES = 50  # Of no failures, so that few samples make no high rate.
CANARY_SAMPLES_MIN = 5
RECENT_S = 2.5
# Sum of the logarithms over `RECENT_S` below which a route is proven sound:
# seven sound answers, or twelve and a slow one.
PROOF = -2.0
ALL_ROUTES = "*"  # A configured route's name contains a slash.


@dataclasses.dataclass(kw_only=True, slots=True)
class Tally:
    """Numbers of ended calls; fractions once they have decayed.

    Attributes:
        answers: Ended calls that count.
        failed: Those that failed.
        slow: Those that were slow or had no answer at their deadline.
    """

    answers: float = 0.0
    failed: float = 0.0
    slow: float = 0.0

    def add(self, other: "Tally") -> None:
        """Add other calls."""
        self.answers += other.answers
        self.failed += other.failed
        self.slow += other.slow

    def scale(self, factor: float) -> None:
        """Reduce the weight of the calls so far."""
        self.answers *= factor
        self.failed *= factor
        self.slow *= factor

    def failure_rate(self) -> float:
        """Return the share of failed calls."""
        return self.failed / (self.answers + PRIOR_SAMPLES)

    def slow_rate(self) -> float:
        """Return the share of slow calls."""
        return self.slow / (self.answers + PRIOR_SAMPLES)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Sums:
    """Cumulative sums of a route.

    Attributes:
        failure: Of failures at all upstreams of the target.
        slow: Of slow answers at all of them.
        slow_without: Of slow answers at all of them but one, by that one.
        recent: Time, and logarithms of failures and of slow answers, of each
            batch scored in the last `RECENT_S`.
    """

    failure: float = 0.0
    slow: float = 0.0
    slow_without: dict[str, float] = dataclasses.field(default_factory=dict)
    recent: collections.deque[tuple[float, float, float]] = dataclasses.field(
        default_factory=collections.deque
    )

    def is_proven(self) -> bool:
        """Return whether the recent answers show no excess."""
        failure = sum(item[1] for item in self.recent)
        slow = sum(item[2] for item in self.recent)
        return max(failure, slow) <= PROOF


class _Baseline:
    """Recent answers of the other versions on one route."""

    def __init__(self) -> None:
        self.times = [0.0] * answer_counts.BUCKETS
        self.timed = 0.0
        self.tallies = [Tally() for _ in HALF_LIVES_S]

    def median_bucket(self) -> int | None:
        """Return the bucket of the median, or None without enough answers."""
        if self.timed < MEDIAN_SAMPLES_MIN:
            return None
        rest = self.timed / 2
        for number, count in enumerate(self.times):
            rest -= count
            if rest <= 0:
                return number
        return None

    def add(self, counts: messages.RouteCounts) -> None:
        """Add answers of an upstream."""
        for number, count in answer_counts.pairs(counts.answered):
            self.times[number] += count
            self.timed += count
        tally = make_tally(counts, self.median_bucket())
        for item in self.tallies:
            item.add(tally)

    def decay(self, elapsed_s: float) -> None:
        """Reduce the weight of old answers."""
        for half_life_s, tally in zip(HALF_LIVES_S, self.tallies, strict=True):
            tally.scale(0.5 ** (elapsed_s / half_life_s))
        factor = 0.5 ** (elapsed_s / HALF_LIVES_S[-1])
        self.times = [count * factor for count in self.times]
        self.timed *= factor

    def failure_rate(self) -> float:
        """Return the higher of the last seconds' and the last second's rate."""
        return max(tally.failure_rate() for tally in self.tallies)

    def slow_rate(self) -> float:
        """Return the rate of slow answers, as `failure_rate`."""
        return max(tally.slow_rate() for tally in self.tallies)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Batch:
    received_s: float
    instance: str
    counts: messages.RouteCounts


class Evidence:
    """What the leader of a rollout has learned from reports.

    Attributes:
        total: Answers of the target so far.
    """

    def __init__(self) -> None:
        self.total = 0
        self._baselines: dict[str, _Baseline] = collections.defaultdict(
            _Baseline
        )
        self._sums: dict[str, _Sums] = collections.defaultdict(_Sums)
        self._pending: collections.deque[_Batch] = collections.deque()
        self._recent: collections.deque[tuple[float, int]] = collections.deque()
        self._by_instance: collections.Counter[str] = collections.Counter()
        self._advanced_s: float | None = None

    def add_other(self, counts: messages.RouteCounts) -> None:
        """Add answers of another version."""
        self._baselines[counts.route].add(counts)

    def add_target(
        self, instance: str, counts: messages.RouteCounts, now_s: float
    ) -> None:
        """Add answers of the target, to be scored a little later."""
        self._pending.append(
            _Batch(received_s=now_s, instance=instance, counts=counts)
        )

    def advance(self, now_s: float, *, is_comparable: bool) -> None:
        """Score the answers of the target that are due.

        Args:
            now_s: Time of the event.
            is_comparable: Whether other versions still get calls; if not, their
                last rates are kept.
        """
        elapsed_s = now_s - (self._advanced_s or now_s)
        self._advanced_s = now_s
        while (
            self._pending
            and now_s - self._pending[0].received_s >= SCORE_DELAY_S
        ):
            self._score(self._pending.popleft(), now_s)
        while self._recent and now_s - self._recent[0][0] > RECENT_S:
            self._recent.popleft()
        for sums in self._sums.values():
            while sums.recent and now_s - sums.recent[0][0] > RECENT_S:
                sums.recent.popleft()
        if is_comparable:
            for baseline in self._baselines.values():
                baseline.decay(elapsed_s)

    def is_bad(self, *, is_promoted: bool) -> bool:
        """Return whether the target has a clear excess of bad answers."""
        if is_promoted:
            return any(
                sums.failure >= FAILURE_THRESHOLD_PROMOTED
                or sums.slow >= SLOW_THRESHOLD_PROMOTED
                for sums in self._sums.values()
            )
        return self._exceeds(1.0)

    def is_suspect(self) -> bool:
        """Return whether there is some excess, perhaps by chance."""
        return self._exceeds(SUSPICION)

    def answers_of(self, instance: str) -> int:
        """Return the answers of an upstream of the target so far."""
        return self._by_instance[instance]

    def slow_running(self, counts: messages.RouteCounts) -> int:
        """Return the calls in progress that are slow already."""
        median = self._baselines[counts.route].median_bucket()
        if median is None:
            return 0
        return sum(
            count
            for number, count in answer_counts.pairs(counts.running)
            if number >= median + SLOW_BUCKETS
        )

    def recent(self) -> int:
        """Return the answers of the target that were scored just now."""
        return sum(count for _, count in self._recent)

    def unproven_routes(self, share_min: float) -> list[str]:
        """Return the routes on which the target is not proven sound.

        Args:
            share_min: Share of other versions' answers from which a route
                counts.
        """
        answers = {
            route: baseline.tallies[-1].answers
            for route, baseline in self._baselines.items()
        }
        total = sum(answers.values())
        return [
            route
            for route, count in answers.items()
            if count >= share_min * total and not self._sums[route].is_proven()
        ]

    def _exceeds(self, share: float) -> bool:
        """Return whether a sum exceeds a share of its threshold."""
        slow_threshold = share * SLOW_THRESHOLD
        sampled = [
            instance
            for instance, count in self._by_instance.items()
            if count >= CANARY_SAMPLES_MIN
        ]
        for sums in self._sums.values():
            if sums.failure >= share * FAILURE_THRESHOLD:
                return True
            if len(sampled) < 2 and sums.slow >= 2 * slow_threshold:
                return True
            # One slow upstream is no fault of the version.
            if len(sampled) >= 2 and slow_threshold <= min(
                sums.slow_without.get(instance, sums.slow)
                for instance in sampled
            ):
                return True
        return False

    def _score(self, batch: _Batch, now_s: float) -> None:
        baseline = self._baselines[batch.counts.route]
        median = baseline.median_bucket()
        tally = make_tally(batch.counts, median)
        count = round(tally.answers)
        if not count:
            return
        self.total += count
        self._recent.append((now_s, count))
        self._by_instance[batch.instance] += count
        failure = _log_ratio(
            tally.failed,
            tally.answers,
            baseline.failure_rate() + FAILURE_MARGIN,
        )
        slow = 0.0
        if median is not None:
            succeeded = tally.answers - tally.failed
            rate = baseline.slow_rate() + SLOW_MARGIN
            slow = _log_ratio(tally.slow, succeeded, rate)
        for route in (batch.counts.route, ALL_ROUTES):
            sums = self._sums[route]
            sums.failure = max(sums.failure + failure, 0.0)
            sums.recent.append((now_s, failure, slow))
            self._add_slow(sums, batch.instance, slow)

    def _add_slow(self, sums: _Sums, instance: str, slow: float) -> None:
        without = sums.slow_without
        # Before its first answer, leaving an upstream out changed nothing.
        without.setdefault(instance, sums.slow)
        for other in without:
            if other != instance:
                without[other] = max(without[other] + slow, 0.0)
        sums.slow = max(sums.slow + slow, 0.0)


def make_tally(counts: messages.RouteCounts, median: int | None) -> Tally:
    """Return the numbers of a report, by the other versions' median time.

    A call that was cancelled counts only if it was slow by then: how long it
    would have taken is not known.
    """
    limit = answer_counts.BUCKETS if median is None else median + SLOW_BUCKETS
    tally = Tally(failed=counts.failed, slow=counts.timed_out)
    tally.answers = float(counts.failed + counts.timed_out)
    for number, count in answer_counts.pairs(counts.answered):
        tally.answers += count
        tally.slow += count if number >= limit else 0
    for number, count in answer_counts.pairs(counts.cancelled):
        tally.answers += count if number >= limit else 0
        tally.slow += count if number >= limit else 0
    return tally


def difference(
    new: messages.RouteCounts, old: messages.RouteCounts | None
) -> messages.RouteCounts:
    """Return the calls that ended between two reports of one epoch."""
    if old is None:
        return new
    return messages.RouteCounts(
        route=new.route,
        failed=max(new.failed - old.failed, 0),
        timed_out=max(new.timed_out - old.timed_out, 0),
        answered=_subtract(new.answered, old.answered),
        cancelled=_subtract(new.cancelled, old.cancelled),
        running=new.running,
    )


def _subtract(new: tuple[int, ...], old: tuple[int, ...]) -> tuple[int, ...]:
    counts = dict(answer_counts.pairs(new))
    for number, count in answer_counts.pairs(old):
        counts[number] = counts.get(number, 0) - count
    return tuple(
        value
        for item in sorted(counts.items())
        if item[1] > 0
        for value in item
    )


def _log_ratio(bad: float, answers: float, rate: float) -> float:
    """Return the log likelihood ratio of an excess, for some answers."""
    rate = min(rate, 0.7)
    excess = min(rate + EXCESS, 0.95)
    return bad * math.log(excess / rate) + (answers - bad) * math.log(
        (1 - excess) / (1 - rate)
    )
