"""Timers that the reducer sets through effects and receives as events."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Timer:
    """Base of all timers; setting an equal timer replaces the first one."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ElectionTimeout(Timer):
    """No leader was heard from for the election timeout."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatDue(Timer):
    """The leader's heartbeats are due."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GroupMaintenance(Timer):
    """The control group's members are due for a check."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SubmitRetry(Timer):
    """An unanswered submission is due to be sent again."""

    request_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigReadRetry(Timer):
    """An unanswered read of the last accepted configuration is due again."""

    request_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PushAckTimeout(Timer):
    """A version that a data centre did not acknowledge is due to be resent."""

    data_centre: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BranchAckTimeout(Timer):
    """The head of a branch did not acknowledge a version in time."""

    instance: str
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OfferDue(Timer):
    """An upstream that waited for the node to join is due to be offered."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ColdStartRetry(Timer):
    """The first configuration version has not been obtained in time."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionHintDue(Timer):
    """Version hints are due to be sent to some members."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FetchTimeout(Timer):
    """A fetch of a newer version was not answered in time."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProbeDue(Timer):
    """The next member is due for a probe."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProbeTimeout(Timer):
    """A probe was not answered in time."""

    number: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SuspicionTimeout(Timer):
    """A suspected member did not refute the suspicion in time."""

    instance: str
    incarnation: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GossipDue(Timer):
    """Queued membership updates are due to be gossiped."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JoinDue(Timer):
    """A synchronisation of the member table with a seed is due."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GreetingDue(Timer):
    """The periodic exchange of greetings with other data centres is due."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyedCallResend(Timer):
    """A claim or settlement of an idempotency key was not answered in time."""

    call_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallDeadline(Timer):
    """The deadline of a call has passed."""

    call_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndpointWaitTimeout(Timer):
    """Calls have waited for a service's remote endpoints for long enough."""

    service: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QueueDeadline(Timer):
    """The earliest deadline in the admission queue has passed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamRecheck(Timer):
    """An upstream that was unreachable is due to be offered again."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HedgeDue(Timer):
    """A call has taken long enough for a hedge to a second upstream."""

    call_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DrainCheck(Timer):
    """A check during a planned stop for calls in progress is due."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PublishDraining(Timer):
    """The upstream is due to be shown as draining during a planned stop."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamSilenceTimeout(Timer):
    """The own upstream may have been silent for too long."""
