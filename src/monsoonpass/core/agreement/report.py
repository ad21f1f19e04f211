"""What the leader reports of the members, for their upkeep."""

import dataclasses

from monsoonpass.core.agreement import replica as replica_lib


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberProgress:
    """What the leader reports of one member."""

    replica_id: int
    instance: str
    voter: bool
    match_index: int
    quiet_s: float


def report(replica: replica_lib.Replica, now_s: float) -> list[MemberProgress]:
    """Return the leader's view of every other member."""
    result = []
    for member in replica.others:
        progress = replica.progress.get(member.replica_id)
        if progress is None:
            continue
        heard_s = max(progress.heard_s, replica.leading_since_s)
        result.append(
            MemberProgress(
                replica_id=member.replica_id,
                instance=member.address.instance,
                voter=member.voter,
                match_index=progress.match_index,
                quiet_s=now_s - heard_s,
            )
        )
    return result
