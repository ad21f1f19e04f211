"""Timers that the reducer sets through effects and receives as events."""

from monsoonpass import immutable


@immutable.dataclass
class Timer:
    """Base of all timers; setting an equal timer replaces the first one."""


@immutable.dataclass
class ElectionTimeout(Timer):
    """No leader was heard from for the election timeout."""


@immutable.dataclass
class HeartbeatDue(Timer):
    """The leader's heartbeats are due."""


@immutable.dataclass
class GroupMaintenance(Timer):
    """The control group's members are due for a check."""


@immutable.dataclass
class SubmitRetry(Timer):
    """An unanswered submission is due to be sent again."""

    request_id: int


@immutable.dataclass
class ConfigReadRetry(Timer):
    """An unanswered read of the last accepted configuration is due again."""

    request_id: int


@immutable.dataclass
class PushAckTimeout(Timer):
    """A version that a data centre did not acknowledge is due to be resent."""

    data_centre: str


@immutable.dataclass
class BranchAckTimeout(Timer):
    """The head of a branch did not acknowledge a version in time."""

    instance: str
    version: int


@immutable.dataclass
class OfferDue(Timer):
    """An upstream that waited for the node to join is due to be offered."""


@immutable.dataclass
class ColdStartRetry(Timer):
    """The first configuration version has not been obtained in time."""


@immutable.dataclass
class VersionHintDue(Timer):
    """Version hints are due to be sent to some members."""


@immutable.dataclass
class FetchTimeout(Timer):
    """A fetch of a newer version was not answered in time."""


@immutable.dataclass
class ProbeDue(Timer):
    """The next member is due for a probe."""


@immutable.dataclass
class ProbeTimeout(Timer):
    """A probe was not answered in time."""

    number: int


@immutable.dataclass
class SuspicionTimeout(Timer):
    """A suspected member did not refute the suspicion in time."""

    instance: str
    incarnation: int


@immutable.dataclass
class GossipDue(Timer):
    """Queued membership updates are due to be gossiped."""


@immutable.dataclass
class JoinDue(Timer):
    """A synchronisation of the member table with a seed is due."""


@immutable.dataclass
class GreetingDue(Timer):
    """The periodic exchange of greetings with other data centres is due."""


@immutable.dataclass
class KeyedCallResend(Timer):
    """A claim or settlement of an idempotency key was not answered in time."""

    call_id: int


@immutable.dataclass
class NoticeResend(Timer):
    """The control group did not confirm a notice of leaving in time."""

    name: str


@immutable.dataclass
class CallDeadline(Timer):
    """The deadline of a call has passed."""

    call_id: int


@immutable.dataclass
class EndpointWaitTimeout(Timer):
    """Calls have waited for a service's remote endpoints for long enough."""

    service: str


@immutable.dataclass
class QueueDeadline(Timer):
    """The earliest deadline in the admission queue has passed."""


@immutable.dataclass
class UpstreamRecheck(Timer):
    """An upstream that was unreachable is due to be offered again."""


@immutable.dataclass
class HedgeDue(Timer):
    """A call has taken long enough for a hedge to a second upstream."""

    call_id: int


@immutable.dataclass
class DrainCheck(Timer):
    """A check during a planned stop for calls in progress is due."""


@immutable.dataclass
class PublishDraining(Timer):
    """The upstream is due to be shown as draining during a planned stop."""


@immutable.dataclass
class QuotaDue(Timer):
    """A request for tokens is due, or a call has waited for one too long."""


@immutable.dataclass
class RolloutPlanDue(Timer):
    """The leader is due to decide about the running rollouts."""


@immutable.dataclass
class RolloutReportDue(Timer):
    """A report on the own upstream is due to the leader of a rollout."""


@immutable.dataclass
class RolloutRequestRetry(Timer):
    """An order or read of an operator was not answered in time."""

    request_id: int


@immutable.dataclass
class UpstreamSilenceTimeout(Timer):
    """The own upstream may have been silent for too long."""
