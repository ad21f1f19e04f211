"""The configuration: services, their dependencies and their routes.

A catalog is immutable. A change makes a new catalog and leaves the old one to
the calls that began with it.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import functools

from monsoonpass import codec
from monsoonpass import errors
from monsoonpass.core.distribution import host_route
from monsoonpass.core.distribution import packing

ATTEMPTS_MAX = 4  # Upstreams that a call of a service's own route may try.


class Priority(enum.IntEnum):
    """The order in which queued calls are admitted, lowest value first."""

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """One route of a service.

    Attributes:
        path: Path prefix, matched on whole segments.
        methods: Methods served; empty means every method.
        idempotent: Whether a call may be sent to an upstream again.
        priority: Order of admission.
        deadline_s: Longest time from arrival to the complete answer.
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
        """Upstreams that one call may be sent to."""
        return ATTEMPTS_MAX

    @property
    def objective_s(self) -> float:
        """Time within which an answer is worth most."""
        return self.deadline_s


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Match:
    """The route of a call.

    Attributes:
        route: The route.
        name: Names it for what is learned of it.
        services: Services that may serve it.
    """

    route: Route | host_route.HostRoute
    name: str
    services: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """One service of the mesh.

    Attributes:
        name: The name that callers address.
        depends_on: Names of the services that it calls.
        routes: Its routes; the longest matching path wins.
        health_path: Path of its upstreams' health check, or empty.
        connections_max: Connections that an upstream takes; 0 if not told.
        extra: What else the operator wrote of it, as JSON, or empty.
    """

    name: str
    depends_on: tuple[str, ...]
    routes: tuple[Route, ...]
    health_path: str = ""
    connections_max: int = 0
    extra: str = ""

    @functools.cached_property
    def digest(self) -> bytes:
        """The digest of the whole record."""
        return codec.digest(self)

    @functools.cached_property
    def routes_longest_first(self) -> tuple[Route, ...]:
        """The routes, those with the longest path first."""
        return tuple(sorted(self.routes, key=lambda r: -len(r.path)))


@codec.register(10)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """A whole configuration as it is sent and stored."""

    version: int
    digest: bytes
    services: tuple[Service, ...]
    routes: tuple[host_route.HostRoute, ...] = ()
    limits: host_route.Limits = host_route.DEFAULT_LIMITS


@codec.register(12)
@dataclasses.dataclass(frozen=True, kw_only=True)
class Delta:
    """The change from one version to a later one.

    Attributes:
        base_version: Version that the delta applies to.
        base_digest: Digest of that version's content.
        version: Version that results.
        digest: Digest of the resulting content.
        changed: Services that were added or differ.
        removed: Names of services that are gone.
        routes_changed: Routes by host that were added or differ.
        routes_order: Where the routes by host stand, as runs of positions in
            the base's routes followed by `routes_changed`.
        limits: Limits of callers after the change.
    """

    base_version: int
    base_digest: bytes
    version: int
    digest: bytes
    changed: tuple[Service, ...]
    removed: tuple[str, ...]
    routes_changed: tuple[host_route.HostRoute, ...] = ()
    routes_order: tuple[host_route.IndexRange, ...] = ()
    limits: host_route.Limits = host_route.DEFAULT_LIMITS

    @functools.cached_property
    def packed(self) -> bytes:
        """The change as it is sent."""
        return packing.pack(self)


class Catalog:
    """An immutable, closed configuration.

    Attributes:
        version: Its version; 0 is the empty catalog before the first submit.
        services: Services by name.
        routes: Routes by host, in the operator's order.
        limits: What callers may send.
        digest: Digest of the content, without the version.
    """

    def __init__(
        self,
        *,
        version: int,
        services: Mapping[str, Service],
        routes: tuple[host_route.HostRoute, ...] = (),
        limits: host_route.Limits = host_route.DEFAULT_LIMITS,
    ):
        """Build a catalog.

        Args:
            version: Its version number.
            services: Services by name.
            routes: Routes by host.
            limits: What callers may send.

        Raises:
            NotClosedError: A service depends on one that is not included, or
                a route names one.
        """
        self.version = version
        self.services = dict(services)
        self.routes = routes
        self.limits = limits
        for service in self.services.values():
            for name in service.depends_on:
                if name not in self.services:
                    raise errors.NotClosedError(
                        f"service {service.name} depends on {name}, "
                        f"which version {version} does not contain"
                    )
        for route in routes:
            for name in route.services:
                if name not in self.services:
                    raise errors.NotClosedError(
                        f"route {route.name} names {name}, "
                        f"which version {version} does not contain"
                    )
        self.digest = _content_digest(self.services.values(), routes, limits)

    @functools.cached_property
    def _host_route_table(self) -> host_route.HostRouteTable:
        return host_route.HostRouteTable(routes=self.routes)

    def match(self, host: str, method: str, path: str) -> Match | None:
        """Find the route for a call.

        Args:
            host: The host addressed; the name of a service is one, too.
            method: The HTTP method, in upper case.
            path: The request path, without the query.

        Returns:
            The route by host with the longest prefix, else the route of the
            service of that name, or None.
        """
        matched_route = self._host_route_table.find(host, path)
        if matched_route is not None:
            return Match(
                route=matched_route,
                name=matched_route.name,
                services=matched_route.services,
            )
        route = self.find_route(host, method, path)
        if route is None:
            return None
        return Match(route=route, name=f"{host}{route.path}", services=(host,))

    def find_route(
        self, service_name: str, method: str, path: str
    ) -> Route | None:
        """Find the route for a call.

        Args:
            service_name: The service addressed.
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
        """Return the whole content for sending or storing."""
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
        """The whole content as it is sent."""
        return packing.pack(self.snapshot())

    def delta_to(self, newer: "Catalog") -> Delta:
        """Return the change from this catalog to a newer one."""
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
        """Apply a delta to its exact base.

        Args:
            delta: A change whose base is this catalog.

        Returns:
            The resulting catalog; this one is unchanged.

        Raises:
            BadArrangementError: The delta names routes that there are not.
            BaseMismatchError: The delta was made for another base.
            NotClosedError: The result would not be closed.
            DigestMismatchError: The result differs from the delta's digest.
        """
        if (delta.base_version, delta.base_digest) != (
            self.version,
            self.digest,
        ):
            raise errors.BaseMismatchError(
                f"delta for version {delta.base_version} cannot be applied "
                f"to version {self.version}"
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
        )
        _check_digest(result, delta.digest)
        return result


def from_snapshot(snapshot: Snapshot) -> Catalog:
    """Build a catalog from a received snapshot.

    Args:
        snapshot: The content received.

    Returns:
        The catalog.

    Raises:
        NotClosedError: The content is not closed.
        DigestMismatchError: The content differs from its digest.
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
            f"content of version {catalog.version} differs from its digest"
        )


def _content_digest(
    services: Iterable[Service],
    routes: tuple[host_route.HostRoute, ...],
    limits: host_route.Limits,
) -> bytes:
    ordered = sorted(services, key=lambda service: service.name)
    return codec.digest_bytes(
        b"".join(
            (
                *(service.digest for service in ordered),
                b"routes",
                *[route.digest for route in routes],
                codec.digest_form(limits),
            )
        )
    )


def _has_path_prefix(path: str, prefix: str) -> bool:
    if prefix == "/" or path == prefix:
        return True
    return path.startswith(prefix.rstrip("/") + "/")


EMPTY = Catalog(version=0, services={})
