"""Models of the sections of the settings file."""

import ipaddress
import pathlib
from typing import Annotated
from typing import Any

import pydantic

_Name = Annotated[
    str,
    pydantic.StringConstraints(
        pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$"
    ),
]
_HeaderName = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[A-Za-z0-9-]*$", to_lower=True)
]
_Scheme = Annotated[str, pydantic.StringConstraints(pattern=r"^[A-Za-z0-9-]*$")]
_Port = Annotated[int, pydantic.Field(ge=0, le=65535)]
_SECRET_MIN_CHARS = 16


class HostPort(pydantic.BaseModel):
    """An IP address and a port, written as "127.0.0.1:8080"."""

    model_config = pydantic.ConfigDict(frozen=True)

    host: str
    port: _Port

    @classmethod
    def parse(cls, text: str) -> "HostPort":
        """Parse an address.

        Args:
            text: Such as "127.0.0.1:8080" or "[::1]:8080".

        Returns:
            The address.

        Raises:
            ValueError: The text is not an IP address and a port.
        """
        host, separator, port = text.strip().rpartition(":")
        if not separator or not port.isdigit():
            raise ValueError("write an IP address and a port: 127.0.0.1:8080")
        host = host.strip("[]")
        ipaddress.ip_address(host)
        return cls(host=host, port=int(port))


