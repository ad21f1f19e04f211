"""Models of the operator endpoint's JSON bodies."""

from typing import Annotated
from typing import Literal
from typing import TypeVar

import pydantic

from monsoonpass.core.distribution import catalog
from monsoonpass.core.distribution import survey
from monsoonpass.core.rollouts import rollout as rollout_lib
from monsoonpass.formats import bounds
from monsoonpass.formats import settings_sections

_ModelT = TypeVar("_ModelT", bound=pydantic.BaseModel)


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", defer_build=True)


class Announcement(_Model):
    """An upstream's announcement to its own node."""

    service: Annotated[
        str,
        pydantic.StringConstraints(
            pattern=r"^[a-z]([a-z0-9-]{0,61}[a-z0-9])?$"
        ),
    ]
    slots: Annotated[int, pydantic.Field(ge=1, le=10000)]
    port: Annotated[int, pydantic.Field(ge=1, le=65535)]
    cold: bool = False


class Heartbeat(pydantic.BaseModel):
    """An announcement that an upstream repeats periodically.

    Attributes:
        service: Service that the upstream serves.
        address: Address that it listens on, such as "127.0.0.1:8080".
        slots: Number of calls that it runs concurrently.
        state: Whether it accepts calls or is about to leave.
        cold_s: Remaining time of its slow phase after the start.
        sequence: Number that increases with each heartbeat of one start.
        born: Its start time, in milliseconds of Unix time, or None.
        version: Its software version, or None.
    """

    model_config = pydantic.ConfigDict(
        extra="ignore", strict=True, defer_build=True
    )

    service: bounds.Name
    address: bounds.Name
    slots: Annotated[int, pydantic.Field(ge=1, le=10000)]
    state: Literal["ready", "draining"]
    cold_s: Annotated[
        float, pydantic.Field(ge=0, le=bounds.TIME_MAX_S, strict=False)
    ] = 0.0
    sequence: bounds.Count
    born: bounds.PositiveInteger | None = None
    version: bounds.Version | None = None

    @classmethod
    def parse(cls, name: str, data: bytes) -> "Heartbeat":
        """Validate a heartbeat.

        Args:
            name: Name of the upstream.
            data: The JSON body.

        Raises:
            ValueError: The name or a field is not valid.
        """
        check_name(name)
        return _validate_json(cls, data)

    def host_port(self) -> settings_sections.HostPort:
        """Return the parsed address.

        Raises:
            ValueError: The address is not valid.
        """
        try:
            parsed = settings_sections.HostPort.parse(self.address)
        except ValueError as error:
            raise ValueError("address: not an IP address and a port") from error
        if not parsed.port:
            raise ValueError("address: the port is 0")
        return parsed


class Deregistration(pydantic.BaseModel):
    """An upstream's deregistration, with its start time if it sends one."""

    model_config = pydantic.ConfigDict(
        extra="ignore", strict=True, defer_build=True
    )

    born: bounds.PositiveInteger | None = None

    @classmethod
    def parse(cls, name: str, data: bytes) -> "Deregistration":
        """Validate a deregistration; the body may be empty.

        Raises:
            ValueError: The name or a field is not valid.
        """
        check_name(name)
        return _validate_json(cls, data) if data else cls()


def _validate_json(model: type[_ModelT], data: bytes) -> _ModelT:
    """Validate a JSON body.

    Raises:
        ValueError: Names the first field that is not valid.
    """
    try:
        return model.model_validate_json(data)
    except pydantic.ValidationError as error:
        fault = error.errors(include_url=False)[0]
        location = ".".join(str(part) for part in fault["loc"]) or "body"
        raise ValueError(f"{location}: {fault['msg']}") from error


def check_name(name: str) -> None:
    """Check the name of an upstream.

    Raises:
        ValueError: The name is too long.
    """
    if len(name) > bounds.NAME_MAX_CHARS:
        raise ValueError(f"name: over {bounds.NAME_MAX_CHARS} characters")


