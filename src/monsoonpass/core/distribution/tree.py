"""The tree along which a version spreads.

The root names all members below it, grouped by place. Each link between
regions, and between data centres of a region, carries one copy; inside a data
centre the tree fans out. Every receiver acknowledges to the node above it,
which serves the branch of one that does not.
"""

import dataclasses

from monsoonpass.core import address as address_lib
from monsoonpass.core import bounded
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import logbook
from monsoonpass.core import node
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.distribution import config_messages as messages
from monsoonpass.core.membership import member as member_lib
from monsoonpass.core.membership import member_table

FAN_OUT = 8
# Two levels of a healthy tree take less; a region's link adds 16 ms.
ACK_TIMEOUT_S = 0.4
LINK_BYTES_PER_S = 256 * 1024  # The narrowest link of a node, 2 Mbit/s.
UNACKNOWLEDGED_BRANCHES_MAX = 1024
FORWARDED_VERSIONS_MAX = (
    32  # More versions than are under way at once in a storm.
)


def pass_on(state: node.Node, push: messages.Push) -> list[effects.Effect]:
    """Return the effects that pass a push on to those below.

    Args:
        state: The node.
        push: The push received, or made by the root.

    Returns:
        One send a branch, and the timer that waits for its acknowledgement.
    """
    descendants = push.descendants
    if push.root == state.settings.address.instance:
        descendants = _group_members(state, push.version)
    return _send_branches(
        state, push, _exclude_forwarded(state, push, descendants)
    )


def _exclude_forwarded(
    state: node.Node,
    push: messages.Push,
    descendants: tuple[messages.DataCentreMembers, ...],
) -> tuple[messages.DataCentreMembers, ...]:
    """Leave out the members to which this node has passed a version on.

    A branch that is taken over may come along two ways.
    """
    passed = state.config.passed
    if push.version not in passed:
        bounded.make_room(passed, FORWARDED_VERSIONS_MAX)
    forwarded_to = passed.setdefault(push.version, set())
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
    """Note that the head of a branch has a version."""
    if state.config.branches.pop((instance, version), None) is None:
        return []
    timer = timers.BranchRetry(instance=instance, version=version)
    return [effects.CancelTimer(timer=timer)]


@step.expire.register
def _(
    timer: timers.BranchRetry, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    """Serve the branch of a head that does not acknowledge.

    It may be down, frozen or behind a full link, so it gets no second copy: a
    hint lets it fetch what it lacks once it can.
    """
    push = state.config.branches.pop((timer.instance, timer.version), None)
    if push is None:
        return []
    log = effects.Log(
        code=logbook.Code.BRANCH_TAKEN_OVER,
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
        if len(state.config.branches) >= UNACKNOWLEDGED_BRANCHES_MAX:
            continue
        state.config.branches[(head.instance, push.version)] = branch_push
        timer = timers.BranchRetry(instance=head.instance, version=push.version)
        delay_s = ACK_TIMEOUT_S + transmit_s
        result.append(effects.SetTimer(timer=timer, delay_s=delay_s))
    return result


def split_branches(
    settings: node.Settings, descendants: tuple[messages.DataCentreMembers, ...]
) -> list[tuple[address_lib.Address, tuple[messages.DataCentreMembers, ...]]]:
    """Return the heads of the branches below a node, each with its part.

    Args:
        settings: The node's settings, for its region and data centre.
        descendants: All members below the node, by data centre.

    Returns:
        One branch for each other region, one for each other data centre of
        the own region, and at most `FAN_OUT` in the own data centre.
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
    # What goes far leaves first: more depends on it.
    return [*map(_make_branch, regions.values()), *result]


def _make_branch(
    groups: list[messages.DataCentreMembers],
) -> tuple[address_lib.Address, tuple[messages.DataCentreMembers, ...]]:
    """Return the first member of some groups, and the groups without it."""
    first, *others = groups
    head, *rest = first.members
    if rest:
        others.insert(0, dataclasses.replace(first, members=tuple(rest)))
    return head, tuple(others)


def _group_members(
    state: node.Node, version: int
) -> tuple[messages.DataCentreMembers, ...]:
    """Return the other members by place, in an order that differs by version.

    An instance without an upstream has its link to itself, so it heads its
    place. A suspect is mostly alive behind a busy link, and must learn too; it
    comes last, so that few depend on it.
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
