"""The daemon's settings: an INI file, checked as a whole."""

import configparser
import ipaddress
import pathlib
from typing import Annotated
from typing import Any

import pydantic

from monsoonpass import errors
from monsoonpass.border import header_names
from monsoonpass.core import address as address_lib
from monsoonpass.core import node

Name = Annotated[
    str,
    pydantic.StringConstraints(
        pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$"
    ),
]
Header = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[A-Za-z0-9-]*$", to_lower=True)
]
Port = Annotated[int, pydantic.Field(ge=0, le=65535)]
_SECRET_MIN_CHARS = 16
KILL_MARGIN_S = 0.8  # Time to close everything before the process is killed.


class HostPort(pydantic.BaseModel):
    """An IP number and a port, written as "127.0.0.1:8080"."""

    model_config = pydantic.ConfigDict(frozen=True)

    host: str
    port: Port

    @classmethod
    def parse(cls, text: str) -> "HostPort":
        """Read an address.

        Args:
            text: Such as "127.0.0.1:8080" or "[::1]:8080".

        Returns:
            The address.

        Raises:
            ValueError: The text is not an IP number and a port.
        """
        host, separator, port = text.strip().rpartition(":")
        if not separator or not port.isdigit():
            raise ValueError("write an IP number and a port: 127.0.0.1:8080")
        host = host.strip("[]")
        ipaddress.ip_address(host)
        return cls(host=host, port=int(port))


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


def _parse_address(value: Any) -> Any:
    return HostPort.parse(value) if isinstance(value, str) else value


_Address = Annotated[HostPort, pydantic.BeforeValidator(_parse_address)]


class NodeSection(_Section):
    """[node]: who this node is."""

    instance: Name
    data_centre: Name
    region: Name


def _parse_addresses(value: Any) -> Any:
    if not isinstance(value, str):
        return value
    return tuple(HostPort.parse(text) for text in value.split())


_Addresses = Annotated[
    tuple[HostPort, ...], pydantic.BeforeValidator(_parse_addresses)
]


class ListenSection(_Section):
    """[listen]: where it listens; the peers' port is for TCP and UDP.

    Without callers' addresses, the node passes no calls on.
    """

    callers: _Addresses = ()
    operators: _Addresses
    peers: _Address
    http2: bool = True


class SeedLine(_Section):
    """One line of [mesh] seeds: instance, address, data centre, region.

    With one table for all data centres an address is enough, alone or in a
    line of several; the instance then bears the name of its IP number.
    """

    instance: Name
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
            seeds += [_bare_seed(part) for part in parts]
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


def _bare_seed(text: str) -> SeedLine:
    address = HostPort.parse(text)
    return SeedLine(instance=address.host, address=address)


def _parse_names(value: Any) -> Any:
    return tuple(value.split()) if isinstance(value, str) else value


class MeshSection(_Section):
    """[mesh]: which mesh it belongs to, and how to find it."""

    name: Name
    secret: Annotated[
        pydantic.SecretStr,
        pydantic.Field(min_length=_SECRET_MIN_CHARS, max_length=256),
    ]
    seeds: Annotated[
        tuple[SeedLine, ...], pydantic.BeforeValidator(_parse_seeds)
    ] = ()
    seeds_port: Port = 0
    flat: bool = False


class ControlSection(_Section):
    """[control]: the control group.

    A group that must bear the loss of some disks has twice as many voters
    and one more. Without named voters, the seeds found it, if allowed to.
    """

    bootstrap_voters: Annotated[
        tuple[Name, ...], pydantic.BeforeValidator(_parse_names)
    ] = ()
    bootstrap_by_seeds: bool = False
    losses: Annotated[int, pydantic.Field(ge=0, le=4)] | None = None
    voter_replace_s: Annotated[float, pydantic.Field(ge=2, le=86400)] = 30.0


class DiskSection(_Section):
    """[disk]: the data folder; leave the section out without a disk."""

    folder: pathlib.Path


