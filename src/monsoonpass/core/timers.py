"""Timers: what a node wants to be reminded of, as data."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Timer:
    """Base of all timers; equal timers are one timer."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Election(Timer):
    """No leader was heard for the election timeout."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat(Timer):
    """The leader's heartbeats are due."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GroupUpkeep(Timer):
    """The control group's members are due for a check."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SubmitRetry(Timer):
    """A submission that is not answered is due for another try."""

    request_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NewestRetry(Timer):
    """A read of the last accepted configuration is due for another try."""

    request_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PushRetry(Timer):
    """A version that a data centre did not acknowledge is due again."""

    data_centre: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BranchRetry(Timer):
    """The head of a branch did not acknowledge a version."""

    instance: str
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OfferDue(Timer):
    """An upstream announced before the node had joined is due to be offered."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ColdStartRetry(Timer):
    """The first version was not obtained yet."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HintDue(Timer):
    """Some members are due to be told of the version in force."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FetchRetry(Timer):
    """A fetch of a newer version was not answered."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Probe(Timer):
    """The next member is due for a probe."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProbeTimeout(Timer):
    """A probe was not answered in time."""

    number: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Suspicion(Timer):
    """A suspected member did not refute in time."""

    instance: str
    incarnation: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Gossip(Timer):
    """News of members is due to be spread."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Join(Timer):
    """The member table is due for a first, or another, synchronisation."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Exchange(Timer):
    """The exchange with other data centres is due."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRetry(Timer):
    """A claim or settlement of a key was not answered."""

    call_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallDeadline(Timer):
    """A call's deadline has come."""

    call_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ParkTimeout(Timer):
    """Calls have waited long enough for a service's remote endpoints."""

    service: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QueueDeadline(Timer):
    """The earliest deadline in the admission queue has come."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamRecheck(Timer):
    """An upstream that could not be reached is due to be tried again."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Hedge(Timer):
    """A call is slow enough to be tried on a second upstream."""

    call_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DrainCheck(Timer):
    """A planned stop checks whether work is still in progress."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeavePeers(Timer):
    """A planned stop is near enough to ask peers for no more calls."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamSilence(Timer):
    """The own upstream has not announced itself for too long."""
