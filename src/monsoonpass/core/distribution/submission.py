"""Submission of configurations: forwarding, acceptance and replies.

Any node takes submissions from operators and forwards them to the leader of
the control group, which proposes them one at a time.
"""

import dataclasses

from monsoonpass import codec
from monsoonpass import errors
from monsoonpass import immutable
from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core import node
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.agreement import consensus_records as records
from monsoonpass.core.agreement import control_state_machine
from monsoonpass.core.agreement import replica as replica_lib
from monsoonpass.core.agreement import replication
from monsoonpass.core.agreement import voter_lookup
from monsoonpass.core.distribution import catalog as catalog_lib
from monsoonpass.core.distribution import config_messages as messages
from monsoonpass.core.distribution import packing
from monsoonpass.core.distribution import version_distribution

RETRY_INTERVAL_S = 0.3
FORWARD_TIMEOUT_S = 1.5
SUBMISSION_TIMEOUT_S = 5.0
QUEUE_MAX = 64
ANY_BASE = -1  # No condition on the version that is replaced.

Status = messages.SubmitStatus


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingSubmission:
    """A submission that this node received from an operator.

    Attributes:
        snapshot: The submitted configuration.
        received_s: Time at which the operator submitted it.
        base_version: Version that must be the last accepted one; -1 for no
            condition.
        leader_queries: Number of queries sent to find the leader.
        unresolved_forwards: Number of forwards that a leader may have
            accepted.
        last_forwarded_s: Time of the last forward to a leader.
    """

    snapshot: catalog_lib.Snapshot
    received_s: float
    base_version: int = -1
    leader_queries: int = 0
    unresolved_forwards: int = 0
    last_forwarded_s: float = float("-inf")


@immutable.dataclass
class QueuedSubmission:
    """A submission in the leader's queue.

    Attributes:
        origin: Node that received the submission from the operator.
        request_id: Number of the request at that node.
        snapshot: The submitted configuration.
        base_version: Version that must be the last accepted one; -1 for no
            condition.
    """

    origin: address_lib.Address
    request_id: int
    snapshot: catalog_lib.Snapshot
    base_version: int = -1


@step.step.register
def _(event: events.SubmitRequested, state: node.Node) -> list[effects.Effect]:
    if len(state.control.pending_submissions) >= QUEUE_MAX:
        reply = _make_reply(state, event.request_id, Status.BUSY)
        return [effects.Reply(request_id=event.request_id, result=reply)]
    state.control.pending_submissions[event.request_id] = PendingSubmission(
        snapshot=event.snapshot,
        received_s=event.now_s,
        base_version=event.base_version,
    )
    return _forward_or_expire(state, event, event.request_id)