class OperatorsSection(_Section):
    """[operators]: who may submit; without a token, anyone who connects."""

    token: pydantic.SecretStr | None = None


class UpstreamSection(_Section):
    """[upstream]: the instance's own upstream.

    With a silence, an upstream repeats its announcement, and one that is
    not heard for so long is withdrawn.
    """

    host: str = "127.0.0.1"
    connections: Annotated[int, pydantic.Field(ge=1, le=10000)] = 120
    service: str = ""
    silence_s: Annotated[float, pydantic.Field(ge=0, le=3600)] = 0.0


class RetriesSection(_Section):
    """[retries]: second tries of a service, over all nodes together."""

    ratio: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.1
    slack: Annotated[float, pydantic.Field(ge=0, le=1e6)] = 20.0
    window_s: Annotated[float, pydantic.Field(gt=0, le=3600)] = 10.0


class HeadersSection(_Section):
    """[headers]: names of the headers between callers, nodes and upstreams.

    An empty name stands for a header that is not used.
    """

    timeout_ms: Header = "monsoonpass-timeout-ms"
    call_id: Header = ""
    upstream_id: Header = ""
    not_run: Header = ""
    caller_service: Header = ""
    proof: Header = ""
    retry_after_decimals: Annotated[int, pydantic.Field(ge=0, le=3)] = 0


class LimitsSection(_Section):
    """[limits]: bounds of queues and of what callers may ask."""

    queue: Annotated[int, pydantic.Field(ge=0, le=100000)] = 256
    calls: Annotated[int, pydantic.Field(ge=1, le=100000)] = 2048
    peer_links: Annotated[int, pydantic.Field(ge=1, le=100000)] = 4096
    drain_s: Annotated[float, pydantic.Field(ge=0, le=3600)] = 30.0
    kill_s: Annotated[float, pydantic.Field(ge=0, le=3600)] = 0.0
    stop_after_s: Annotated[float, pydantic.Field(ge=0, le=3600)] = 0.0


class TelemetrySection(_Section):
    """[telemetry]: logs and traces; empty names write nothing."""

    log_file: str = ""
    trace_file: str = ""
    trace_ratio: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.01


class Settings(_Section):
    """All settings of a daemon."""

    node: NodeSection
    listen: ListenSection
    mesh: MeshSection
    control: ControlSection
    disk: DiskSection | None = None
    operators: OperatorsSection = OperatorsSection()
    upstream: UpstreamSection = UpstreamSection()
    limits: LimitsSection = LimitsSection()
    telemetry: TelemetrySection = TelemetrySection()
    retries: RetriesSection = RetriesSection()
    headers: HeadersSection = HeadersSection()

    @property
    def drain_limit_s(self) -> float:
        """Longest time that a planned stop waits, short of being killed."""
        limits = self.limits
        if not limits.kill_s:
            return limits.drain_s
        return min(limits.drain_s, limits.kill_s - KILL_MARGIN_S)

    @property
    def header_names(self) -> header_names.HeaderNames:
        """The names of headers, as bytes."""
        told = self.headers
        return header_names.HeaderNames(
            timeout_ms=told.timeout_ms.encode(),
            call_id=told.call_id.encode(),
            upstream_id=told.upstream_id.encode(),
            not_run=told.not_run.encode(),
            caller_service=told.caller_service.encode(),
            proof=told.proof.encode(),
            retry_after_decimals=told.retry_after_decimals,
        )

    @property
    def seeds(self) -> tuple[node.Seed, ...]:
        """The seeds, at the peers' port if only another one is known."""
        port = self.mesh.seeds_port
        return tuple(_core_seed(seed, port) for seed in self.mesh.seeds)

    @property
    def bootstrap_voters(self) -> tuple[str, ...]:
        """The instances that found the control group."""
        if not self.control.bootstrap_by_seeds:
            return self.control.bootstrap_voters
        names = sorted(seed.instance for seed in self.mesh.seeds)
        odd = len(names) - (len(names) + 1) % 2
        return tuple(names[: min(odd, self.voters or odd)])

    @property
    def voters(self) -> int:
        """Voters that the control group should have; 0 if not told."""
        losses = self.control.losses
        return 0 if losses is None else 2 * losses + 1

    def core_settings(self) -> node.Settings:
        """Return the part that the reducer needs."""
        return node.Settings(
            address=address_lib.Address(
                instance=self.node.instance,
                host=self.listen.peers.host,
                port=self.listen.peers.port,
            ),
            data_centre=self.node.data_centre,
            region=self.node.region,
            has_disk=self.disk is not None,
            seeds=self.seeds,
            bootstrap_voters=self.bootstrap_voters,
            voter_replace_s=self.control.voter_replace_s,
            queue_limit=self.limits.queue,
            calls_limit=self.limits.calls,
            drain_limit_s=self.drain_limit_s,
            stop_after_s=self.limits.stop_after_s,
            flat=self.mesh.flat,
            voters=self.voters,
            copies_min=(self.control.losses or 0) + 1,
            service=self.upstream.service,
            retry_ratio=self.retries.ratio,
            retry_slack=self.retries.slack,
            retry_window_s=self.retries.window_s,
            silence_s=self.upstream.silence_s,
        )


