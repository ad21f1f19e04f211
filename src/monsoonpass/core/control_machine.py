"""The state machine that the control group replicates."""

import collections
import dataclasses

from monsoonpass import codec
from monsoonpass import errors
from monsoonpass.core import catalog as catalog_lib

RECENT_VERSIONS = 1000


@codec.register(70)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AcceptVersion:
    """Command: make a version the last accepted one."""

    delta: catalog_lib.Delta


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionAccepted:
    """Result: the version is accepted."""

    delta: catalog_lib.Delta


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionRefused:
    """Result: the version does not follow the last accepted one."""

    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecentVersion:
    """An accepted version and the digest of its content."""

    version: int
    digest: bytes


@codec.register(71)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MachineState:
    """The whole state, for snapshots."""

    snapshot: catalog_lib.Snapshot
    recent: tuple[RecentVersion, ...]


class ControlMachine:
    """The accepted configuration and the versions accepted recently.

    Attributes:
        catalog: The last accepted configuration.
        recent: Recently accepted versions, oldest first.
    """

    def __init__(self) -> None:
        self.catalog = catalog_lib.EMPTY
        self.recent: collections.deque[RecentVersion] = collections.deque(
            maxlen=RECENT_VERSIONS
        )

    def apply(self, command: bytes) -> VersionAccepted | VersionRefused:
        """Apply a committed command; every replica gets the same result."""
        accept = codec.decode(command)
        try:
            catalog = self.catalog.apply(accept.delta)
        except errors.CatalogError:
            return VersionRefused(version=accept.delta.version)
        if catalog.version <= self.catalog.version:
            return VersionRefused(version=accept.delta.version)
        self.catalog = catalog
        self.recent.append(
            RecentVersion(version=catalog.version, digest=catalog.digest)
        )
        return VersionAccepted(delta=accept.delta)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        state = MachineState(
            snapshot=self.catalog.snapshot(), recent=tuple(self.recent)
        )
        return codec.encode(state)

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""
        self.recent.clear()
        if not data:
            self.catalog = catalog_lib.EMPTY
            return
        state = codec.decode(data)
        self.catalog = catalog_lib.from_snapshot(state.snapshot)
        self.recent.extend(state.recent)

    def find_recent(self, version: int) -> RecentVersion | None:
        """Return a recently accepted version, or None."""
        for item in self.recent:
            if item.version == version:
                return item
        return None
