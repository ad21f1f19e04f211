"""Immutable mesh configurations: services, dependencies and routes.

A change produces a new catalog. Calls that started under the old catalog keep
using it until they end.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import functools
import operator
from typing import NoReturn

from monsoonpass import codec
from monsoonpass import errors
from monsoonpass import immutable
from monsoonpass.core.distribution import host_route
from monsoonpass.core.distribution import packing

_get_digest = operator.attrgetter("digest")
_get_services = operator.attrgetter("services")

# Upstreams that a call on a service-level route may be sent to.
ATTEMPTS_MAX = 4


class Priority(enum.IntEnum):
    """Admission priority of queued calls; lower values are admitted first."""

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


@immutable.dataclass
class Route:
    """A route of one service, selected by service name.

    Attributes:
        path: Path prefix, matched on whole segments.
        methods: HTTP methods that the route accepts; empty means all.
        idempotent: Whether a call may be sent to more than one upstream.
        priority: Admission priority.
        deadline_s: Longest time from arrival to the complete response.
        bulk: Whether calls carry large bodies or run long.
    """

    path: str
    methods: tuple[str, ...]
    idempotent: bool
    priority: Priority
    deadline_s: float
    bulk: bool

    @property
    def attempts_max(self) -> int:
        """The number of upstreams that one call may be sent to."""
        return ATTEMPTS_MAX

    @property
    def objective_s(self) -> float:
        """The target response time; for service-level routes, the deadline."""
        return self.deadline_s


@immutable.dataclass
class RouteMatch:
    """The result of looking up the route of a call.

    Attributes:
        route: The matching route.
        statistics_key: Key under which statistics of the route are kept.
        services: Names of the services that may handle the call.
    """

    route: Route | host_route.HostRoute
    statistics_key: str
    services: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A service of the mesh.

    Attributes:
        name: The name that callers address.
        depends_on: Names of the services that this service calls.
        routes: Routes of the service; the longest matching path wins.
        health_path: Path of the health check of its upstreams, or empty.
        connections_max: Connections that an upstream accepts; 0 if unset.
        extra_json: Unrecognised fields of the operator's document, as JSON, or
            empty.
    """

    name: str
    depends_on: tuple[str, ...]
    routes: tuple[Route, ...]
    health_path: str = ""
    connections_max: int = 0
    extra_json: str = ""

    @functools.cached_property
    def digest(self) -> bytes:
        """The digest of all fields."""
        return codec.digest(self)

    @functools.cached_property
    def routes_longest_first(self) -> tuple[Route, ...]:
        """The routes, ordered by descending path length."""
        return tuple(sorted(self.routes, key=lambda r: -len(r.path)))


@codec.register(10)
@immutable.dataclass
class Snapshot:
    """The full content of a configuration, as sent and stored."""

    version: int
    digest: bytes
    services: tuple[Service, ...]
    routes: tuple[host_route.HostRoute, ...] = ()
    limits: host_route.RequestLimits = host_route.DEFAULT_LIMITS


@codec.register(12)
@dataclasses.dataclass(frozen=True, kw_only=True)
class Delta:
    """The change from one version to a later one.

    Attributes:
        base_version: Version that the delta applies to.
        base_digest: Digest of the content of the base version.
        version: Version after the change.
        digest: Digest of the content after the change.
        changed: Services that were added or modified.
        removed: Names of the services that were removed.
        routes_changed: Host routes that were added or modified.
        routes_order: Order of all host routes after the change, as index
            ranges into the base's routes followed by `routes_changed`.
        limits: Request limits after the change.
    """

    base_version: int
    base_digest: bytes
    version: int
    digest: bytes
    changed: tuple[Service, ...]
    removed: tuple[str, ...]
    routes_changed: tuple[host_route.HostRoute, ...] = ()
    routes_order: tuple[host_route.IndexRange, ...] = ()
    limits: host_route.RequestLimits = host_route.DEFAULT_LIMITS

    @functools.cached_property
    def packed(self) -> bytes:
        """The delta in the packed form in which it is sent."""
        return packing.pack(self)