@step.handle_timer.register
def _(
    timer: timers.SubmitRetry, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    return _forward_or_expire(state, event, timer.request_id)


@step.handle_message.register
def _(
    message: messages.SubmitForward, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    try:
        snapshot = packing.unpack(message.snapshot, catalog_lib.Snapshot)
    except errors.CatalogError:
        reply = _make_reply(state, message.request_id, Status.INVALID)
        return [effects.Send(to=event.sender, message=reply)]
    submission = QueuedSubmission(
        origin=event.sender,
        request_id=message.request_id,
        snapshot=snapshot,
        base_version=message.base_version,
    )
    return _enqueue(state, event, submission)


@step.handle_message.register
def _(
    message: messages.SubmitReply, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    return _handle_reply(state, event, message)


def handle_applied(
    state: node.Node,
    event: events.Event,
    notice: replica_lib.Applied,
) -> list[effects.Effect]:
    """Reply to the submission whose entry was applied; propose the next.

    Args:
        state: The node.
        event: The event being handled, for its time and random bits.
        notice: The replica's notice of the applied entry.

    Returns:
        Effects that distribute an accepted version, send the reply and
        propose the next submission.
    """
    result: list[effects.Effect] = []
    if isinstance(notice.result, control_state_machine.VersionAccepted):
        delta = notice.result.delta
        result.append(
            effects.Log(
                code=log_events.Code.VERSION_ACCEPTED,
                fields={"version": delta.version},
            )
        )
        result += version_distribution.install_accepted(state, event, delta)
    if isinstance(notice.token, QueuedSubmission):
        state.control.proposed_submission = None
        result += _resolve(state, event, notice.token)
    return result + _propose_next(state, event)


def handle_dropped(
    state: node.Node, event: events.Event, submission: QueuedSubmission
) -> list[effects.Effect]:
    """Report a proposed submission as unconfirmed after losing leadership."""
    state.control.proposed_submission = None
    result = _send_status(state, event, submission, Status.UNCONFIRMED)
    return result + reject_queued(state, event)


def reject_queued(
    state: node.Node, event: events.Event
) -> list[effects.Effect]:
    """Reject all queued submissions after this node stops being the leader."""
    result: list[effects.Effect] = []
    while state.control.submission_queue:
        submission = state.control.submission_queue.popleft()
        result += _send_status(state, event, submission, Status.NOT_LEADER)
    return result


def forward_pending(
    state: node.Node, event: events.PeerMessage
) -> list[effects.Effect]:
    """Forward pending submissions to a leader that a quorum confirmed."""
    result: list[effects.Effect] = []
    for request_id, pending in state.control.pending_submissions.items():
        if event.now_s - pending.last_forwarded_s < FORWARD_TIMEOUT_S:
            continue
        pending.last_forwarded_s = event.now_s
        pending.unresolved_forwards += 1
        forward = messages.SubmitForward(
            request_id=request_id,
            snapshot=packing.pack(pending.snapshot),
            base_version=pending.base_version,
        )
        result.append(effects.Send(to=event.sender, message=forward))
    return result


def _forward_or_expire(
    state: node.Node, event: events.Event, request_id: int
) -> list[effects.Effect]:
    """Forward a submission to the leader, or finish it after its timeout.

    A remote leader must first confirm its leadership with a `ColdRead`, so a
    submission that was never forwarded can be reported as not accepted.
    """
    pending = state.control.pending_submissions.get(request_id)
    if pending is None:
        return []
    if event.now_s - pending.received_s >= SUBMISSION_TIMEOUT_S:
        status = (
            Status.UNCONFIRMED
            if pending.unresolved_forwards
            else Status.UNAVAILABLE
        )
        return _finish(state, _make_reply(state, request_id, status))
    retry = effects.SetTimer(
        timer=timers.SubmitRetry(request_id=request_id),
        delay_s=RETRY_INTERVAL_S,
    )
    if event.now_s - pending.last_forwarded_s < FORWARD_TIMEOUT_S:
        return [retry]
    replica = state.control.replica
    if replica is not None and replica.is_ready_leader:
        pending.last_forwarded_s = event.now_s
        pending.unresolved_forwards += 1
        submission = QueuedSubmission(
            origin=state.settings.address,
            request_id=request_id,
            snapshot=pending.snapshot,
            base_version=pending.base_version,
        )
        return [retry, *_enqueue(state, event, submission)]
    to = voter_lookup.pick_leader_or_voter(state, event, pending.leader_queries)
    pending.leader_queries += 1
    if to is None:
        return [retry]
    return [retry, effects.Send(to=to, message=messages.ColdRead())]


def _enqueue(
    state: node.Node, event: events.Event, submission: QueuedSubmission
) -> list[effects.Effect]:
    replica = state.control.replica
    is_leading = replica is not None and replica.is_ready_leader
    if not is_leading or not replica_lib.has_recent_quorum_contact(
        replica, event.now_s
    ):
        return _send_status(state, event, submission, Status.NOT_LEADER)
    if len(state.control.submission_queue) >= QUEUE_MAX:
        return _send_status(state, event, submission, Status.BUSY)
    state.control.submission_queue.append(submission)
    return _propose_next(state, event)


def _propose_next(
    state: node.Node, event: events.Event
) -> list[effects.Effect]:
    """Propose the next valid submission in the queue, if none is proposed."""
    result: list[effects.Effect] = []
    control = state.control
    replica = control.replica
    while control.submission_queue and control.proposed_submission is None:
        if replica is None or not replica.is_ready_leader:
            return result + reject_queued(state, event)
        submission = control.submission_queue.popleft()
        current = control.state_machine.catalog
        if submission.snapshot.version <= current.version:
            result += _resolve(state, event, submission)
            continue
        if submission.base_version not in (ANY_BASE, current.version):
            result += _send_status(
                state, event, submission, Status.BASE_MISMATCH
            )
            continue
        delta = _build_delta(current, submission.snapshot)
        if delta is None:
            result += _send_status(state, event, submission, Status.INVALID)
            continue
        control.proposed_submission = submission
        result += replication.propose(
            replica,
            kind=records.EntryKind.COMMAND,
            data=codec.encode(control_state_machine.AcceptVersion(delta=delta)),
            token=submission,
            now_s=event.now_s,
        )
    return result


def _build_delta(
    current: catalog_lib.Catalog, snapshot: catalog_lib.Snapshot
) -> catalog_lib.Delta | None:
    try:
        return current.delta_to(catalog_lib.from_snapshot(snapshot))
    except errors.CatalogError:
        return None


def _resolve(
    state: node.Node, event: events.Event, submission: QueuedSubmission
) -> list[effects.Effect]:
    """Reply to a submission according to the accepted versions."""
    state_machine = state.control.state_machine
    version, digest = submission.snapshot.version, submission.snapshot.digest
    if version > state_machine.catalog.version:
        return _send_status(state, event, submission, Status.UNCONFIRMED)
    if version == state_machine.catalog.version:
        same_content = digest == state_machine.catalog.digest
        status = Status.ACCEPTED if same_content else Status.CONFLICT
        return _send_status(state, event, submission, status)
    recent = state_machine.find_recent(version)
    if recent is None:
        return _send_status(state, event, submission, Status.NOT_INCREASING)
    same_content = recent.digest == digest
    status = Status.SUPERSEDED if same_content else Status.CONFLICT
    return _send_status(state, event, submission, status)


def _send_status(
    state: node.Node,
    event: events.Event,
    submission: QueuedSubmission,
    status: Status,
) -> list[effects.Effect]:
    reply = _make_reply(state, submission.request_id, status)
    if submission.origin.instance == state.settings.address.instance:
        return _handle_reply(state, event, reply)
    return [effects.Send(to=submission.origin, message=reply)]


def _handle_reply(
    state: node.Node, event: events.Event, reply: messages.SubmitReply
) -> list[effects.Effect]:
    pending = state.control.pending_submissions.get(reply.request_id)
    if pending is None:
        return []
    if reply.status is Status.NOT_LEADER:
        state.control.leader = reply.leader
        pending.unresolved_forwards = max(pending.unresolved_forwards - 1, 0)
        pending.last_forwarded_s = float("-inf")
        return []
    if reply.status is Status.UNCONFIRMED:
        pending.last_forwarded_s = float("-inf")
        return []
    return _finish(state, reply)


def _finish(
    state: node.Node, reply: messages.SubmitReply
) -> list[effects.Effect]:
    del state.control.pending_submissions[reply.request_id]
    result: list[effects.Effect] = [
        effects.CancelTimer(
            timer=timers.SubmitRetry(request_id=reply.request_id)
        ),
        effects.Reply(request_id=reply.request_id, result=reply),
    ]
    if reply.status not in (Status.ACCEPTED, Status.SUPERSEDED):
        fields = {"status": str(reply.status), "version": reply.version}
        result.append(
            effects.Log(code=log_events.Code.VERSION_REFUSED, fields=fields)
        )
    return result


def _make_reply(
    state: node.Node, request_id: int, status: Status
) -> messages.SubmitReply:
    known_version = max(
        state.control.state_machine.catalog.version, state.config.version
    )
    return messages.SubmitReply(
        request_id=request_id,
        status=status,
        version=known_version,
        leader=voter_lookup.known_leader(state),
    )
