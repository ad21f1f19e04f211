"""Messages about rollouts between nodes."""

import enum

from monsoonpass import codec
from monsoonpass import immutable
from monsoonpass.core import address as address_lib
from monsoonpass.core.rollouts import rollout as rollout_lib


class Reach(enum.IntEnum):
    """Which nodes the receiver of an announcement passes it on to."""

    RECEIVER = 0
    RANGE = 1
    DATA_CENTRE = 2


@codec.register(135)
@immutable.dataclass
class Announcement:
    """Announces the current record of a rollout.

    Attributes:
        rollout: The record.
        leader: The leader, which receives the reports of owner nodes.
        report_interval_s: Interval of these reports.
        reach: Nodes that the receiver passes the announcement on to.
        first: With `RANGE`: first instance of the range, by name.
        last: With `RANGE`: last instance of the range, by name.
    """

    rollout: rollout_lib.Rollout
    leader: address_lib.Address
    report_interval_s: float
    reach: Reach = Reach.RECEIVER
    first: str = ""
    last: str = ""


@immutable.dataclass
class RouteCounts:
    """Ended calls of one route at one upstream.

    The histograms alternate the numbers of buckets of service times and the
    counts in them; see `answer_counts.bucket`.

    Attributes:
        route: Name of the route.
        failed: Answers that were failures of the upstream.
        timed_out: Calls without an answer at their deadline.
        answered: Histogram of the other complete answers.
        cancelled: Histogram of the calls that were cancelled.
        running: Histogram of the times that the calls in progress have taken.
    """

    route: str
    failed: int
    timed_out: int
    answered: tuple[int, ...]
    cancelled: tuple[int, ...]
    running: tuple[int, ...] = ()


@codec.register(136)
@immutable.dataclass
class UpstreamReport:
    """Reports on an upstream of a service that has a rollout.

    Attributes:
        service: The service.
        number: Number of the rollout.
        version: Version of the upstream.
        epoch: Start of the counts; differs after a restart of the node.
        slots: Calls that the upstream runs at once.
        ready: Whether the upstream takes calls and has warmed up.
        closed: Whether the node refuses further calls to the upstream because
            all calls go to the target, and no call is left.
        routes: Calls ended since the start of the counts, by route.
    """

    service: str
    number: int
    version: str
    epoch: int
    slots: int
    ready: bool
    closed: bool
    routes: tuple[RouteCounts, ...]


@codec.register(137)
@immutable.dataclass
class RolloutOrder:
    """Forwards an operator's order to the leader."""

    request_id: int
    service: str
    target_version: str
    duration_s: float


@codec.register(138)
@immutable.dataclass
class RolloutOrderReply:
    """Answers a `RolloutOrder`.

    Attributes:
        request_id: Number of the order at its sender.
        status: Result; `UNAVAILABLE` from a node that cannot commit now.
        leader: Address of the leader, if known.
    """

    request_id: int
    status: rollout_lib.OrderStatus
    leader: address_lib.Address | None


@codec.register(139)
@immutable.dataclass
class RolloutRead:
    """Asks for the newest rollout of a service; the sender numbers its reads.

    Attributes:
        read_id: Number of the read of an operator; 0 for a node that routes
            calls.
        service: The service.
    """

    read_id: int
    service: str


@codec.register(143)
@immutable.dataclass
class RolloutReadReply:
    """Answers a `RolloutRead`.

    Attributes:
        read_id: Number in the request.
        service: The service.
        confirmed: Whether a quorum confirmed that `rollout` is the newest.
        rollout: The newest rollout that the sender knows, or None.
        leader: Address of the leader, if known.
    """

    read_id: int
    service: str
    confirmed: bool
    rollout: rollout_lib.Rollout | None
    leader: address_lib.Address | None
