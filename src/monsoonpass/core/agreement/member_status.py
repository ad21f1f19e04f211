"""Status of the other members, for reconfiguration by the leader."""

from monsoonpass import immutable
from monsoonpass.core.agreement import replica as replica_lib


@immutable.dataclass
class MemberStatus:
    """Status of one member, as the leader sees it.

    `silent_s` is the time since the member's last reply, or since the leader
    was elected if that is later.
    """

    replica_id: int
    instance: str
    voter: bool
    match_index: int
    silent_s: float


def member_statuses(
    replica: replica_lib.Replica, now_s: float
) -> list[MemberStatus]:
    """Return the status of each other member; call it on the leader."""
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
