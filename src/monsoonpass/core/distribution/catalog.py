"""Immutable mesh configurations: services, dependencies and routes.

A change produces a new catalog. Calls that started under the old catalog keep
using it until they end.
"""

from collections.abc import Collection
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
    def public(self) -> bool:
        """Whether a call needs no key; only host routes can be public."""
        return False

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


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workspace:
    """A tenant of the mesh, which its callers' keys identify.

    Attributes:
        name: The name that upstreams receive.
        keys: Keys of its callers; secret, so never displayed.
        priority: Admission priority of its calls, or None for that of the
            route.
        rate_per_s: Requests a second that it may send; 0 or None for no limit.
        burst: Requests that it may send in addition to the rate.
        extra_json: Unrecognised fields of the operator's document, as JSON, or
            empty.
    """

    name: str
    keys: tuple[str, ...] = dataclasses.field(default=(), repr=False)
    priority: int | None = None
    rate_per_s: float | None = None
    burst: float = 0.0
    extra_json: str = dataclasses.field(default="", repr=False)

    @functools.cached_property
    def digest(self) -> bytes:
        """The digest of all fields."""
        return codec.digest(self)


@codec.register(10)
@immutable.dataclass
class Snapshot:
    """The full content of a configuration, as sent and stored."""

    version: int
    digest: bytes
    services: tuple[Service, ...]
    routes: tuple[host_route.HostRoute, ...] = ()
    limits: host_route.RequestLimits = host_route.DEFAULT_LIMITS
    workspaces: tuple[Workspace, ...] = codec.appended_field(default=())


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
        workspaces_changed: Workspaces that were added or modified.
        workspaces_removed: Names of the workspaces that were removed.
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
    workspaces_changed: tuple[Workspace, ...] = codec.appended_field(default=())
    workspaces_removed: tuple[str, ...] = codec.appended_field(default=())

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
        workspaces: Workspaces by name, in the order of the names; empty if
            requests need no key.
        digest: Digest of the content, excluding the version.
    """

    def __init__(
        self,
        *,
        version: int,
        services: Mapping[str, Service],
        routes: tuple[host_route.HostRoute, ...] = (),
        limits: host_route.RequestLimits = host_route.DEFAULT_LIMITS,
        workspaces: Iterable[Workspace] = (),
        unchecked_routes: tuple[host_route.HostRoute, ...] | None = None,
    ):
        """Build a catalog.

        Args:
            version: Version number.
            services: Services by name.
            routes: Host routes, in the operator's order.
            limits: Limits on callers' requests.
            workspaces: Workspaces, in any order.
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
        self.workspaces = {
            workspace.name: workspace
            for workspace in sorted(workspaces, key=lambda item: item.name)
        }
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
        self.digest = _content_digest(
            self.services.values(), routes, limits, self.workspaces.values()
        )

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

    @functools.cached_property
    def _workspaces_by_key(self) -> dict[bytes, Workspace]:
        return {
            key.encode(): workspace
            for workspace in self.workspaces.values()
            for key in workspace.keys
        }

    def find_workspace(self, key: bytes) -> Workspace | None:
        """Return the workspace with a key, or None if the key is unknown."""
        return self._workspaces_by_key.get(key)

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

    def may_repeat(self, host: str, method: str, path: str) -> bool:
        """Return whether a call to a host may be executed more than once.

        A call without a route is never executed, so it may be repeated too.
        """
        match = self.match(host, method, path)
        return match is None or match.route.idempotent

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
            workspaces=tuple(self.workspaces.values()),
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
            workspaces_changed=tuple(
                workspace
                for name, workspace in newer.workspaces.items()
                if self.workspaces.get(name) != workspace
            ),
            workspaces_removed=tuple(
                name for name in self.workspaces if name not in newer.workspaces
            ),
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
            workspaces=self._apply_workspaces(delta),
            # The other routes were checked when this catalog was built.
            unchecked_routes=None if delta.removed else delta.routes_changed,
        )
        _check_digest(result, delta.digest)
        return result

    def _apply_workspaces(self, delta: Delta) -> Iterable[Workspace]:
        """Return the workspaces after a delta."""
        if not delta.workspaces_changed and not delta.workspaces_removed:
            return self.workspaces.values()
        workspaces = dict(self.workspaces)
        for name in delta.workspaces_removed:
            workspaces.pop(name, None)
        for workspace in delta.workspaces_changed:
            workspaces[workspace.name] = workspace
        return workspaces.values()


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
        workspaces=snapshot.workspaces,
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
    workspaces: Collection[Workspace],
) -> bytes:
    ordered = sorted(services, key=lambda service: service.name)
    # Without workspaces, the digest is that of builds that do not know them.
    workspace_marker = (b"workspaces",) if workspaces else ()
    return codec.digest_bytes(
        b"".join(
            (
                *(service.digest for service in ordered),
                b"routes",
                *map(_get_digest, routes),
                codec.canonical_bytes(limits),
                *workspace_marker,
                *(workspace.digest for workspace in workspaces),
            )
        )
    )


def _has_path_prefix(path: str, prefix: str) -> bool:
    if prefix == "/" or path == prefix:
        return True
    return path.startswith(prefix.rstrip("/") + "/")


EMPTY_CATALOG = Catalog(version=0, services={})
