"""Text output of the command-line tool."""

from monsoonpass.cli import client as client_lib
from monsoonpass.formats import operator_models as models

_STATUS_MEANINGS = {
    "accepted": "a majority of voters has synced it",
    "superseded": "it was accepted before; a later version is in force",
    "conflict": "this version number was accepted with other content",
    "not-increasing": "a later version is accepted already",
    "invalid": "the text has faults; nothing was changed",
    "busy": "too many submissions wait; not accepted, try again",
    "unavailable": "no quorum could be reached; not accepted",
    "unconfirmed": "no answer in time; submit the same text again",
    "unauthorized": "the node wants a token (--token_file)",
}


def submission_line(version: int, result: client_lib.SubmitAnswer) -> str:
    """Return a line that describes the result of a submission."""
    meaning = _STATUS_MEANINGS.get(result.status, "")
    line = f"version {version}: {result.status}: {meaning}"
    if result.version and result.version != version:
        line += f" (last accepted: {result.version})"
    return line


def count_updated(status: models.StatusView, version: int) -> tuple[int, int]:
    """Return the number of nodes with at least a version, and of all nodes."""
    updated = sum(
        count.nodes
        for place in status.places
        for count in place.counts
        if count.version >= version
    )
    return updated, sum(place.members for place in status.places)


def status_table(view: models.StatusView) -> str:
    """Return a table of the versions in force."""
    voters = ", ".join(view.voters) or "unknown"
    lines = [
        f"control group: leader {view.leader or 'unknown'}, voters {voters}"
    ]
    for place in view.places:
        counts = ", ".join(
            f"version {count.version} on {count.nodes}"
            for count in place.counts
        )
        lines.append(
            f"{place.data_centre}: {place.answered} of {place.members} "
            f"nodes answered: {counts}"
        )
        for member in place.laggards:
            if member.version < 0:
                lines.append(f"  {member.instance}: no answer")
            else:
                lines.append(
                    f"  {member.instance}: version {member.version} "
                    f"for {member.for_s:.1f} s"
                )
    for name in view.missing:
        lines.append(f"{name}: no answer")
    return "\n".join(lines)


def change_lines(
    current: models.ConfigView, wanted: models.ConfigView
) -> list[str]:
    """Return a line for each service that differs."""
    lines = []
    for name in sorted({*current.services, *wanted.services}):
        old = current.services.get(name)
        new = wanted.services.get(name)
        if old == new:
            continue
        if old is None:
            lines.append(f"+ {name}")
        elif new is None:
            lines.append(f"- {name}")
        else:
            lines.append(f"~ {name}: {_difference(old, new)}")
    return lines or ["no service differs"]


def route_properties(
    version: int, service: str, route: models.RouteView
) -> str:
    """Return the properties of a route, one on each line."""
    methods = ", ".join(route.methods) or "any"
    resend_text = (
        "may be sent again" if route.idempotent else "never sent twice"
    )
    return "\n".join(
        (
            f"version {version}: service {service}, path {route.path}, "
            f"methods {methods}",
            f"  idempotent: {route.idempotent} ({resend_text})",
            f"  priority: {route.priority}",
            f"  deadline: {route.deadline_s} s",
            f"  size: {route.size}",
        )
    )


def _difference(old: models.ServiceView, new: models.ServiceView) -> str:
    differences = []
    if old.depends_on != new.depends_on:
        differences.append(
            f"depends on {', '.join(new.depends_on) or 'nothing'}"
        )
    old_routes = {route.model_dump_json() for route in old.routes}
    new_routes = {route.model_dump_json() for route in new.routes}
    added = len(new_routes - old_routes)
    removed = len(old_routes - new_routes)
    if added or removed:
        differences.append(f"{added} routes new, {removed} gone")
    return "; ".join(differences) or "order of routes"