def load(path: str | pathlib.Path) -> Settings:
    """Read and check a settings file.

    Args:
        path: The INI file.

    Returns:
        The settings.

    Raises:
        SettingsError: One issue for each fault found.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise _error(str(path), str(error)) from error
    return parse(text)


def parse(text: str) -> Settings:
    """Check the text of a settings file.

    Args:
        text: INI text.

    Returns:
        The settings.

    Raises:
        SettingsError: One issue for each fault found.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        message = " ".join(str(error).split())
        raise _error("settings", message) from error
    sections = {
        name: dict(parser.items(name, raw=True)) for name in parser.sections()
    }
    try:
        settings = Settings.model_validate(sections)
    except pydantic.ValidationError as error:
        issues = [_issue(detail, sections) for detail in error.errors()]
        raise errors.SettingsError(issues=issues) from error
    _check_across(settings)
    return settings


def _check_across(settings: Settings) -> None:
    """Check what involves more than one section."""
    issues = []
    known = {seed.instance for seed in settings.mesh.seeds}
    known.add(settings.node.instance)
    for name in settings.control.bootstrap_voters:
        if name not in known:
            issues.append(
                errors.Issue(
                    place="[control] bootstrap_voters",
                    message=f"{name} is neither this node nor a seed",
                )
            )
    own = settings.node.instance
    if own in settings.bootstrap_voters and settings.disk is None:
        issues.append(
            errors.Issue(
                place="[disk] folder",
                message="a bootstrap voter needs a data folder",
            )
        )
    if issues:
        raise errors.SettingsError(issues=issues)


def _issue(detail: Any, sections: dict[str, dict[str, str]]) -> errors.Issue:
    section = str(detail["loc"][0]) if detail["loc"] else "settings"
    key = str(detail["loc"][1]) if len(detail["loc"]) > 1 else ""
    place = f"[{section}] {key}".strip()
    message = detail["msg"]
    value = sections.get(section, {}).get(key)
    if value is not None and key not in ("secret", "token"):
        message = f"{message} (found {value!r})"
    return errors.Issue(place=place, message=message)


def _core_seed(seed: SeedLine, port: int) -> node.Seed:
    return node.Seed(
        address=address_lib.Address(
            instance=seed.instance,
            host=seed.address.host,
            port=port or seed.address.port,
        ),
        data_centre=seed.data_centre,
        region=seed.region,
    )


def _error(place: str, message: str) -> errors.SettingsError:
    return errors.SettingsError(
        issues=[errors.Issue(place=place, message=message)]
    )
