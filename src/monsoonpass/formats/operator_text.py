"""The operator text: YAML that lists services, dependencies and routes.

Validation reports all faults of a text together, each with its line.
"""

import re
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic
import yaml

from monsoonpass import errors
from monsoonpass.core.distribution import catalog
from monsoonpass.formats import operator_document

TEXT_MAX_BYTES = operator_document.DOCUMENT_MAX_BYTES
SERVICES_MAX = 10_000
SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s|m)$")
_UNITS_S = {"ms": 0.001, "s": 1.0, "m": 60.0}

_Name = Annotated[
    str,
    pydantic.StringConstraints(pattern=r"^[a-z]([a-z0-9-]{0,61}[a-z0-9])?$"),
]
_Method = Annotated[str, pydantic.StringConstraints(pattern=r"^[A-Z]{3,10}$")]
_Path = Annotated[str, pydantic.StringConstraints(pattern=r"^/[^\s?#]{0,255}$")]


def parse_duration_s(value: Any) -> Any:
    """Return the seconds of a duration such as "250ms".

    >>> parse_duration_s("250ms")
    0.25
    """
    match = _DURATION.match(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError("write a number with a unit: 250ms, 2s or 1m")
    return float(match[1]) * _UNITS_S[match[2]]


_Duration = Annotated[
    float,
    pydantic.BeforeValidator(parse_duration_s),
    pydantic.Field(gt=0, le=3600),
]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")


class RouteText(_Model):
    """A route in the operator text."""

    path: _Path = "/"
    methods: list[_Method] = []
    idempotent: bool | None = None
    priority: Literal["critical", "high", "normal", "low"] = "normal"
    deadline: _Duration = 5.0
    size: Literal["short", "bulk"] = "short"

    def to_routes(self) -> list[catalog.Route]:
        """Return the routes of the configuration.

        If `idempotent` is not given, the methods that HTTP defines as safe
        are idempotent and all others are not.
        """
        if self.idempotent is not None:
            return [self._route(tuple(self.methods), self.idempotent)]
        if not self.methods:
            return [
                self._route(SAFE_METHODS, True),
                self._route((), False),
            ]
        safe = tuple(m for m in self.methods if m in SAFE_METHODS)
        unsafe = tuple(m for m in self.methods if m not in SAFE_METHODS)
        routes = [self._route(safe, True)] if safe else []
        return routes + ([self._route(unsafe, False)] if unsafe else [])

    def _route(
        self, methods: tuple[str, ...], idempotent: bool
    ) -> catalog.Route:
        return catalog.Route(
            path=self.path,
            methods=methods,
            idempotent=idempotent,
            priority=catalog.Priority[self.priority.upper()],
            deadline_s=self.deadline,
            bulk=self.size == "bulk",
        )


class ServiceText(_Model):
    """A service in the operator text."""

    depends_on: list[_Name] = []
    routes: list[RouteText] = [RouteText()]


class MeshText(_Model):
    """The top level of the operator text."""

    version: Annotated[int, pydantic.Field(ge=1, lt=2**53, strict=True)]
    services: Annotated[
        dict[_Name, ServiceText | None],
        pydantic.Field(max_length=SERVICES_MAX),
    ]


def compile_text(text: str) -> catalog.Catalog:
    """Validate an operator text and convert it to a configuration.

    Args:
        text: The YAML text.

    Returns:
        The configuration.

    Raises:
        OperatorTextError: One issue for each fault found, with its line.
    """
    root = _parse_yaml(text)
    issues: list[errors.Issue] = []
    plain = _to_plain(root, issues)
    model = _validate(plain, root, issues)
    if model is not None:
        _check_references(model, root, issues)
    if issues or model is None:
        raise errors.OperatorTextError(issues=_sorted_by_line(issues))
    services = {
        name: _to_service(name, service or ServiceText())
        for name, service in model.services.items()
    }
    return catalog.Catalog(version=model.version, services=services)


def _parse_yaml(text: str) -> yaml.Node:
    if len(text.encode()) > TEXT_MAX_BYTES:
        raise _line_error(1, f"the text is longer than {TEXT_MAX_BYTES} bytes")
    try:
        if "&" in text or "*" in text:
            _refuse_anchors(text)
        root = yaml.compose(text, Loader=_LOADER)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 1
        raise _line_error(line, error.problem or "not valid YAML") from error
    except (yaml.YAMLError, RecursionError) as error:
        raise _line_error(1, f"not valid YAML: {error}") from error
    if not isinstance(root, yaml.MappingNode):
        raise _line_error(1, "write 'version:' and 'services:' at the top")
    return root


def _refuse_anchors(text: str) -> None:
    """Refuse anchors and aliases, which could expand to a huge text."""
    for event in yaml.parse(text, Loader=_LOADER):
        is_alias = isinstance(event, yaml.AliasEvent)
        if is_alias or getattr(event, "anchor", None):
            line = event.start_mark.line + 1
            raise _line_error(line, "anchors and aliases are not allowed")


def _to_plain(node: yaml.Node, issues: list[errors.Issue]) -> Any:
    """Convert a node to Python values and report invalid keys."""
    if isinstance(node, yaml.MappingNode):
        result: dict[Any, Any] = {}
        for key_node, value_node in node.value:
            key = key_node.value
            if not isinstance(key, str):
                issues.append(_issue_at(key_node, "a key must be a name"))
                continue
            if key in result:
                issues.append(_issue_at(key_node, f"{key!r} stands twice"))
            result[key] = _to_plain(value_node, issues)
        return result
    if isinstance(node, yaml.SequenceNode):
        return [_to_plain(item, issues) for item in node.value]
    return _scalar_value(node)


def _scalar_value(node: yaml.ScalarNode) -> Any:
    if node.tag == "tag:yaml.org,2002:null":
        return None
    if node.tag == "tag:yaml.org,2002:bool":
        return node.value.lower() in ("true", "yes", "on")
    if node.tag == "tag:yaml.org,2002:int" and node.value.isdigit():
        return int(node.value) if len(node.value) < 20 else node.value
    return node.value


def _validate(
    plain: Any, root: yaml.Node, issues: list[errors.Issue]
) -> MeshText | None:
    """Return the model of plain values, or report its faults by line."""
    try:
        return MeshText.model_validate(plain)
    except pydantic.ValidationError as error:
        for fault in error.errors():
            location = [p for p in fault["loc"] if p != "[key]"]
            node = _find_node(root, location)
            name = ".".join(str(part) for part in location)
            issues.append(_issue_at(node, f"{name}: {fault['msg']}"))
        return None


def _find_node(root: yaml.Node, location: list[Any]) -> yaml.Node:
    """Return the node at a location, or its nearest existing ancestor."""
    node = root
    for part in location:
        child = _child_node(node, part)
        if child is None:
            return node
        node = child
    return node


def _child_node(node: yaml.Node, part: Any) -> yaml.Node | None:
    if isinstance(node, yaml.MappingNode):
        for key_node, value_node in node.value:
            if key_node.value == part:
                is_scalar = isinstance(value_node, yaml.ScalarNode)
                return (
                    value_node
                    if not is_scalar
                    else _marked_at_key(key_node, value_node)
                )
    if isinstance(node, yaml.SequenceNode) and isinstance(part, int):
        return node.value[part] if part < len(node.value) else None
    return None


def _marked_at_key(key_node: yaml.Node, value_node: yaml.Node) -> yaml.Node:
    """Move a scalar to its key's position, so that issues name that line."""
    value_node.start_mark = key_node.start_mark
    return value_node


def _check_references(
    model: MeshText, root: yaml.Node, issues: list[errors.Issue]
) -> None:
    """Report unknown dependencies, dependency cycles and repeated routes."""
    for name, service in model.services.items():
        for index, required in enumerate(service.depends_on if service else ()):
            location = ["services", name, "depends_on", index]
            if required not in model.services:
                issues.append(
                    _issue_at(
                        _find_node(root, location),
                        f"service {name} depends on unknown service {required}",
                    )
                )
    for cycle in _find_cycles(model):
        node = _find_node(root, ["services", cycle[0], "depends_on"])
        chain = " -> ".join([*cycle, cycle[0]])
        issues.append(
            _issue_at(
                node,
                f"dependency cycle {chain}: calls would hold slots of each "
                "other and could all wait for ever",
            )
        )
    for name, service in model.services.items():
        _check_routes(name, service, root, issues)


def _check_routes(
    name: str,
    service: ServiceText | None,
    root: yaml.Node,
    issues: list[errors.Issue],
) -> None:
    """Report routes of a service with the same path and method."""
    seen: set[tuple[str, str]] = set()
    for index, route in enumerate(service.routes if service else ()):
        for method in route.methods or ["any method"]:
            if (route.path, method) in seen:
                location = ["services", name, "routes", index]
                issues.append(
                    _issue_at(
                        _find_node(root, location),
                        f"service {name} has {method} {route.path} twice",
                    )
                )
            seen.add((route.path, method))


def _find_cycles(model: MeshText) -> list[list[str]]:
    """Return a cycle for each back edge of a depth-first search."""
    done: set[str] = set()
    cycles = []
    for start in model.services:
        path: list[str] = []
        on_path: set[str] = set()
        stack: list[tuple[str, bool]] = [(start, True)]
        while stack:
            name, entering = stack.pop()
            if not entering:
                path.pop()
                on_path.discard(name)
                done.add(name)
                continue
            if name in on_path:
                cycles.append(path[path.index(name) :])
                continue
            if name in done or name not in model.services:
                continue
            path.append(name)
            on_path.add(name)
            stack.append((name, False))
            service = model.services[name]
            for required in service.depends_on if service else ():
                stack.append((required, True))
    return cycles


def _to_service(name: str, text: ServiceText) -> catalog.Service:
    routes: list[catalog.Route] = []
    for route in text.routes:
        routes += route.to_routes()
    return catalog.Service(
        name=name, depends_on=tuple(text.depends_on), routes=tuple(routes)
    )


def _issue_at(node: yaml.Node, message: str) -> errors.Issue:
    return errors.Issue(
        location=f"line {node.start_mark.line + 1}", message=message
    )


def _line_error(line: int, message: str) -> errors.OperatorTextError:
    issue = errors.Issue(location=f"line {line}", message=message)
    return errors.OperatorTextError(issues=[issue])


def _sorted_by_line(issues: list[errors.Issue]) -> list[errors.Issue]:
    return sorted(issues, key=lambda issue: int(issue.location.split()[1]))
