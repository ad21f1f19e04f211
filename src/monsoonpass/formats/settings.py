"""Parsing and validation of the daemon's INI settings file."""

import configparser
import pathlib
from typing import Any

import pydantic

from monsoonpass import errors
from monsoonpass.core import address as address_lib
from monsoonpass.core import node
from monsoonpass.core.quotas import limits
from monsoonpass.formats import header_names
from monsoonpass.formats import settings_sections as sections

# Time to close connections before the platform kills the process.
KILL_MARGIN_S = 0.8


class Settings(sections.Section):
    """The settings of a daemon, one attribute for each section."""

    node: sections.NodeSection
    listen: sections.ListenSection
    mesh: sections.MeshSection
    control: sections.ControlSection
    disk: sections.DiskSection | None = None
    operators: sections.OperatorsSection = sections.OperatorsSection()
    upstream: sections.UpstreamSection = sections.UpstreamSection()
    limits: sections.LimitsSection = sections.LimitsSection()
    telemetry: sections.TelemetrySection = sections.TelemetrySection()
    retries: sections.RetriesSection = sections.RetriesSection()
    rollouts: sections.RolloutsSection = sections.RolloutsSection()
    headers: sections.HeadersSection = sections.HeadersSection()
    quotas: sections.QuotasSection = sections.QuotasSection()
    routing: sections.RoutingSection = sections.RoutingSection()

    @property
    def drain_limit_s(self) -> float:
        """Maximum drain time.

        It ends `KILL_MARGIN_S` or more before the platform kills the process.
        """
        limits = self.limits
        if not limits.kill_s:
            return limits.drain_s
        return min(limits.drain_s, limits.kill_s - KILL_MARGIN_S)

    @property
    def header_names(self) -> header_names.HeaderNames:
        """The names of the HTTP headers, as bytes."""
        headers = self.headers
        return header_names.HeaderNames(
            timeout_ms=headers.timeout_ms.encode(),
            call_id=headers.call_id.encode(),
            upstream_id=headers.upstream_id.encode(),
            not_run=headers.not_run.encode(),
            caller_service=headers.caller_service.encode(),
            proof=headers.proof.encode(),
            retry_after_decimals=headers.retry_after_decimals,
            workspace_key=headers.workspace_key.encode(),
            workspace_key_scheme=headers.workspace_key_scheme.encode(),
            workspace=headers.workspace.encode(),
        )

    @property
    def seeds(self) -> tuple[node.Seed, ...]:
        """The seed nodes, all on `seeds_port` if it is set."""
        port = self.mesh.seeds_port
        return tuple(_to_seed(seed, port) for seed in self.mesh.seeds)

    @property
    def bootstrap_voters(self) -> tuple[str, ...]:
        """The instances that bootstrap the control group.

        With `bootstrap_by_seeds`, these are the first seeds by name: an odd
        number of them, at most `voters` if that is set.
        """
        if not self.control.bootstrap_by_seeds:
            return self.control.bootstrap_voters
        names = sorted(seed.instance for seed in self.mesh.seeds)
        odd_count = len(names) - (len(names) + 1) % 2
        return tuple(names[: min(odd_count, self.voters or odd_count)])

    @property
    def voters(self) -> int:
        """Target number of voters in the control group; 0 if not set."""
        losses = self.control.losses
        return 0 if losses is None else 2 * losses + 1

    def reducer_settings(self) -> node.Settings:
        """Return the settings that the reducer needs."""
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
            silence_s=self.upstream.silence_s,
            quota_wait_s=self.quotas.wait_s,
            quota_slack=limits.Slack(
                ratio=self.quotas.slack_ratio, tokens=self.quotas.slack_tokens
            ),
            exposed_share=self.rollouts.exposed_share,
            exposed_slack=self.rollouts.exposed_slack,
            rollback_s=self.rollouts.rollback_s,
            even_load=self.routing.even_load,
        )


def load(path: str | pathlib.Path) -> Settings:
    """Read and validate a settings file.

    Args:
        path: Path of the INI file.

    Returns:
        The settings.

    Raises:
        SettingsError: One issue for each fault found.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise _settings_error(str(path), str(error)) from error
    return parse(text)


def parse(text: str) -> Settings:
    """Parse and validate the text of a settings file.

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
        raise _settings_error("settings", message) from error
    raw_sections = {
        name: dict(parser.items(name, raw=True)) for name in parser.sections()
    }
    try:
        settings = Settings.model_validate(raw_sections)
    except pydantic.ValidationError as error:
        issues = [_issue(fault, raw_sections) for fault in error.errors()]
        raise errors.SettingsError(issues=issues) from error
    _check_consistency(settings)
    return settings


def _check_consistency(settings: Settings) -> None:
    """Check the constraints between sections."""
    issues = []
    known_instances = {seed.instance for seed in settings.mesh.seeds}
    known_instances.add(settings.node.instance)
    for name in settings.control.bootstrap_voters:
        if name not in known_instances:
            issues.append(
                errors.Issue(
                    location="[control] bootstrap_voters",
                    message=f"{name} is neither this node nor a seed",
                )
            )
    own_instance = settings.node.instance
    if own_instance in settings.bootstrap_voters and settings.disk is None:
        issues.append(
            errors.Issue(
                location="[disk] folder",
                message="a bootstrap voter needs a data folder",
            )
        )
    if issues:
        raise errors.SettingsError(issues=issues)


def _issue(fault: Any, raw_sections: dict[str, dict[str, str]]) -> errors.Issue:
    section = str(fault["loc"][0]) if fault["loc"] else "settings"
    key = str(fault["loc"][1]) if len(fault["loc"]) > 1 else ""
    location = f"[{section}] {key}".strip()
    message = fault["msg"]
    value = raw_sections.get(section, {}).get(key)
    if value is not None and key not in ("secret", "token"):
        message = f"{message} (found {value!r})"
    return errors.Issue(location=location, message=message)


def _to_seed(seed: sections.SeedLine, port: int) -> node.Seed:
    return node.Seed(
        address=address_lib.Address(
            instance=seed.instance,
            host=seed.address.host,
            port=port or seed.address.port,
        ),
        data_centre=seed.data_centre,
        region=seed.region,
    )


def _settings_error(location: str, message: str) -> errors.SettingsError:
    return errors.SettingsError(
        issues=[errors.Issue(location=location, message=message)]
    )
