"""The state machine replicated by the control group."""

import collections
import functools
from typing import Any

from monsoonpass import codec
from monsoonpass import errors
from monsoonpass import immutable
from monsoonpass.core.distribution import catalog as catalog_lib
from monsoonpass.core.keys import ledger
from monsoonpass.core.membership import stored_notices
from monsoonpass.core.rollouts import rollout as rollout_lib

RECENT_VERSIONS_MAX = 1000


@codec.register(70)
@immutable.dataclass
class AcceptVersion:
    """Command to make a version the last accepted one."""

    delta: catalog_lib.Delta


@immutable.dataclass
class VersionAccepted:
    """Result of a command whose version was accepted."""

    delta: catalog_lib.Delta


@immutable.dataclass
class VersionRefused:
    """Result of a command whose version is not newer or has another base."""

    version: int


@immutable.dataclass
class RecentVersion:
    """Number and content digest of an accepted version."""

    version: int
    digest: bytes


@codec.register(71)
@immutable.dataclass
class MachineState:
    """Serialized form of the whole state, for snapshots."""

    snapshot: catalog_lib.Snapshot
    recent: tuple[RecentVersion, ...]
    keys: tuple[ledger.KeyRecord, ...]
    notices: tuple[stored_notices.InstanceNotices, ...] = ()


@codec.register(142)
@immutable.dataclass
class StateWithRollouts:
    """Serialized form of a state with rollouts.

    A state without any is stored as a `MachineState`, as by earlier builds.
    """

    state: MachineState
    rollouts: tuple[rollout_lib.Rollout, ...]


class ControlStateMachine:
    """The replicated state: configuration, keys, notices and rollouts.

    Attributes:
        catalog: The last accepted configuration.
        recent: Recently accepted versions, oldest first, at most
            `RECENT_VERSIONS_MAX`.
        ledger: The idempotency keys.
        notices: Notices of leaving of upstreams.
        rollouts: The newest rollout of each service.
    """

    def __init__(self) -> None:
        self.catalog = catalog_lib.EMPTY_CATALOG
        self.recent: collections.deque[RecentVersion] = collections.deque(
            maxlen=RECENT_VERSIONS_MAX
        )
        self.ledger = ledger.Ledger()
        self.notices = stored_notices.StoredNotices()
        self.rollouts = rollout_lib.StoredRollouts()

    def apply(self, command: bytes) -> Any:
        """Apply a committed command deterministically and return its result."""
        return _apply(codec.decode(command), self)

    def accept(
        self, command: AcceptVersion
    ) -> VersionAccepted | VersionRefused:
        """Accept a version if it is newer and its change applies."""
        try:
            catalog = self.catalog.apply(command.delta)
        except errors.CatalogError:
            return VersionRefused(version=command.delta.version)
        if catalog.version <= self.catalog.version:
            return VersionRefused(version=command.delta.version)
        self.catalog = catalog
        self.recent.append(
            RecentVersion(version=catalog.version, digest=catalog.digest)
        )
        return VersionAccepted(delta=command.delta)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        state = MachineState(
            snapshot=self.catalog.snapshot(),
            recent=tuple(self.recent),
            keys=self.ledger.records(),
            notices=self.notices.records(),
        )
        rollouts = self.rollouts.records()
        if not rollouts:
            return codec.encode(state)
        return codec.encode(StateWithRollouts(state=state, rollouts=rollouts))

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""
        self.recent.clear()
        if not data:
            self.catalog = catalog_lib.EMPTY_CATALOG
            self.ledger.restore(())
            self.notices.restore(())
            self.rollouts.restore(())
            return
        state = codec.decode(data)
        rollouts: tuple[rollout_lib.Rollout, ...] = ()
        if isinstance(state, StateWithRollouts):
            state, rollouts = state.state, state.rollouts
        self.rollouts.restore(rollouts)
        self.catalog = catalog_lib.from_snapshot(state.snapshot)
        self.recent.extend(state.recent)
        self.ledger.restore(state.keys)
        self.notices.restore(state.notices)

    def find_recent(self, version: int) -> RecentVersion | None:
        """Return a recently accepted version, or None."""
        for item in self.recent:
            if item.version == version:
                return item
        return None


@functools.singledispatch
def _apply(command: Any, state_machine: ControlStateMachine) -> Any:
    raise errors.FrameDecodeError(f"{type(command).__name__} is not a command")


@_apply.register
def _(command: AcceptVersion, state_machine: ControlStateMachine) -> Any:
    return state_machine.accept(command)


@_apply.register
def _(command: ledger.ClaimKey, state_machine: ControlStateMachine) -> Any:
    return state_machine.ledger.claim(command)


@_apply.register
def _(command: ledger.SettleKey, state_machine: ControlStateMachine) -> Any:
    return state_machine.ledger.settle(command)


@_apply.register
def _(
    command: stored_notices.RecordNotice, state_machine: ControlStateMachine
) -> Any:
    return state_machine.notices.record(command)


@_apply.register
def _(
    command: rollout_lib.StartRollout, state_machine: ControlStateMachine
) -> Any:
    is_known = command.service in state_machine.catalog.services
    return state_machine.rollouts.start(command, is_known_service=is_known)


@_apply.register
def _(
    command: rollout_lib.AdvanceRollout, state_machine: ControlStateMachine
) -> Any:
    return state_machine.rollouts.advance(command)
