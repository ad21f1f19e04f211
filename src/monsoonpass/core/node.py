"""The state of one node, with a part for each subpackage, and its settings."""

import collections
import dataclasses
from typing import Any

from monsoonpass import immutable
from monsoonpass.core import address as address_lib
from monsoonpass.core.agreement import control_state_machine
from monsoonpass.core.agreement import replica as replica_lib
from monsoonpass.core.agreement import write_barrier
from monsoonpass.core.calls import admission as admission_lib
from monsoonpass.core.calls import routing_table
from monsoonpass.core.distribution import catalog as catalog_lib
from monsoonpass.core.membership import leave_notice as notice_lib
from monsoonpass.core.membership import member as member_lib
from monsoonpass.core.membership import member_table
from monsoonpass.core.membership import own_upstream_state as upstream_lib
from monsoonpass.core.quotas import limits as limits_lib
from monsoonpass.core.quotas import quota_state as quota_state_lib
from monsoonpass.core.rollouts import rollout_state


@immutable.dataclass
class Seed:
    """A node listed in the settings, for joining the mesh.

    Attributes:
        address: Where the node listens for its peers.
        data_centre: Data centre of the node.
        region: Region of that data centre.
    """

    address: address_lib.Address
    data_centre: str
    region: str


@immutable.dataclass
class Settings:
    """The settings that the reducer uses.

    Attributes:
        address: Where this node listens for its peers.
        data_centre: Data centre of this node.
        region: Region of that data centre.
        has_disk: Whether this node has a data folder.
        seeds: Nodes listed in the settings, in any data centre.
        bootstrap_voters: Instances that form the initial control group.
        voter_replace_s: Silence after which a voter is replaced.
        queue_limit: Maximum number of calls that wait for a slot of the own
            upstream.
        calls_limit: Maximum number of calls in progress through this node.
        drain_limit_s: Longest time that a planned stop waits for calls.
        stop_after_s: Time for which a stopping node still serves callers.
        flat: Whether all data centres share one member table.
        voters: Desired number of voters of the control group; 0 for the
            number of bootstrap voters.
        copies_min: Number of disks that must hold a version before it is
            accepted.
        service: Service of the own upstream until it announces itself.
        retry_ratio: Retries per call of a service, over all nodes.
        retry_slack: Retries of a service in addition to the ratio, over all
            nodes.
        silence_s: Silence after which an announced upstream is withdrawn;
            0 for upstreams that announce themselves only once.
        quota_wait_s: Longest wait of a call for a token of its workspace.
        quota_slack: How far workspaces may exceed their limits.
        exposed_share: Share of a service's calls that a rollout's target may
            get before the verdict.
        exposed_slack: Calls that it may get in addition, over all nodes.
        rollback_s: Time from the bad answers of a version to its last call.
        even_load: Whether calls are placed by `calls.even_placement`.
    """

    address: address_lib.Address
    data_centre: str
    region: str
    has_disk: bool
    seeds: tuple[Seed, ...]
    bootstrap_voters: tuple[str, ...]
    voter_replace_s: float = 30.0
    queue_limit: int = 256
    calls_limit: int = 2048
    drain_limit_s: float = 30.0
    stop_after_s: float = 0.0
    flat: bool = False
    voters: int = 0
    copies_min: int = 1
    service: str = ""
    retry_ratio: float = 0.1
    retry_slack: float = 20.0
    silence_s: float = 0.0
    quota_wait_s: float = 2.0
    quota_slack: limits_lib.Slack = limits_lib.Slack()
    exposed_share: float = 0.1
    exposed_slack: float = 50.0
    rollback_s: float = 5.0
    even_load: bool = False

    def covers(self, data_centre: str) -> bool:
        """Return whether the member table includes a data centre."""
        return self.flat or data_centre == self.data_centre

    @property
    def local_seeds(self) -> tuple[Seed, ...]:
        """Seeds that belong in the member table, except this node."""
        return tuple(
            seed
            for seed in self.seeds
            if self.covers(seed.data_centre)
            and seed.address.instance != self.address.instance
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class Membership:
    """Membership state: the member table, probes and gossip.

    Attributes:
        own_record: Member record of this node.
        table: Records of all members, including this node.
        updates: Records to gossip, by instance: the record and the number of
            transmissions left.
        first_incarnation: Incarnation of this node's record at startup.
        probes: Unanswered probes, by number.
        probe_number: Number of the last probe.
        probe_order: Members still to be probed in this round.
        probe_periods: Number of probe periods so far; every few periods, the
            probe goes to another data centre.
        probe_outcomes: Whether each of the last few probes was answered.
        joined: Whether the table has been synchronised with a seed.
        join_attempts: Number of attempts to synchronise with a seed.
        gossip_timer_set: Whether the gossip timer is running.
        digest_mismatches: Number of messages in a row whose table digest
            differed from that of the own table.
        partitioned: Whether a network partition is suspected.
        deferred_suspects: Suspects that were not declared dead because of a
            suspected partition.
        notices: Notices of leaving of other nodes' upstreams, by instance.
    """

    own_record: member_lib.Member | None = None
    table: member_table.MemberTable = dataclasses.field(
        default_factory=member_table.MemberTable
    )
    updates: dict[str, list[Any]] = dataclasses.field(default_factory=dict)
    first_incarnation: int = 0
    probes: dict[int, Any] = dataclasses.field(default_factory=dict)
    probe_number: int = 0
    probe_order: list[str] = dataclasses.field(default_factory=list)
    probe_periods: int = 0
    probe_outcomes: collections.deque[bool] = dataclasses.field(
        default_factory=collections.deque
    )
    joined: bool = False
    join_attempts: int = 0
    gossip_timer_set: bool = False
    digest_mismatches: int = 0
    partitioned: bool = False
    deferred_suspects: set[str] = dataclasses.field(default_factory=set)
    notices: dict[str, notice_lib.LeaveNotices] = dataclasses.field(
        default_factory=dict
    )

    @property
    def alive_others(self) -> list[member_lib.Member]:
        """The other members that are alive and not suspected."""
        return self._others(self.table.alive())

    @property
    def present_others(self) -> list[member_lib.Member]:
        """The other members that are alive or suspected."""
        return self._others(self.table.present())

    @property
    def alive_neighbours(self) -> list[member_lib.Member]:
        """The other alive members of the own data centre, without suspects."""
        return [m for m in self.alive_others if self._is_neighbour(m)]

    @property
    def alive_remote_members(self) -> list[member_lib.Member]:
        """The alive members of other data centres, without suspects."""
        return [m for m in self.alive_others if not self._is_neighbour(m)]

    @property
    def present_neighbours(self) -> list[member_lib.Member]:
        """The other members of the own data centre, including suspects."""
        return [m for m in self.present_others if self._is_neighbour(m)]

    @property
    def present_remote_members(self) -> list[member_lib.Member]:
        """The members of other data centres, including suspects."""
        return [m for m in self.present_others if not self._is_neighbour(m)]

    def _is_neighbour(self, member: member_lib.Member) -> bool:
        return member.data_centre == self.own_record.data_centre

    def _others(
        self, members: list[member_lib.Member]
    ) -> list[member_lib.Member]:
        return [m for m in members if m.instance != self.own_record.instance]


@immutable.dataclass
class Staged:
    """A configuration that is being written to the journal.

    Attributes:
        sequence: Sequence number of the write.
        catalog: The configuration.
        delta: The change from the configuration before, or None if this one
            came as a snapshot.
    """

    sequence: int
    catalog: catalog_lib.Catalog
    delta: catalog_lib.Delta | None


@dataclasses.dataclass(kw_only=True, slots=True)
class ConfigState:
    """Configuration state of this node.

    Attributes:
        catalog: The configuration in force; replaced as a whole.
        staged: Newer configurations, which come into force once durable.
        ready: Whether the first version since startup has been obtained.
        confirmed_version: Version that a quorum has confirmed since startup,
            or None.
        confirming_voter: The voter that last confirmed a version.
        in_force_since_s: When the version came into force at this node, or
            the node started.
        history: Recent changes, oldest first, for peers that lag behind.
        fetch_source: Instance from which a newer version was requested, or
            empty.
        fetch_target_version: The version expected from that instance.
        fetch_attempts: Number of requests since the last answer.
        cold_read_attempts: Number of attempts to obtain the first version.
        hint_scheduled: Whether the timer for version hints is running.
        pending_pushes: The leader's pushes that have not been acknowledged,
            by data centre.
        unacknowledged_branches: Pushes that the head of a branch has not
            acknowledged, by the head's instance and the version.
        forwarded_to: Instances to which a version was forwarded, by version.
    """

    catalog: catalog_lib.Catalog = catalog_lib.EMPTY_CATALOG
    staged: collections.deque[Staged] = dataclasses.field(
        default_factory=collections.deque
    )
    ready: bool = False
    confirmed_version: int | None = None
    confirming_voter: address_lib.Address | None = None
    in_force_since_s: float = 0.0
    history: collections.deque[catalog_lib.Delta] = dataclasses.field(
        default_factory=collections.deque
    )
    fetch_source: str = ""
    fetch_target_version: int = 0
    fetch_attempts: int = 0
    cold_read_attempts: int = 0
    hint_scheduled: bool = False
    pending_pushes: dict[str, Any] = dataclasses.field(default_factory=dict)
    unacknowledged_branches: dict[tuple[str, int], Any] = dataclasses.field(
        default_factory=dict
    )
    forwarded_to: dict[int, set[str]] = dataclasses.field(default_factory=dict)

    @property
    def version(self) -> int:
        """The version in force."""
        return self.catalog.version

    @property
    def can_route(self) -> bool:
        """Whether calls can be routed, because a configuration is in force."""
        return self.ready and self.version > 0

    @property
    def newest(self) -> catalog_lib.Catalog:
        """The newest configuration at this node, staged or in force."""
        return self.staged[-1].catalog if self.staged else self.catalog


@dataclasses.dataclass(kw_only=True, slots=True)
class Control:
    """State of the control group, as far as this node knows it.

    Attributes:
        replica: The replica, or None on nodes outside the group.
        state_machine: State machine of the replica.
        identity: Identity of the disk, with the id of the group once the
            disk has joined one; None without a disk.
        voters: Known addresses of the voters.
        leader: Known address of the leader, or None.
        leader_hint_followed_s: When a hint to the leader was last followed.
        waiting_nodes: Nodes whose cold read is pending because there was no
            leader, by instance.
        ungrouped_voter_ids: Replica ids of nodes without a group, by instance.
        formation_since_s: Time from which on all bootstrap voters were known
            to have no group.
        join_requests: Disks that ask to join the group, by replica id.
        pending_submissions: Submissions of operators at this node, by
            request id.
        pending_reads: Reads of the last accepted configuration by operators
            at this node, by request id.
        submission_queue: Submissions waiting at the leader.
        proposed_submission: Submission that the leader is committing, or None.
    """

    replica: replica_lib.Replica | None = None
    state_machine: control_state_machine.ControlStateMachine = (
        dataclasses.field(
            default_factory=control_state_machine.ControlStateMachine
        )
    )
    identity: Any = None
    voters: tuple[address_lib.Address, ...] = ()
    leader: address_lib.Address | None = None
    leader_hint_followed_s: float = float("-inf")
    waiting_nodes: dict[str, address_lib.Address] = dataclasses.field(
        default_factory=dict
    )
    ungrouped_voter_ids: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    formation_since_s: float = float("inf")
    join_requests: dict[int, Any] = dataclasses.field(default_factory=dict)
    pending_submissions: dict[int, Any] = dataclasses.field(
        default_factory=dict
    )
    pending_reads: dict[int, Any] = dataclasses.field(default_factory=dict)
    submission_queue: collections.deque[Any] = dataclasses.field(
        default_factory=collections.deque
    )
    proposed_submission: Any = None


@dataclasses.dataclass(kw_only=True, slots=True)
class Directory:
    """State about other data centres and their endpoints.

    Attributes:
        contacts: Addresses of nodes to contact, by data centre.
        heard_s: When a greeting last came from each data centre.
        regions: Region of each data centre.
        rtt_s: Smoothed round trip time to each data centre.
        endpoints: Remote endpoints, by service and data centre.
        needed_s: When a call last needed a service's remote endpoints, by
            service.
        queried_s: When a service's endpoints were last requested, by service.
        waiting_nodes: Nodes waiting for a service's endpoints, by service and
            instance.
    """

    contacts: dict[str, tuple[address_lib.Address, ...]] = dataclasses.field(
        default_factory=dict
    )
    heard_s: dict[str, float] = dataclasses.field(default_factory=dict)
    regions: dict[str, str] = dataclasses.field(default_factory=dict)
    rtt_s: dict[str, float] = dataclasses.field(default_factory=dict)
    endpoints: dict[str, dict[str, Any]] = dataclasses.field(
        default_factory=dict
    )
    needed_s: dict[str, float] = dataclasses.field(default_factory=dict)
    queried_s: dict[str, float] = dataclasses.field(default_factory=dict)
    waiting_nodes: dict[str, dict[str, address_lib.Address]] = (
        dataclasses.field(default_factory=dict)
    )


@dataclasses.dataclass(kw_only=True, slots=True)
class Node:
    """The whole state of one node.

    Attributes:
        settings: Settings of the node.
        disk: Write queue of the journal.
        disk_failed: Whether a write has failed and not yet succeeded.
        membership: Members, probes and gossip.
        config: Configuration in force and its distribution.
        control: The control group.
        directory: Other data centres.
        upstream: The process that is the own upstream, and its phase.
        admission: Slots and queue of the own upstream.
        routing: Load, latency and failures observed for each upstream.
        rollouts: Rollouts, as far as this node knows or leads them.
        calls: Calls in progress through this node, by call id.
        keyed_calls: Claims of calls with an idempotency key, by call id.
        abandoned_claims: Claims whose calls ended without running, by call id.
        quotas: Tokens of limited workspaces.
        surveys: Status surveys in progress, by number.
        survey_number: Number of the last survey.
        started_s: When the process started.
        stopping: Whether a planned stop has begun.
        stop_deadline_s: Latest time at which a planned stop ends.
        earliest_stop_s: Earliest time at which a planned stop ends.
        wall_offset_ms: Wall clock time minus the time of the events.
    """

    settings: Settings
    disk: write_barrier.WriteBarrier = dataclasses.field(
        default_factory=write_barrier.WriteBarrier
    )
    disk_failed: bool = False
    membership: Membership = dataclasses.field(default_factory=Membership)
    config: ConfigState = dataclasses.field(default_factory=ConfigState)
    control: Control = dataclasses.field(default_factory=Control)
    directory: Directory = dataclasses.field(default_factory=Directory)
    upstream: upstream_lib.OwnUpstream = dataclasses.field(
        default_factory=upstream_lib.OwnUpstream
    )
    admission: admission_lib.Admission = dataclasses.field(
        default_factory=admission_lib.Admission
    )
    routing: routing_table.RoutingTable = dataclasses.field(
        default_factory=routing_table.RoutingTable
    )
    rollouts: rollout_state.RolloutState = dataclasses.field(
        default_factory=rollout_state.RolloutState
    )
    calls: dict[int, Any] = dataclasses.field(default_factory=dict)
    keyed_calls: dict[int, Any] = dataclasses.field(default_factory=dict)
    abandoned_claims: dict[int, Any] = dataclasses.field(default_factory=dict)
    quotas: quota_state_lib.QuotaState = dataclasses.field(
        default_factory=quota_state_lib.QuotaState
    )
    surveys: dict[int, Any] = dataclasses.field(default_factory=dict)
    survey_number: int = 0
    started_s: float = 0.0
    stopping: bool = False
    stop_deadline_s: float = 0.0
    earliest_stop_s: float = 0.0
    wall_offset_ms: int = 0

    def wall_ms(self, now_s: float) -> int:
        """Return the wall clock time, in milliseconds, of an event's time."""
        return self.wall_offset_ms + int(now_s * 1000)
