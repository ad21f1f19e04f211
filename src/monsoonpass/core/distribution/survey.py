"""On-demand surveys of the versions in force on all nodes.

Nodes report nothing periodically. A survey queries one contact node in each
data centre. The contact queries the members of its data centre and returns a
summary of the replies that arrived in time.
"""

import dataclasses
from typing import Any

from monsoonpass import codec
from monsoonpass import immutable
from monsoonpass.core import address as address_lib
from monsoonpass.core import bounded_mapping
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core import seeded_random
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.agreement import voter_lookup

DATA_CENTRE_TIMEOUT_S = 0.4
MESH_TIMEOUT_S = 1.0
OUTDATED_MEMBERS_MAX = 20
SURVEYS_IN_PROGRESS_MAX = 64


@codec.register(90)
@immutable.dataclass
class PlaceQuery:
    """Requests a survey of the receiver's data centre."""

    number: int


@codec.register(91)
@immutable.dataclass
class VersionQuery:
    """Requests the version in force at a member."""

    number: int


@codec.register(92)
@immutable.dataclass
class VersionReply:
    """Reports the version in force at a member.

    Attributes:
        number: Number of the survey.
        version: Version in force, 0 if none.
        ready: Whether the node has obtained a version since its start.
        in_force_for_s: Time since the version came into force.
    """

    number: int
    version: int
    ready: bool
    in_force_for_s: float


@immutable.dataclass
class VersionCount:
    """The number of nodes at which a version is in force."""

    version: int
    nodes: int


@immutable.dataclass
class OutdatedMember:
    """A node behind the newest version observed in its data centre.

    Attributes:
        instance: Instance name of the node.
        version: Version in force at the node; -1 if the node did not reply.
        for_s: Time since that version came into force; 0 without a reply.
    """

    instance: str
    version: int
    for_s: float


@codec.register(93)
@immutable.dataclass
class Place:
    """The result of a survey of one data centre.

    Attributes:
        number: Number of the survey at the requesting node.
        data_centre: Name of the data centre.
        members: Number of members that are alive or suspected.
        answered: Number of members that replied in time.
        counts: Number of nodes for each version, newest version first.
        laggards: Outdated members, at most `OUTDATED_MEMBERS_MAX`.
    """

    number: int
    data_centre: str
    members: int
    answered: int
    counts: tuple[VersionCount, ...]
    laggards: tuple[OutdatedMember, ...]


@immutable.dataclass
class Survey:
    """The result of a survey of the whole mesh.

    Attributes:
        version: Version in force at the surveying node.
        leader: Leader of the control group, or empty if unknown.
        voters: Instances of the voters, as far as known.
        places: Results of the data centres, ordered by name.
        missing: Data centres that did not reply in time.
    """

    version: int
    leader: str
    voters: tuple[str, ...]
    places: tuple[Place, ...]
    missing: tuple[str, ...]


@immutable.dataclass
class SurveyRequested(events.Event):
    """An operator requested a survey of the versions in force."""

    request_id: int


@immutable.dataclass
class DataCentreSurveyTimeout(timers.Timer):
    """The time for the members' replies has passed."""

    number: int


@immutable.dataclass
class MeshSurveyTimeout(timers.Timer):
    """The time for the data centres' results has passed."""

    number: int


@dataclasses.dataclass(kw_only=True, slots=True)
class DataCentreSurvey:
    """A survey of this node's data centre in progress.

    Attributes:
        requester: Node that receives the result; None for this node.
        requester_number: Number of the survey at the requester.
        member_count: Number of members at the start of the survey.
        replies: Replies received so far, by instance.
        expected: Instances that the survey queries, including this node.
    """

    requester: address_lib.Address | None
    requester_number: int
    member_count: int
    replies: dict[str, VersionReply]
    expected: set[str]


@dataclasses.dataclass(kw_only=True, slots=True)
class MeshSurvey:
    """A survey of the whole mesh in progress.

    Attributes:
        request_id: Number of the operator's request.
        expected: Data centres that the survey queries.
        places: Results received so far, by data centre.
    """

    request_id: int
    expected: set[str]
    places: dict[str, Place]


@step.step.register
def _(event: SurveyRequested, state: node.Node) -> list[effects.Effect]:
    bounded_mapping.evict_oldest_if_full(state.surveys, SURVEYS_IN_PROGRESS_MAX)
    number = _next_survey_number(state)
    others = sorted(state.directory.contacts)
    state.surveys[number] = MeshSurvey(
        request_id=event.request_id,
        expected={*others, state.settings.data_centre},
        places={},
    )
    rng = seeded_random.SeededRandom(bits=event.random_bits)
    result: list[effects.Effect] = [
        effects.SetTimer(
            timer=MeshSurveyTimeout(number=number), delay_s=MESH_TIMEOUT_S
        )
    ]
    for data_centre in others:
        contact = rng.choice(state.directory.contacts[data_centre])
        query = PlaceQuery(number=number)
        result.append(effects.Send(to=contact, message=query))
    return result + _survey_members(
        state, event, requester=None, requester_number=number
    )


