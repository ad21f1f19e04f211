"""Routes by host and path prefix, which name the services that may serve."""

import dataclasses
import enum
import functools

from monsoonpass import codec
from monsoonpass import errors

IndexRange = tuple[int, int]  # First position, and how many follow each other.


class Kind(enum.StrEnum):
    """How often a call may run, whatever its method.

    IDEMPOTENT: It may run more than once.
    ONCE: It may run at most once.
    UPLOAD: It may run at most once, and its body is large.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    UPLOAD = "upload"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Part:
    """A service that gets a share of a route's calls."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostRoute:
    """A route by host and path prefix.

    Attributes:
        name: The operator's name for it.
        host: Host that callers address, in lower case.
        path: Path prefix; the longest one that begins the path wins.
        kind: How often a call may run.
        deadline_s: Longest time from arrival to the complete answer.
        objective_s: Time within which an answer is worth most.
        priority: Order of admission, lowest first.
        attempts_max: Upstreams that one call may be sent to.
        service: The only service that serves it, or empty with parts.
        parts: Services and their shares; empty with a single service.
        extra: What else the operator wrote of it, as JSON, or empty.
    """

    name: str
    host: str
    path: str
    kind: Kind
    deadline_s: float
    objective_s: float
    priority: int
    attempts_max: int
    service: str = ""
    parts: tuple[Part, ...] = ()
    extra: str = ""

    @functools.cached_property
    def key(self) -> str:
        """What no two routes of a configuration share."""
        return f"{self.host} {self.path}"

    @property
    def idempotent(self) -> bool:
        """Whether a call may be sent to an upstream again."""
        return self.kind == Kind.IDEMPOTENT

    @property
    def bulk(self) -> bool:
        """Whether calls carry large bodies."""
        return self.kind == Kind.UPLOAD

    @functools.cached_property
    def services(self) -> tuple[str, ...]:
        """Names of all services that may serve it."""
        if self.parts:
            return tuple(part.service for part in self.parts)
        return (self.service,)

    @functools.cached_property
    def digest(self) -> bytes:
        """The digest of the whole record."""
        return codec.digest(self)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """What callers may send, and how long they may take.

    Attributes:
        header_max_bytes: Longest request head.
        body_max_bytes: Longest request body.
        header_timeout_s: Longest time for a request head to arrive.
        idle_timeout_s: Time for which an idle connection is kept.
        extra: What else the operator wrote of them, as JSON, or empty.
    """

    # The defaults are those of common HTTP servers.
    header_max_bytes: int = 16 * 1024
    body_max_bytes: int = 1024 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
    extra: str = ""


DEFAULT_LIMITS = Limits()


class HostRouteTable:
    """Routes by host, those with the longest prefix first."""

    def __init__(self, *, routes: tuple[HostRoute, ...]):
        self._by_host: dict[str, list[HostRoute]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: -len(route.path))

    def find(self, host: str, path: str) -> HostRoute | None:
        """Return the route with the longest prefix of a path, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path):
                return route
        return None


def diff_routes(
    old: tuple[HostRoute, ...], new: tuple[HostRoute, ...]
) -> tuple[tuple[HostRoute, ...], tuple[IndexRange, ...]]:
    """Return the change from one sequence of routes to another.

    Args:
        old: Routes of the base.
        new: Routes wanted.

    Returns:
        Routes that the base lacks, and runs of positions, first those of the
        base and then those of the lacking ones. One route more or less
        anywhere adds two runs at most, however many routes there are.
    """
    old_indexes = {route.key: number for number, route in enumerate(old)}
    changed: list[HostRoute] = []
    ranges: list[list[int]] = []
    for route in new:
        index = old_indexes.get(route.key)
        if index is None or old[index] != route:
            index = len(old) + len(changed)
            changed.append(route)
        if ranges and sum(ranges[-1]) == index:
            ranges[-1][1] += 1
        else:
            ranges.append([index, 1])
    return tuple(changed), tuple((first, count) for first, count in ranges)


def apply_route_diff(
    old: tuple[HostRoute, ...],
    changed: tuple[HostRoute, ...],
    ranges: tuple[IndexRange, ...],
) -> tuple[HostRoute, ...]:
    """Apply what `diff_routes` returned to the old routes.

    Raises:
        BadArrangementError: A run names a route that there is not, or one
            twice.
    """
    all_routes = (*old, *changed)
    if sum(count for _, count in ranges) > len(all_routes):
        raise errors.BadArrangementError("the runs name routes twice")
    result: list[HostRoute] = []
    for first, count in ranges:
        if first < 0 or count < 1 or first + count > len(all_routes):
            raise errors.BadArrangementError(
                f"index range of {count} from {first} exceeds the "
                f"{len(all_routes)} routes available"
            )
        result += all_routes[first : first + count]
    return tuple(result)