class Catalog:
    """An immutable configuration without dangling references.

    Every service that a dependency or a host route names is part of the
    catalog.

    Attributes:
        version: Version number; 0 is the empty catalog that precedes the
            first submission.
        services: Services by name.
        routes: Host routes, in the operator's order.
        limits: Limits on callers' requests.
        digest: Digest of the content, excluding the version.
    """

    def __init__(
        self,
        *,
        version: int,
        services: Mapping[str, Service],
        routes: tuple[host_route.HostRoute, ...] = (),
        limits: host_route.RequestLimits = host_route.DEFAULT_LIMITS,
        unchecked_routes: tuple[host_route.HostRoute, ...] | None = None,
    ):
        """Build a catalog.

        Args:
            version: Version number.
            services: Services by name.
            routes: Host routes, in the operator's order.
            limits: Limits on callers' requests.
            unchecked_routes: The host routes that may name a service that is
                not included; None for all.

        Raises:
            DanglingReferenceError: A dependency or a host route names a
                service that is not included.
        """
        self.version = version
        self.services = dict(services)
        self.routes = routes
        self.limits = limits
        for service in self.services.values():
            for name in service.depends_on:
                if name not in self.services:
                    raise errors.DanglingReferenceError(
                        f"service {service.name} depends on {name}, "
                        f"which version {version} does not contain"
                    )
        if unchecked_routes is None:
            unchecked_routes = routes
        # Most of a thousand routes name the same few services.
        for names in set(map(_get_services, unchecked_routes)):
            if not all(name in self.services for name in names):
                self._raise_dangling_route()
        self.digest = _content_digest(self.services.values(), routes, limits)

    def _raise_dangling_route(self) -> NoReturn:
        """Raise the error for the first route that names an unknown service."""
        route_name, missing = next(
            (route.name, name)
            for route in self.routes
            for name in route.services
            if name not in self.services
        )
        raise errors.DanglingReferenceError(
            f"route {route_name} names {missing}, "
            f"which version {self.version} does not contain"
        )

    @functools.cached_property
    def _host_route_table(self) -> host_route.HostRouteTable:
        return host_route.HostRouteTable(routes=self.routes)

    def match(self, host: str, method: str, path: str) -> RouteMatch | None:
        """Find the route of a call by host.

        Args:
            host: Host that the call addresses; may be the name of a service.
            method: The HTTP method, in upper case.
            path: The request path, without the query.

        Returns:
            The host route with the longest matching prefix; without one, the
            matching route of the service named `host`; otherwise None.
        """
        matched_route = self._host_route_table.find(host, path)
        if matched_route is not None:
            return RouteMatch(
                route=matched_route,
                statistics_key=matched_route.name,
                services=matched_route.services,
            )
        route = self.find_route(host, method, path)
        if route is None:
            return None
        return RouteMatch(
            route=route, statistics_key=f"{host}{route.path}", services=(host,)
        )

    def find_route(
        self, service_name: str, method: str, path: str
    ) -> Route | None:
        """Find the route of a call within a service.

        Args:
            service_name: Name of the service that the call addresses.
            method: The HTTP method, in upper case.
            path: The request path, without the query.

        Returns:
            The route with the longest matching path, or None.
        """
        service = self.services.get(service_name)
        if service is None:
            return None
        for route in service.routes_longest_first:
            if route.methods and method not in route.methods:
                continue
            if _has_path_prefix(path, route.path):
                return route
        return None

    def snapshot(self) -> Snapshot:
        """Return the full content, for sending or storing."""
        return Snapshot(
            version=self.version,
            digest=self.digest,
            services=tuple(
                self.services[name] for name in sorted(self.services)
            ),
            routes=self.routes,
            limits=self.limits,
        )

    @functools.cached_property
    def packed(self) -> bytes:
        """The full content in the packed form in which it is sent."""
        return packing.pack(self.snapshot())

    def delta_to(self, newer: "Catalog") -> Delta:
        """Return the delta from this catalog to a newer one."""
        changed = tuple(
            service
            for name, service in sorted(newer.services.items())
            if self.services.get(name) != service
        )
        removed = tuple(
            name for name in sorted(self.services) if name not in newer.services
        )
        routes_changed, routes_order = host_route.diff_routes(
            self.routes, newer.routes
        )
        return Delta(
            base_version=self.version,
            base_digest=self.digest,
            version=newer.version,
            digest=newer.digest,
            changed=changed,
            removed=removed,
            routes_changed=routes_changed,
            routes_order=routes_order,
            limits=newer.limits,
        )

    def apply(self, delta: Delta) -> "Catalog":
        """Apply a delta whose base is this catalog.

        Args:
            delta: The change to apply.

        Returns:
            A new catalog; this catalog is unchanged.

        Raises:
            RouteOrderError: The route order of the delta does not fit.
            BaseMismatchError: The delta was made for another base.
            DanglingReferenceError: The result would contain a dangling
                reference.
            DigestMismatchError: The result does not match the digest in the
                delta.
        """
        if (delta.base_version, delta.base_digest) != (
            self.version,
            self.digest,
        ):
            raise errors.BaseMismatchError(
                f"delta with base version {delta.base_version} "
                f"cannot be applied to version {self.version}"
            )
        services = dict(self.services)
        for name in delta.removed:
            services.pop(name, None)
        for service in delta.changed:
            services[service.name] = service
        result = Catalog(
            version=delta.version,
            services=services,
            routes=host_route.apply_route_diff(
                self.routes, delta.routes_changed, delta.routes_order
            ),
            limits=delta.limits,
            # The other routes were checked when this catalog was built.
            unchecked_routes=None if delta.removed else delta.routes_changed,
        )
        _check_digest(result, delta.digest)
        return result


def from_snapshot(snapshot: Snapshot) -> Catalog:
    """Build a catalog from a snapshot.

    Args:
        snapshot: The full content, as received or read from disk.

    Returns:
        The catalog.

    Raises:
        DanglingReferenceError: The content contains a dangling reference.
        DigestMismatchError: The content does not match the snapshot's digest.
    """
    services = {service.name: service for service in snapshot.services}
    result = Catalog(
        version=snapshot.version,
        services=services,
        routes=snapshot.routes,
        limits=snapshot.limits,
    )
    _check_digest(result, snapshot.digest)
    return result


def _check_digest(catalog: Catalog, digest: bytes) -> None:
    if catalog.digest != digest:
        raise errors.DigestMismatchError(
            f"content of version {catalog.version} does not match its digest"
        )


def _content_digest(
    services: Iterable[Service],
    routes: tuple[host_route.HostRoute, ...],
    limits: host_route.RequestLimits,
) -> bytes:
    ordered = sorted(services, key=lambda service: service.name)
    return codec.digest_bytes(
        b"".join(
            (
                *(service.digest for service in ordered),
                b"routes",
                *map(_get_digest, routes),
                codec.canonical_bytes(limits),
            )
        )
    )


def _has_path_prefix(path: str, prefix: str) -> bool:
    if prefix == "/" or path == prefix:
        return True
    return path.startswith(prefix.rstrip("/") + "/")


EMPTY_CATALOG = Catalog(version=0, services={})
