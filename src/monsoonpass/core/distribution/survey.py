"""Surveys: which version is in force on which nodes, asked on demand.

Nothing is reported while nobody asks. A survey asks one contact in each data
centre, which asks its members and sums up what came back in time.
"""

import dataclasses
from typing import Any

from monsoonpass import codec
from monsoonpass.core import address as address_lib
from monsoonpass.core import bounded
from monsoonpass.core import effects
from monsoonpass.core import entropy as entropy_lib
from monsoonpass.core import events
from monsoonpass.core import node
from monsoonpass.core import step
from monsoonpass.core import timers
from monsoonpass.core.agreement import voters as voters_lib

DATA_CENTRE_TIMEOUT_S = 0.4
MESH_TIMEOUT_S = 1.0
LAGGARDS_MAX = 20
SURVEYS_IN_PROGRESS_MAX = 64


@codec.register(90)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlaceQuery:
    """Asks a node to survey its data centre."""

    number: int


@codec.register(91)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionQuery:
    """Asks a member for its version."""

    number: int


@codec.register(92)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionReply:
    """Tells the version in force.

    Attributes:
        number: Number of the survey.
        version: Version in force, 0 if none.
        ready: Whether the node serves.
        in_force_for_s: For how long.
    """

    number: int
    version: int
    ready: bool
    in_force_for_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionCount:
    """How many nodes have a version in force."""

    version: int
    nodes: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Laggard:
    """A node that is not on the newest version seen in its data centre.

    Attributes:
        instance: Its name.
        version: Its version; -1 if it did not answer.
        for_s: For how long it has had that version.
    """

    instance: str
    version: int
    for_s: float


@codec.register(93)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Place:
    """The result of a survey of one data centre.

    Attributes:
        number: Number of the survey at the asker.
        data_centre: The data centre.
        members: Members present.
        answered: Members that answered in time.
        counts: Nodes by version, newest first.
        laggards: The first nodes that lag.
    """

    number: int
    data_centre: str
    members: int
    answered: int
    counts: tuple[VersionCount, ...]
    laggards: tuple[Laggard, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Survey:
    """The result of a survey of the whole mesh.

    Attributes:
        version: Version in force at the node asked.
        leader: Instance that leads the control group, as far as known.
        voters: Instances of the voters, as far as known.
        places: Results by data centre.
        missing: Data centres that did not answer.
    """

    version: int
    leader: str
    voters: tuple[str, ...]
    places: tuple[Place, ...]
    missing: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SurveyRequested(events.Event):
    """An operator asked for the versions in force."""

    request_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DataCentreSurveyTimeout(timers.Timer):
    """The members had time to answer."""

    number: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MeshSurveyTimeout(timers.Timer):
    """The data centres had time to answer."""

    number: int


@dataclasses.dataclass(kw_only=True, slots=True)
class DataCentreSurvey:
    """A survey of the own data centre under way."""

    requester: address_lib.Address | None
    requester_number: int
    member_count: int
    replies: dict[str, VersionReply]
    expected: set[str]


@dataclasses.dataclass(kw_only=True, slots=True)
class MeshSurvey:
    """A survey of the whole mesh under way."""

    request_id: int
    expected: set[str]
    places: dict[str, Place]


@step.step.register
def _(event: SurveyRequested, state: node.Node) -> list[effects.Effect]:
    bounded.make_room(state.surveys, SURVEYS_IN_PROGRESS_MAX)
    number = _next_survey_number(state)
    others = sorted(state.directory.contacts)
    state.surveys[number] = MeshSurvey(
        request_id=event.request_id,
        expected={*others, state.settings.data_centre},
        places={},
    )
    entropy = entropy_lib.Entropy(bits=event.entropy)
    result: list[effects.Effect] = [
        effects.SetTimer(
            timer=MeshSurveyTimeout(number=number), delay_s=MESH_TIMEOUT_S
        )
    ]
    for data_centre in others:
        contact = entropy.choice(state.directory.contacts[data_centre])
        query = PlaceQuery(number=number)
        result.append(effects.Send(to=contact, message=query))
    return result + _survey_members(
        state, event, requester=None, requester_number=number
    )


@step.receive.register
def _(
    message: PlaceQuery, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    return _survey_members(
        state, event, requester=event.sender, requester_number=message.number
    )


@step.receive.register
def _(
    message: VersionQuery, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    reply = _make_version_reply(state, event, message.number)
    return [effects.SendDatagram(to=event.sender, message=reply)]


@step.receive.register
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


@step.receive.register
def _(
    message: Place, event: events.PeerMessage, state: node.Node
) -> list[effects.Effect]:
    return _add_data_centre_result(state, message.number, message)


@step.expire.register
def _(
    timer: DataCentreSurveyTimeout, event: events.TimerFired, state: node.Node
) -> list[effects.Effect]:
    if timer.number not in state.surveys:
        return []
    return _finish_data_centre(state, timer.number)


@step.expire.register
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
    laggards = [
        Laggard(
            instance=name, version=reply.version, for_s=reply.in_force_for_s
        )
        for name, reply in sorted(survey.replies.items())
        if reply.version < newest
    ]
    laggards += [
        Laggard(instance=name, version=-1, for_s=0.0)
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
        laggards=tuple(laggards[:LAGGARDS_MAX]),
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
    leader = voters_lib.leader_of(state)
    result = Survey(
        version=state.config.version,
        leader=leader.instance if leader else "",
        voters=tuple(
            voter.instance for voter in voters_lib.known_voters(state)
        ),
        places=tuple(survey.places[name] for name in sorted(survey.places)),
        missing=tuple(sorted(survey.expected - survey.places.keys())),
    )
    return [effects.Reply(request_id=survey.request_id, result=result)]
