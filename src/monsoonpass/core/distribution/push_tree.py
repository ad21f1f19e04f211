"""The multicast tree that distributes a version to all members.

The root lists all its descendants, grouped by data centre. Each link between
regions, and between data centres of a region, carries one copy. Within a data
centre the tree fans out. Every receiver acknowledges the push to its parent.
If the head of a branch does not acknowledge in time, the parent takes the
branch over and pushes to the descendants itself.
"""

import dataclasses

from monsoonpass.core import address as address_lib
from monsoonpass.core import bounded_mapping
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core import node
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.distribution import config_messages as messages
from monsoonpass.core.membership import member as member_lib
from monsoonpass.core.membership import member_table

FAN_OUT = 8
# Exceeds the time for two levels when no node is slow, including 16 ms for a
# link between regions.
ACK_TIMEOUT_S = 0.4
LINK_BYTES_PER_S = 256 * 1024  # Slowest supported link of a node, 2 Mbit/s.
UNACKNOWLEDGED_BRANCHES_MAX = 1024
FORWARDED_VERSIONS_MAX = 32  # Exceeds the versions in flight at once.


def forward_push(state: node.Node, push: messages.Push) -> list[effects.Effect]:
    """Forward a push to the descendants of this node.

    Args:
        state: The node.
        push: The push received, or created by the root.

    Returns:
        For each branch, the send and the timer for its acknowledgement.
    """
    descendants = push.descendants
    if push.root_instance == state.settings.address.instance:
        descendants = _group_members(state, push.version)
    return _send_branches(
        state, push, _exclude_forwarded(state, push, descendants)
    )


def _exclude_forwarded(
    state: node.Node,
    push: messages.Push,
    descendants: tuple[messages.DataCentreMembers, ...],
) -> tuple[messages.DataCentreMembers, ...]:
    """Remove the members to which this node has already forwarded a version.

    A push can arrive twice after a branch was taken over.
    """
    forwarded_by_version = state.config.forwarded_to
    if push.version not in forwarded_by_version:
        bounded_mapping.evict_oldest_if_full(
            forwarded_by_version, FORWARDED_VERSIONS_MAX
        )
    forwarded_to = forwarded_by_version.setdefault(push.version, set())
    result = []
    for group in descendants:
        remaining = tuple(
            m for m in group.members if m.instance not in forwarded_to
        )
        forwarded_to.update(member.instance for member in remaining)
        if remaining:
            result.append(dataclasses.replace(group, members=remaining))
    return tuple(result)


def handle_ack(
    state: node.Node, instance: str, version: int
) -> list[effects.Effect]:
    """Handle the acknowledgement of a version by the head of a branch."""
    if (
        state.config.unacknowledged_branches.pop((instance, version), None)
        is None
    ):
        return []
    timer = timers.BranchAckTimeout(instance=instance, version=version)
    return [effects.CancelTimer(timer=timer)]


@step.handle_timer.register
def _(
    timer: timers.BranchAckTimeout, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    """Take over a branch whose head did not acknowledge in time.

    The head may be down, hung or behind a saturated link, so the push is not
    repeated. A hint lets the head fetch the version once it is able to.
    """
    push = state.config.unacknowledged_branches.pop(
        (timer.instance, timer.version), None
    )
    if push is None:
        return []
    log = effects.Log(
        code=log_events.Code.BRANCH_TAKEN_OVER,
        fields={
            "version": push.version,
            "member": timer.instance,
            "below": sum(len(group.members) for group in push.descendants),
        },
    )
    result: list[effects.Effect] = [log]
    member = state.membership.table.get(timer.instance)
    if member is not None:
        hint = messages.VersionHint(version=state.config.version)
        result.append(effects.SendDatagram(to=member.address, message=hint))
    return result + _send_branches(state, push, push.descendants)


def _send_branches(
    state: node.Node,
    push: messages.Push,
    descendants: tuple[messages.DataCentreMembers, ...],
) -> list[effects.Effect]:
    result: list[effects.Effect] = []
    branches = split_branches(state.settings, descendants)
    transmit_s = len(push.delta) * len(branches) / LINK_BYTES_PER_S
    for head, rest in branches:
        branch_push = dataclasses.replace(push, descendants=rest)
        result.append(effects.Send(to=head, message=branch_push))
        if (
            len(state.config.unacknowledged_branches)
            >= UNACKNOWLEDGED_BRANCHES_MAX
        ):
            continue
        state.config.unacknowledged_branches[(head.instance, push.version)] = (
            branch_push
        )
        timer = timers.BranchAckTimeout(
            instance=head.instance, version=push.version
        )
        delay_s = ACK_TIMEOUT_S + transmit_s
        result.append(effects.SetTimer(timer=timer, delay_s=delay_s))
    return result


def split_branches(
    settings: node.Settings, descendants: tuple[messages.DataCentreMembers, ...]
) -> list[tuple[address_lib.Address, tuple[messages.DataCentreMembers, ...]]]:
    """Split the descendants of a node into branches.

    Args:
        settings: The node's settings, for its region and data centre.
        descendants: All members below the node, by data centre.

    Returns:
        The head of each branch and the descendants of that head: one branch
        for each other region, one for each other data centre of the node's
        region, and at most `FAN_OUT` in the node's data centre.
    """
    result = []
    regions: dict[str, list[messages.DataCentreMembers]] = {}
    for group in descendants:
        if group.region != settings.region:
            regions.setdefault(group.region, []).append(group)
        elif group.data_centre != settings.data_centre:
            result.append(_make_branch([group]))
        else:
            for first in range(min(FAN_OUT, len(group.members))):
                branch_members = group.members[first::FAN_OUT]
                result.append(
                    _make_branch(
                        [dataclasses.replace(group, members=branch_members)]
                    )
                )
    # Other regions come first, because most members depend on those sends.
    return [*map(_make_branch, regions.values()), *result]


def _make_branch(
    groups: list[messages.DataCentreMembers],
) -> tuple[address_lib.Address, tuple[messages.DataCentreMembers, ...]]:
    """Return the first member of the groups, and the groups without it."""
    first, *others = groups
    head, *rest = first.members
    if rest:
        others.insert(0, dataclasses.replace(first, members=tuple(rest)))
    return head, tuple(others)


def _group_members(
    state: node.Node, version: int
) -> tuple[messages.DataCentreMembers, ...]:
    """Return the other members by data centre, ordered by suitability as head.

    An instance without an upstream carries no calls on its link, so it comes
    first and becomes the head of a branch. Suspected members are usually alive
    behind a busy link and receive the push too. They come last, so that few
    members depend on them. The remaining order differs from version to version.
    """
    salt = f"push/{version}"
    suspect = member_lib.MemberState.SUSPECT
    ordered = sorted(
        state.membership.present_others,
        key=lambda m: (
            m.state is suspect,
            bool(m.service),
            member_table.rank(m.instance, salt),
        ),
    )
    members_by_location: dict[tuple[str, str], list[address_lib.Address]] = {}
    for member in ordered:
        location = (member.region, member.data_centre)
        members_by_location.setdefault(location, []).append(member.address)
    return tuple(
        messages.DataCentreMembers(
            region=region, data_centre=data_centre, members=tuple(members)
        )
        for (region, data_centre), members in members_by_location.items()
    )
