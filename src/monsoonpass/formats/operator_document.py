"""The operator document: JSON with routes by host, services and limits.

The document is the counterpart of the operator text for programs. Unknown
fields of routes, services, limits and workspaces are stored and rendered
unchanged.
"""

import collections
import json
import re
from typing import Annotated
from typing import Any

import pydantic

from monsoonpass import errors
from monsoonpass.core.distribution import catalog
from monsoonpass.core.distribution import host_route
from monsoonpass.formats import bounds

DOCUMENT_MAX_BYTES = 4 * 1024 * 1024  # Enough for about ten thousand services.
ATTEMPTS_MAX = 100
# A key longer than this leaves little of a request head for anything else.
KEY_MAX_CHARS = 4096
_HEADER_VALUE = re.compile(
    r"[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?"
)


def _check_header_value(text: str) -> str:
    """Check that a request header can carry a text.

    Raises:
        ValueError: It cannot; the message does not show the text.
    """
    if not _HEADER_VALUE.fullmatch(text):
        raise ValueError(
            "contains control characters, or begins or ends with a space"
        )
    return text


_Seconds = Annotated[float, pydantic.Field(gt=0, le=bounds.TIME_MAX_S)]
_Text = Annotated[str, pydantic.StringConstraints(min_length=1, max_length=512)]
_Path = Annotated[
    str, pydantic.StringConstraints(pattern=r"^/([^\s?#]*/)?$", max_length=2048)
]
_HeaderText = Annotated[_Text, pydantic.AfterValidator(_check_header_value)]
_Key = Annotated[
    str,
    pydantic.StringConstraints(min_length=1, max_length=KEY_MAX_CHARS),
    pydantic.AfterValidator(_check_header_value),
]
_Priority = Annotated[int, pydantic.Field(ge=0, le=1000)]
_Rate = Annotated[float, pydantic.Field(ge=0, le=bounds.RATE_MAX)]


class _ExtensibleModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="allow")

    @property
    def extra_json(self) -> str:
        """Unknown fields as JSON, or an empty string."""
        extra = self.model_extra
        return json.dumps(extra, sort_keys=True) if extra else ""

    @pydantic.model_validator(mode="after")
    def _check_extra(self) -> "_ExtensibleModel":
        """Refuse numbers that JSON can express only before it is parsed."""
        if self.model_extra:
            json.dumps(self.model_extra, allow_nan=False)
        return self


class PartModel(_ExtensibleModel):
    """A service that receives a share of a route's calls."""

    service: _Text
    weight: Annotated[float, pydantic.Field(ge=0, le=bounds.WEIGHT_MAX)]


class RouteModel(_ExtensibleModel):
    """A route by host and path prefix."""

    name: str
    host: _Text
    path: _Path
    kind: host_route.RouteKind
    deadline_s: _Seconds
    objective_s: _Seconds
    priority: _Priority
    attempts_max: Annotated[int, pydantic.Field(ge=1, le=ATTEMPTS_MAX)]
    service: _Text | None = None
    parts: list[PartModel] | None = None
    public: Annotated[bool, pydantic.Strict()] = False

    @pydantic.model_validator(mode="after")
    def _check_services(self) -> "RouteModel":
        if (self.service is None) == (not self.parts):
            raise ValueError("name either a service or parts")
        if self.parts and sum(part.weight for part in self.parts) <= 0:
            raise ValueError("the weights of the parts add up to nothing")
        return self

    def to_route(self) -> host_route.HostRoute:
        """Return the route of the configuration."""
        return host_route.HostRoute(
            name=self.name,
            host=self.host.lower(),
            path=self.path,
            kind=self.kind,
            deadline_s=self.deadline_s,
            objective_s=self.objective_s,
            priority=self.priority,
            attempts_max=self.attempts_max,
            service=self.service or "",
            parts=tuple(
                host_route.WeightedService(
                    service=part.service, weight=part.weight
                )
                for part in self.parts or ()
            ),
            extra_json=self.extra_json,
            public=self.public,
        )


class ServiceModel(_ExtensibleModel):
    """A service and the limits of its upstreams."""

    name: _Text
    health_path: str = ""
    connections_max: bounds.Count = 0

    def to_service(self) -> catalog.Service:
        """Return the service of the configuration."""
        return catalog.Service(
            name=self.name,
            depends_on=(),
            routes=(),
            health_path=self.health_path,
            connections_max=self.connections_max,
            extra_json=self.extra_json,
        )


class LimitsModel(_ExtensibleModel):
    """Limits on the requests of callers."""

    header_max_bytes: bounds.PositiveInteger = (
        host_route.DEFAULT_LIMITS.header_max_bytes
    )
    body_max_bytes: bounds.PositiveInteger = (
        host_route.DEFAULT_LIMITS.body_max_bytes
    )
    header_timeout_s: _Seconds = host_route.DEFAULT_LIMITS.header_timeout_s
    idle_timeout_s: _Seconds = host_route.DEFAULT_LIMITS.idle_timeout_s

    def to_limits(self) -> host_route.RequestLimits:
        """Return the limits of the configuration."""
        return host_route.RequestLimits(
            header_max_bytes=self.header_max_bytes,
            body_max_bytes=self.body_max_bytes,
            header_timeout_s=self.header_timeout_s,
            idle_timeout_s=self.idle_timeout_s,
            extra_json=self.extra_json,
        )


class WorkspaceModel(_ExtensibleModel):
    """A workspace with the keys of its callers."""

    name: _HeaderText
    keys: list[_Key] = []
    priority: _Priority | None = None
    rate_per_s: _Rate | None = None
    burst: _Rate = 0.0

    def to_workspace(self) -> catalog.Workspace:
        """Return the workspace of the configuration."""
        return catalog.Workspace(
            name=self.name,
            keys=tuple(self.keys),
            priority=self.priority,
            rate_per_s=self.rate_per_s,
            burst=self.burst,
            extra_json=self.extra_json,
        )


