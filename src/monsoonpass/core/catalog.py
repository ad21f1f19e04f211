"""The configuration: services, their dependencies and their routes.

A catalog is immutable. A change makes a new catalog and leaves the old one to
the calls that began with it.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import functools
import hashlib

from monsoonpass import codec
from monsoonpass import errors

DIGEST_BYTES = 16


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


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """One service of the mesh.

    Attributes:
        name: The name that callers address.
        depends_on: Names of the services that it calls.
        routes: Its routes; the longest matching path wins.
    """

    name: str
    depends_on: tuple[str, ...]
    routes: tuple[Route, ...]

    @functools.cached_property
    def digest(self) -> bytes:
        """The digest of the whole record."""
        return _hash(codec.digest_form(self))

    @functools.cached_property
    def routes_by_length(self) -> tuple[Route, ...]:
        """The routes, those with the longest path first."""
        return tuple(sorted(self.routes, key=lambda r: -len(r.path)))


@codec.register(10)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """A whole configuration as it is sent and stored."""

    version: int
    digest: bytes
    services: tuple[Service, ...]


@codec.register(11)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Delta:
    """The change from one version to a later one.

    Attributes:
        base_version: Version that the delta applies to.
        base_digest: Digest of that version's content.
        version: Version that results.
        digest: Digest of the resulting content.
        changed: Services that were added or differ.
        removed: Names of services that are gone.
    """

    base_version: int
    base_digest: bytes
    version: int
    digest: bytes
    changed: tuple[Service, ...]
    removed: tuple[str, ...]


class Catalog:
    """An immutable, closed configuration.

    Attributes:
        version: Its version; 0 is the empty catalog before the first submit.
        services: Services by name.
        digest: Digest of the content, without the version.
    """

    def __init__(self, *, version: int, services: Mapping[str, Service]):
        """Build a catalog.

        Args:
            version: Its version number.
            services: Services by name.

        Raises:
            NotClosedError: A service depends on one that is not included.
        """
        self.version = version
        self.services = dict(services)
        for service in self.services.values():
            for name in service.depends_on:
                if name not in self.services:
                    raise errors.NotClosedError(
                        f"service {service.name} depends on {name}, "
                        f"which version {version} does not contain"
                    )
        self.digest = _content_digest(self.services.values())

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
        for route in service.routes_by_length:
            if route.methods and method not in route.methods:
                continue
            if _is_under(path, route.path):
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
        )

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
        return Delta(
            base_version=self.version,
            base_digest=self.digest,
            version=newer.version,
            digest=newer.digest,
            changed=changed,
            removed=removed,
        )

    def apply(self, delta: Delta) -> "Catalog":
        """Apply a delta to its exact base.

        Args:
            delta: A change whose base is this catalog.

        Returns:
            The resulting catalog; this one is unchanged.

        Raises:
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
        result = Catalog(version=delta.version, services=services)
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
    result = Catalog(version=snapshot.version, services=services)
    _check_digest(result, snapshot.digest)
    return result


def _check_digest(catalog: Catalog, digest: bytes) -> None:
    if catalog.digest != digest:
        raise errors.DigestMismatchError(
            f"content of version {catalog.version} differs from its digest"
        )


def _content_digest(services: Iterable[Service]) -> bytes:
    ordered = sorted(services, key=lambda service: service.name)
    return _hash(b"".join(service.digest for service in ordered))


def _hash(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def _is_under(path: str, prefix: str) -> bool:
    if prefix == "/" or path == prefix:
        return True
    return path.startswith(prefix.rstrip("/") + "/")


EMPTY = Catalog(version=0, services={})
