"""Proposes commands to the control group on behalf of other nodes."""

from typing import Any

from monsoonpass import codec
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core.agreement import consensus_records as records
from monsoonpass.core.agreement import replica as replica_lib
from monsoonpass.core.agreement import replication

PENDING_PROPOSALS_MAX = 4096  # Uncommitted proposals of the leader.


def propose_command(
    state: node.Node, event: events.Event, command: Any, token: Any
) -> list[effects.Effect] | None:
    """Propose a command as leader.

    Args:
        state: The node.
        event: The event being handled, for its time.
        command: A command of the replicated state machine.
        token: Returned in the notice that the command was applied.

    Returns:
        Effects, or None if this node cannot propose now.
    """
    replica = state.control.replica
    if replica is None or not replica.is_leader:
        return None
    if not replica_lib.has_recent_quorum_contact(replica, event.now_s):
        return None
    if len(replica.proposal_tokens) >= PENDING_PROPOSALS_MAX:
        return None
    try:
        return replication.propose(
            replica,
            kind=records.EntryKind.COMMAND,
            data=codec.encode(command),
            token=token,
            now_s=event.now_s,
        )
    except replica_lib.RequestRejectedError:
        return None