class DocumentModel(pydantic.BaseModel):
    """The whole document."""

    model_config = pydantic.ConfigDict(extra="ignore")

    version: Annotated[bounds.PositiveInteger, pydantic.Strict()]
    routes: list[RouteModel]
    services: list[ServiceModel]
    limits: LimitsModel
    workspaces: list[WorkspaceModel] = []


def compile_document(data: bytes) -> catalog.Catalog:
    """Validate an operator document and convert it to a configuration.

    Args:
        data: The JSON document.

    Returns:
        The configuration.

    Raises:
        OperatorTextError: One issue for each fault found.
    """
    try:
        model = DocumentModel.model_validate_json(data)
    except pydantic.ValidationError as error:
        issues = [
            _issue(".".join(str(part) for part in fault["loc"]), fault["msg"])
            for fault in error.errors(include_url=False)
        ]
        raise errors.OperatorTextError(issues=issues) from error
    routes = tuple(route.to_route() for route in model.routes)
    _check_unique(routes, [service.name for service in model.services])
    workspaces = [item.to_workspace() for item in model.workspaces]
    _check_workspaces(workspaces)
    services = {item.name: item.to_service() for item in model.services}
    try:
        return catalog.Catalog(
            version=model.version,
            services=services,
            routes=routes,
            limits=model.limits.to_limits(),
            workspaces=workspaces,
        )
    except errors.DanglingReferenceError as error:
        raise errors.OperatorTextError(
            issues=[_issue("routes", str(error))]
        ) from error


def render(current: catalog.Catalog) -> bytes:
    """Return a configuration as an operator document."""
    has_workspaces = bool(current.workspaces)
    document = {
        "version": current.version,
        "routes": [
            _render_route(route, has_workspaces) for route in current.routes
        ],
        "services": [
            _render_service(item) for item in current.services.values()
        ],
        "limits": _render_limits(current.limits),
    }
    if has_workspaces:
        document["workspaces"] = [
            _render_workspace(item) for item in current.workspaces.values()
        ]
    return json.dumps(document).encode()


def _check_unique(
    routes: tuple[host_route.HostRoute, ...], names: list[str]
) -> None:
    issues = []
    seen: set[str] = set()
    for route in routes:
        if route.host_and_path in seen:
            issues.append(
                _issue("routes", f"{route.host_and_path} stands twice")
            )
        seen.add(route.host_and_path)
    if len(names) != len(set(names)):
        issues.append(_issue("services", "a service stands twice"))
    if issues:
        raise errors.OperatorTextError(issues=issues)


def _check_workspaces(workspaces: list[catalog.Workspace]) -> None:
    """Check that names and keys are unique; no message shows a key."""
    counts = collections.Counter(item.name for item in workspaces)
    issues = [
        _issue("workspaces", f"{count} workspaces have the name {name}")
        for name, count in counts.items()
        if count > 1
    ]
    owners: dict[str, catalog.Workspace] = {}
    for workspace in workspaces:
        for key in workspace.keys:
            owner = owners.setdefault(key, workspace)
            if owner is not workspace:
                issues.append(
                    _issue(
                        "workspaces",
                        f"{owner.name} and {workspace.name} share a key",
                    )
                )
    if issues:
        raise errors.OperatorTextError(issues=issues)


def _render_route(
    route: host_route.HostRoute, has_workspaces: bool
) -> dict[str, Any]:
    result: dict[str, Any] = {
        "name": route.name,
        "host": route.host,
        "path": route.path,
        "kind": str(route.kind),
        "deadline_s": _compact_number(route.deadline_s),
        "objective_s": _compact_number(route.objective_s),
        "priority": route.priority,
        "attempts_max": route.attempts_max,
    }
    if route.parts:
        result["parts"] = [
            {"service": part.service, "weight": _compact_number(part.weight)}
            for part in route.parts
        ]
    else:
        result["service"] = route.service
    # The field has no effect without workspaces, and documents without them
    # usually omit it.
    if route.public or has_workspaces:
        result["public"] = route.public
    return result | _decode_extra(route.extra_json)


def _render_service(service: catalog.Service) -> dict[str, Any]:
    return {
        "name": service.name,
        "health_path": service.health_path,
        "connections_max": service.connections_max,
    } | _decode_extra(service.extra_json)


def _render_workspace(workspace: catalog.Workspace) -> dict[str, Any]:
    rate_per_s = workspace.rate_per_s
    return {
        "name": workspace.name,
        "keys": list(workspace.keys),
        "priority": workspace.priority,
        "rate_per_s": None
        if rate_per_s is None
        else _compact_number(rate_per_s),
        "burst": _compact_number(workspace.burst),
    } | _decode_extra(workspace.extra_json)


def _render_limits(limits: host_route.RequestLimits) -> dict[str, Any]:
    return {
        "header_max_bytes": limits.header_max_bytes,
        "body_max_bytes": limits.body_max_bytes,
        "header_timeout_s": _compact_number(limits.header_timeout_s),
        "idle_timeout_s": _compact_number(limits.idle_timeout_s),
    } | _decode_extra(limits.extra_json)


def _decode_extra(text: str) -> dict[str, Any]:
    return json.loads(text) if text else {}


def _compact_number(value: float) -> float | int:
    """Return a whole number as an int, any other number unchanged."""
    return int(value) if value == int(value) else value


def _issue(location: str, message: str) -> errors.Issue:
    return errors.Issue(location=location or "document", message=message)