class RolloutOrder(pydantic.BaseModel):
    """An order of a rollout.

    Attributes:
        service: The service.
        target_version: Version that its upstreams move to.
        duration_s: Time until the rollout must be completed.
    """

    model_config = pydantic.ConfigDict(extra="ignore", strict=True)

    service: bounds.Name
    target_version: Annotated[
        str,
        pydantic.StringConstraints(
            min_length=1, max_length=bounds.VERSION_MAX_CHARS
        ),
    ]
    duration_s: Annotated[
        float,
        pydantic.Field(
            gt=0, le=bounds.TIME_MAX_S, allow_inf_nan=False, strict=False
        ),
    ]

    @classmethod
    def parse(cls, data: bytes) -> "RolloutOrder":
        """Validate an order.

        Raises:
            ValueError: A field is missing or not valid.
        """
        return _validate_json(cls, data)


class RolloutView(_Model):
    """The newest rollout of a service."""

    state: Literal["running", "completed", "rolled_back"]
    target_version: str

    @classmethod
    def of(cls, rollout: rollout_lib.Rollout) -> "RolloutView":
        """Return the view of a rollout."""
        phase = rollout.phase
        return cls(
            state=phase.value if phase.is_ended else "running",
            target_version=rollout.target_version,
        )


class SubmitResult(_Model):
    """The outcome of a submission."""

    status: str
    version: int


class RouteView(_Model):
    """One route of the configuration in force."""

    path: str
    methods: list[str]
    idempotent: bool
    priority: str
    deadline_s: float
    size: str

    @classmethod
    def of(cls, route: catalog.Route) -> "RouteView":
        """Return the view of a route."""
        return cls(
            path=route.path,
            methods=list(route.methods),
            idempotent=route.idempotent,
            priority=route.priority.name.lower(),
            deadline_s=route.deadline_s,
            size="bulk" if route.bulk else "short",
        )


class ServiceView(_Model):
    """One service of the configuration in force."""

    depends_on: list[str]
    routes: list[RouteView]


class ConfigView(_Model):
    """The configuration in force at the queried node."""

    version: int
    services: dict[str, ServiceView]

    @classmethod
    def of(cls, current: catalog.Catalog) -> "ConfigView":
        """Return the view of a configuration."""
        return cls(
            version=current.version,
            services={
                name: ServiceView(
                    depends_on=list(service.depends_on),
                    routes=[RouteView.of(route) for route in service.routes],
                )
                for name, service in sorted(current.services.items())
            },
        )


class CountView(_Model):
    """Number of nodes that have a version in force."""

    version: int
    nodes: int


class OutdatedMemberView(_Model):
    """A node behind the latest version; `version` is -1 without a reply."""

    instance: str
    version: int
    for_s: float


class PlaceView(_Model):
    """The versions in force in one data centre."""

    data_centre: str
    members: int
    answered: int
    counts: list[CountView]
    laggards: list[OutdatedMemberView]


class StatusView(_Model):
    """The versions in force in the whole mesh."""

    version: int
    leader: str
    voters: list[str]
    places: list[PlaceView]
    missing: list[str]

    @classmethod
    def of(cls, result: survey.Survey) -> "StatusView":
        """Return the view of a survey."""
        return cls(
            version=result.version,
            leader=result.leader,
            voters=list(result.voters),
            places=[_place_view(place) for place in result.places],
            missing=list(result.missing),
        )


def _place_view(place: survey.Place) -> PlaceView:
    return PlaceView(
        data_centre=place.data_centre,
        members=place.members,
        answered=place.answered,
        counts=[
            CountView(version=count.version, nodes=count.nodes)
            for count in place.counts
        ],
        laggards=[
            OutdatedMemberView(
                instance=member.instance,
                version=member.version,
                for_s=member.for_s,
            )
            for member in place.laggards
        ],
    )


class MemberView(_Model):
    """One member of the node's data centre."""

    instance: str
    state: str
    service: str
    slots: int
    upstream: str


class NodeView(_Model):
    """The state of the queried node."""

    instance: str
    data_centre: str
    region: str
    version: int
    ready: bool
    in_force_for_s: float
    stopping: bool
    role: str
    members: list[MemberView]