@step.handle_message.register
def _(
    message: PlaceQuery, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    return _survey_members(
        state, event, requester=event.sender, requester_number=message.number
    )


@step.handle_message.register
def _(
    message: VersionQuery, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    reply = _make_version_reply(state, event, message.number)
    return [effects.SendDatagram(to=event.sender, message=reply)]


@step.handle_message.register
def _(
    message: VersionReply, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    survey = state.surveys.get(message.number)
    if not isinstance(survey, DataCentreSurvey):
        return []
    survey.replies[event.sender.instance] = message
    if survey.expected - survey.replies.keys():
        return []
    timer = DataCentreSurveyTimeout(number=message.number)
    return [
        effects.CancelTimer(timer=timer),
        *_finish_data_centre(state, message.number),
    ]


@step.handle_message.register
def _(
    message: Place, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    return _add_data_centre_result(state, message.number, message)


@step.handle_timer.register
def _(
    timer: DataCentreSurveyTimeout, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    if timer.number not in state.surveys:
        return []
    return _finish_data_centre(state, timer.number)


@step.handle_timer.register
def _(
    timer: MeshSurveyTimeout, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    if timer.number not in state.surveys:
        return []
    return _finish_mesh(state, timer.number)


def _next_survey_number(state: node.Node) -> int:
    state.survey_number += 1
    return state.survey_number


def _make_version_reply(
    state: node.Node, event: events.Event, number: int
) -> VersionReply:
    return VersionReply(
        number=number,
        version=state.config.version,
        ready=state.config.ready,
        in_force_for_s=event.now_s - state.config.in_force_since_s,
    )


def _survey_members(
    state: node.Node,
    event: events.Event,
    *,
    requester: address_lib.Address | None,
    requester_number: int,
) -> list[effects.Effect]:
    number = _next_survey_number(state)
    own = state.settings.address.instance
    members = state.membership.table.present()
    bounded_mapping.evict_oldest_if_full(state.surveys, SURVEYS_IN_PROGRESS_MAX)
    state.surveys[number] = DataCentreSurvey(
        requester=requester,
        requester_number=requester_number,
        member_count=len(members),
        replies={own: _make_version_reply(state, event, number)},
        expected={m.instance for m in members},
    )
    query = VersionQuery(number=number)
    result: list[effects.Effect] = [
        effects.SendDatagram(to=m.address, message=query)
        for m in members
        if m.instance != own
    ]
    if not result:
        return _finish_data_centre(state, number)
    timer = DataCentreSurveyTimeout(number=number)
    result.append(effects.SetTimer(timer=timer, delay_s=DATA_CENTRE_TIMEOUT_S))
    return result


def _finish_data_centre(state: node.Node, number: int) -> list[effects.Effect]:
    survey = state.surveys.pop(number)
    place = _summarise(state, survey)
    if survey.requester is not None:
        return [effects.Send(to=survey.requester, message=place)]
    return _add_data_centre_result(state, survey.requester_number, place)


def _summarise(state: node.Node, survey: DataCentreSurvey) -> Place:
    counts: dict[int, int] = {}
    for reply in survey.replies.values():
        counts[reply.version] = counts.get(reply.version, 0) + 1
    newest = max(counts)
    outdated_members = [
        OutdatedMember(
            instance=name, version=reply.version, for_s=reply.in_force_for_s
        )
        for name, reply in sorted(survey.replies.items())
        if reply.version < newest
    ]
    outdated_members += [
        OutdatedMember(instance=name, version=-1, for_s=0.0)
        for name in sorted(survey.expected - survey.replies.keys())
    ]
    return Place(
        number=survey.requester_number,
        data_centre=state.settings.data_centre,
        members=survey.member_count,
        answered=len(survey.replies),
        counts=tuple(
            VersionCount(version=version, nodes=counts[version])
            for version in sorted(counts, reverse=True)
        ),
        laggards=tuple(outdated_members[:OUTDATED_MEMBERS_MAX]),
    )


def _add_data_centre_result(
    state: node.Node, number: int, place: Place
) -> list[effects.Effect]:
    survey = state.surveys.get(number)
    if not isinstance(survey, MeshSurvey):
        return []
    survey.places[place.data_centre] = place
    if survey.expected - survey.places.keys():
        return []
    timer = MeshSurveyTimeout(number=number)
    return [
        effects.CancelTimer(timer=timer),
        *_finish_mesh(state, number),
    ]


def _finish_mesh(state: node.Node, number: int) -> list[effects.Effect]:
    survey: Any = state.surveys.pop(number)
    leader = voter_lookup.known_leader(state)
    result = Survey(
        version=state.config.version,
        leader=leader.instance if leader else "",
        voters=tuple(
            voter.instance for voter in voter_lookup.known_voters(state)
        ),
        places=tuple(survey.places[name] for name in sorted(survey.places)),
        missing=tuple(sorted(survey.expected - survey.places.keys())),
    )
    return [effects.Reply(request_id=survey.request_id, result=result)]