class Section(pydantic.BaseModel):
    """Base class of all sections; unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


def _parse_address(value: Any) -> Any:
    return HostPort.parse(value) if isinstance(value, str) else value


_Address = Annotated[HostPort, pydantic.BeforeValidator(_parse_address)]


class NodeSection(Section):
    """[node]: identity and location of this node."""

    instance: _Name
    data_centre: _Name
    region: _Name


def _parse_addresses(value: Any) -> Any:
    if not isinstance(value, str):
        return value
    return tuple(HostPort.parse(text) for text in value.split())


_Addresses = Annotated[
    tuple[HostPort, ...], pydantic.BeforeValidator(_parse_addresses)
]


class ListenSection(Section):
    """[listen]: addresses to listen on; `peers` is for TCP and UDP.

    A node without addresses for callers does not route calls.
    """

    callers: _Addresses = ()
    operators: _Addresses
    peers: _Address
    http2: bool = True


class SeedLine(Section):
    """One line of [mesh] seeds: instance, address, data centre, region.

    If all data centres share one member table (`flat`), a line may list only
    addresses; the instances of these seeds are named after their IP address.
    """

    instance: _Name
    address: HostPort
    data_centre: str = ""
    region: str = ""


def _parse_seeds(value: Any) -> Any:
    if not isinstance(value, str):
        return value
    seeds = []
    for line in value.splitlines():
        if not line.strip():
            continue
        parts = line.split()
        if all(":" in part for part in parts):
            seeds += [_seed_from_address(part) for part in parts]
            continue
        if len(parts) != 4:
            raise ValueError(
                f"seed {line.strip()!r}: write "
                "'instance address data_centre region'"
            )
        seeds.append(
            SeedLine(
                instance=parts[0],
                address=HostPort.parse(parts[1]),
                data_centre=parts[2],
                region=parts[3],
            )
        )
    return tuple(seeds)


def _seed_from_address(text: str) -> SeedLine:
    address = HostPort.parse(text)
    return SeedLine(instance=address.host, address=address)


def _parse_names(value: Any) -> Any:
    return tuple(value.split()) if isinstance(value, str) else value


class MeshSection(Section):
    """[mesh]: the mesh that the node joins, and its seed nodes.

    Attributes:
        name: Name of the mesh.
        secret: Secret that all nodes of the mesh share.
        seeds: Nodes known in advance, in any data centre.
        seeds_port: Port of all seeds; 0 for the port in each address.
        flat: Whether all data centres share one member table.
    """

    name: _Name
    secret: Annotated[
        pydantic.SecretStr,
        pydantic.Field(min_length=_SECRET_MIN_CHARS, max_length=256),
    ]
    seeds: Annotated[
        tuple[SeedLine, ...], pydantic.BeforeValidator(_parse_seeds)
    ] = ()
    seeds_port: _Port = 0
    flat: bool = False


class ControlSection(Section):
    """[control]: the control group.

    Attributes:
        bootstrap_voters: Instances that form the group at first.
        bootstrap_by_seeds: Whether seeds form it instead.
        losses: Number n of disks whose loss the group tolerates with its
            2n + 1 voters; None keeps the number of bootstrap voters.
        voter_replace_s: Silence after which a voter is replaced.
    """

    bootstrap_voters: Annotated[
        tuple[_Name, ...], pydantic.BeforeValidator(_parse_names)
    ] = ()
    bootstrap_by_seeds: bool = False
    losses: Annotated[int, pydantic.Field(ge=0, le=4)] | None = None
    voter_replace_s: Annotated[float, pydantic.Field(ge=2, le=86400)] = 30.0


class DiskSection(Section):
    """[disk]: the data folder; nodes without a disk omit the section."""

    folder: pathlib.Path


class OperatorsSection(Section):
    """[operators]: token that operators must present, if one is set."""

    token: pydantic.SecretStr | None = None


class UpstreamSection(Section):
    """[upstream]: the instance's own upstream.

    Attributes:
        host: Address of the upstream.
        connections: Maximum number of connections to it.
        service: Service of the upstream before it announces itself.
        silence_s: Time without an announcement after which the upstream is
            withdrawn; 0 for upstreams that announce themselves once.
    """

    host: str = "127.0.0.1"
    connections: Annotated[int, pydantic.Field(ge=1, le=10000)] = 120
    service: str = ""
    silence_s: Annotated[float, pydantic.Field(ge=0, le=3600)] = 0.0


class RetriesSection(Section):
    """[retries]: retry budget of each service, shared by all nodes.

    Attributes:
        ratio: Retries per call.
        slack: Retries allowed in addition to those of the ratio.
    """

    ratio: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.1
    slack: Annotated[float, pydantic.Field(ge=0, le=1e6)] = 20.0


class QuotasSection(Section):
    """[quotas]: limits of workspaces; the same on all nodes.

    Attributes:
        wait_s: Longest wait of a call for a token of its workspace.
        slack_ratio: Part of the limit of 5 s by which it may be exceeded.
        slack_tokens: Requests by which it may be exceeded in addition.
    """

    wait_s: Annotated[float, pydantic.Field(ge=0, le=60)] = 2.0
    slack_ratio: Annotated[float, pydantic.Field(ge=0, le=10)] = 0.1
    slack_tokens: Annotated[float, pydantic.Field(ge=2, le=1e6)] = 20.0


class RolloutsSection(Section):
    """[rollouts]: what a new version may cost before its verdict.

    Attributes:
        exposed_share: Share of a service's calls that the version may get.
        exposed_slack: Calls that it may get in addition, over all nodes.
        rollback_s: Time from a bad version's bad answers to its last call.
    """

    exposed_share: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.1
    exposed_slack: Annotated[float, pydantic.Field(ge=0, le=1e6)] = 50.0
    rollback_s: Annotated[float, pydantic.Field(gt=0, le=3600)] = 5.0


class RoutingSection(Section):
    """[routing]: how upstreams are chosen.

    Attributes:
        even_load: Whether load is spread by estimated occupancy and turns. All
            nodes of a mesh should use the same value.
    """

    even_load: bool = False


class HeadersSection(Section):
    """[headers]: names of the HTTP headers; see `HeaderNames`.

    A header with an empty name is not used.
    """

    timeout_ms: _HeaderName = "monsoonpass-timeout-ms"
    call_id: _HeaderName = ""
    upstream_id: _HeaderName = ""
    not_run: _HeaderName = ""
    caller_service: _HeaderName = ""
    proof: _HeaderName = ""
    retry_after_decimals: Annotated[int, pydantic.Field(ge=0, le=3)] = 0
    workspace_key: _HeaderName = "authorization"
    workspace_key_scheme: _Scheme = "Token"
    workspace: _HeaderName = ""


class LimitsSection(Section):
    """[limits]: bounds on calls, links, and the time of a stop.

    Attributes:
        queue: Calls that may wait for a slot of this node's upstream.
        calls: Calls that may be in progress through this node.
        peer_links: Number of open links from which further ones are refused.
        drain_s: Maximum drain time of a planned stop.
        kill_s: Time after which the platform kills a stopping process; 0 if
            it does not.
        stop_after_s: Time for which a stopping node still serves callers.
        link_mbit_s: Bandwidth of the instance's link; 0 if not known.
        memory_mb: Memory of the instance for this process; 0 if not known.
            The limits on callers are derived from it.
        caller_connections: Open connections of callers from which further
            ones are refused; 0 to derive it.
        caller_buffer_kb: Bytes received from callers and not passed on, in
            KiB, from which unfinished bodies are refused; 0 to derive it.
    """

    queue: Annotated[int, pydantic.Field(ge=0, le=100000)] = 256
    calls: Annotated[int, pydantic.Field(ge=1, le=100000)] = 2048
    peer_links: Annotated[int, pydantic.Field(ge=1, le=100000)] = 4096
    drain_s: Annotated[float, pydantic.Field(ge=0, le=3600)] = 30.0
    kill_s: Annotated[float, pydantic.Field(ge=0, le=3600)] = 0.0
    stop_after_s: Annotated[float, pydantic.Field(ge=0, le=3600)] = 0.0
    link_mbit_s: Annotated[float, pydantic.Field(ge=0, le=1e6)] = 0.0
    memory_mb: Annotated[float, pydantic.Field(ge=0, le=1e7)] = 0.0
    caller_connections: Annotated[int, pydantic.Field(ge=0, le=1000000)] = 0
    caller_buffer_kb: Annotated[int, pydantic.Field(ge=0, le=10**9)] = 0


class TelemetrySection(Section):
    """[telemetry]: logs and traces.

    The file name "-" is the standard output; an empty one disables the output.
    """

    log_file: str = "-"
    trace_file: str = ""
    trace_ratio: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.01
