"""Raft rules common to all roles, and message dispatch."""

import functools
from typing import Any

from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core import log_events
from monsoonpass.core import seeded_random
from monsoonpass.core import timers
from monsoonpass.core.agreement import consensus_records as records
from monsoonpass.core.agreement import replica as replica_lib


@functools.singledispatch
def receive(
    message: Any,
    replica: replica_lib.Replica,
    sender: address_lib.Address,
    now_s: float,
    random_bits: int,
) -> list[effects.Effect]:
    """Handle a message between replicas, dispatched on its type.

    Args:
        message: A message of `consensus_records`.
        replica: The replica that received it.
        sender: The node that sent it.
        now_s: Time of the event.
        random_bits: Random bits.

    Returns:
        Effects.
    """
    raise TypeError(f"no handler for {type(message).__name__}")


def become_follower(
    replica: replica_lib.Replica, term: int, random_bits: int
) -> list[effects.Effect]:
    """Make the replica a follower without a known leader.

    Args:
        replica: The replica.
        term: Term to enter, if it is higher than the current one.
        random_bits: Random bits for the election timer.

    Returns:
        Effects, including a new election timer.
    """
    result: list[effects.Effect] = []
    if replica.is_leader:
        result.append(
            effects.Log(
                code=log_events.Code.LEADER_RESIGNED,
                fields={"term": replica.term},
            )
        )
        result.append(effects.CancelTimer(timer=timers.HeartbeatDue()))
        _drop_pending(replica)
    replica.role = replica_lib.Role.FOLLOWER
    replica.votes.clear()
    replica.leader_id = 0
    if term > replica.term:
        replica.term = term
        replica.voted_for = 0
        result.append(replica.write_hard_state())
    result.append(election_timer(replica, random_bits))
    return result


def election_timer(
    replica: replica_lib.Replica, random_bits: int, elapsed_s: float = 0.0
) -> effects.SetTimer:
    """Return an effect that sets a randomized election timer.

    A voter without leader contact since its start uses a shorter timeout: the
    other voters may be starting too, and no node can serve before a leader is
    elected.

    Args:
        replica: The replica.
        random_bits: Random bits.
        elapsed_s: Part of the timeout that has already passed.

    Returns:
        The effect.
    """
    shortest_s = replica_lib.ELECTION_MIN_S
    longest_s = replica_lib.ELECTION_MAX_S
    if replica.is_voter and replica.leader_contact_s == float("-inf"):
        shortest_s = replica_lib.FIRST_ELECTION_MIN_S
        longest_s = replica_lib.FIRST_ELECTION_MAX_S
    rng = seeded_random.SeededRandom(bits=random_bits)
    timeout_s = rng.uniform(shortest_s, longest_s)
    return effects.SetTimer(
        timer=timers.ElectionTimeout(), delay_s=max(timeout_s - elapsed_s, 0.01)
    )


def commit_to(replica: replica_lib.Replica, index: int) -> list[effects.Effect]:
    """Raise the commit index and apply all entries up to it."""
    replica.commit_index = max(replica.commit_index, index)
    result: list[effects.Effect] = []
    while replica.applied_index < replica.commit_index:
        replica.applied_index += 1
        entry = replica.log.entry(replica.applied_index)
        token = replica.proposal_tokens.pop(entry.index, None)
        if entry.kind is records.EntryKind.COMMAND:
            command_result = replica.state_machine.apply(entry.data)
            replica.notices.append(
                replica_lib.Applied(
                    index=entry.index, result=command_result, token=token
                )
            )
        elif entry.kind is records.EntryKind.MEMBERS:
            members = replica.members_at(entry.index)
            result.append(
                effects.Log(
                    code=log_events.Code.VOTERS_CHANGED,
                    fields={
                        "voters": len(members.voter_sets[-1]),
                        "learners": len(members.members) - len(members.voters),
                        "replacing": bool(members.outgoing),
                    },
                )
            )
    return result


def _drop_pending(replica: replica_lib.Replica) -> None:
    for token in replica.proposal_tokens.values():
        replica.notices.append(replica_lib.RequestDropped(token=token))
    for read in replica.pending_reads:
        replica.notices.append(replica_lib.RequestDropped(token=read.token))
    replica.proposal_tokens.clear()
    replica.pending_reads.clear()
