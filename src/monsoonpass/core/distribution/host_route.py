"""Host routes: map a host and path prefix to one or more services."""

import dataclasses
import enum
import functools

from monsoonpass import codec
from monsoonpass import errors
from monsoonpass import immutable

IndexRange = tuple[int, int]  # First index and number of consecutive entries.


class RouteKind(enum.StrEnum):
    """Execution guarantee of a route, independent of the HTTP method.

    IDEMPOTENT: A call may be executed more than once.
    ONCE: A call is executed at most once.
    UPLOAD: A call is executed at most once and carries a large body.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    UPLOAD = "upload"


@immutable.dataclass
class WeightedService:
    """A service and its share of the calls of a route.

    Attributes:
        service: Name of the service.
        weight: Share of the calls, relative to the sum of all weights.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostRoute:
    """A route selected by host and path prefix.

    Either `service` or `parts` is set, never both.

    Attributes:
        name: Name given by the operator.
        host: Host that callers address, in lower case.
        path: Path prefix; the longest prefix of the request path wins.
        kind: Execution guarantee of its calls.
        deadline_s: Longest time from arrival to the complete response.
        objective_s: Target response time.
        priority: Admission priority; lower values are admitted first.
        attempts_max: Number of upstreams that one call may be sent to.
        service: Name of the single service that handles the calls, or empty.
        parts: Weighted services that share the calls, or empty.
        extra_json: Unrecognised fields of the operator's document, as JSON, or
            empty.
        public: Whether a call needs no key of a workspace.
    """

    name: str
    host: str
    path: str
    kind: RouteKind
    deadline_s: float
    objective_s: float
    priority: int
    attempts_max: int
    service: str = ""
    parts: tuple[WeightedService, ...] = ()
    extra_json: str = ""
    public: bool = codec.appended_field(default=False)

    @functools.cached_property
    def host_and_path(self) -> str:
        """The host and path, which identify the route in a configuration."""
        return f"{self.host} {self.path}"

    @property
    def idempotent(self) -> bool:
        """Whether a call may be executed more than once."""
        return self.kind == RouteKind.IDEMPOTENT

    @property
    def bulk(self) -> bool:
        """Whether calls carry large bodies."""
        return self.kind == RouteKind.UPLOAD

    @functools.cached_property
    def services(self) -> tuple[str, ...]:
        """Names of all services that may handle a call."""
        if self.parts:
            return tuple(part.service for part in self.parts)
        return (self.service,)

    @functools.cached_property
    def digest(self) -> bytes:
        """The digest of all fields."""
        return codec.digest(self)


@immutable.dataclass
class RequestLimits:
    """Size and time limits on callers' requests.

    Attributes:
        header_max_bytes: Largest request head.
        body_max_bytes: Largest request body.
        header_timeout_s: Longest time for a request head to arrive.
        idle_timeout_s: Time after which an idle connection is closed.
        extra_json: Unrecognised fields of the operator's document, as JSON, or
            empty.
    """

    # Defaults of common HTTP servers.
    header_max_bytes: int = 16 * 1024
    body_max_bytes: int = 1024 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
    extra_json: str = ""


DEFAULT_LIMITS = RequestLimits()


class HostRouteTable:
    """A lookup table of host routes with longest-prefix matching."""

    def __init__(self, *, routes: tuple[HostRoute, ...]):
        self._by_host: dict[str, dict[str, HostRoute]] = {}
        for route in routes:
            host_routes = self._by_host.get(route.host)
            if host_routes is None:
                host_routes = self._by_host[route.host] = {}
            # Of routes with the same path, the first one wins.
            host_routes.setdefault(route.path, route)
        # A call looks up one prefix for each length, not each route.
        self._lengths_by_host = {
            host: sorted(set(map(len, host_routes)), reverse=True)
            for host, host_routes in self._by_host.items()
        }

    def find(self, host: str, path: str) -> HostRoute | None:
        """Return the host's route with the longest matching prefix, or None."""
        host_routes = self._by_host.get(host)
        if host_routes is None:
            return None
        for length in self._lengths_by_host[host]:
            route = host_routes.get(path[:length])
            if route is not None:
                return route
        return None


def diff_routes(
    old: tuple[HostRoute, ...], new: tuple[HostRoute, ...]
) -> tuple[tuple[HostRoute, ...], tuple[IndexRange, ...]]:
    """Return the change from one sequence of routes to another.

    Args:
        old: Routes before the change.
        new: Routes after the change, in order.

    Returns:
        The routes that were added or modified, and the index ranges that
        select `new` from `old` followed by these routes. Adding or removing
        one route adds at most two ranges, regardless of the number of routes.
    """
    old_indexes = {
        route.host_and_path: position for position, route in enumerate(old)
    }
    changed: list[HostRoute] = []
    ranges: list[list[int]] = []
    for route in new:
        index = old_indexes.get(route.host_and_path)
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
    """Apply the result of `diff_routes` to the routes before the change.

    Args:
        old: Routes before the change.
        changed: Routes that were added or modified.
        ranges: Index ranges into `old` followed by `changed`.

    Returns:
        The routes after the change.

    Raises:
        RouteOrderError: A range is out of bounds, or the ranges select
            more routes than there are.
    """
    all_routes = (*old, *changed)
    if sum(count for _, count in ranges) > len(all_routes):
        raise errors.RouteOrderError(
            "the index ranges select a route more than once"
        )
    result: list[HostRoute] = []
    for first, count in ranges:
        if first < 0 or count < 1 or first + count > len(all_routes):
            raise errors.RouteOrderError(
                f"index range of {count} from {first} exceeds the "
                f"{len(all_routes)} routes available"
            )
        result += all_routes[first : first + count]
    return tuple(result)
