"""What the leader reports of the members, for their upkeep."""

import dataclasses

from monsoonpass.core.agreement import replica as replica_lib


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberStatus:
    """What the leader reports of one member."""

    replica_id: int
    instance: str
    voter: bool
    match_index: int
    silent_s: float


def member_statuses(
    replica: replica_lib.Replica, now_s: float
) -> list[MemberStatus]:
    """Return the leader's view of every other member."""
    result = []
    for member in replica.others:
        progress = replica.progress.get(member.replica_id)
        if progress is None:
            continue
        last_reply_s = max(progress.last_reply_s, replica.leader_since_s)
        result.append(
            MemberStatus(
                replica_id=member.replica_id,
                instance=member.address.instance,
                voter=member.voter,
                match_index=progress.match_index,
                silent_s=now_s - last_reply_s,
            )
        )
    return result
