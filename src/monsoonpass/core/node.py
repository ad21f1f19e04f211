"""The state of one node: the sub-state of each subject, and its settings."""

import collections
import dataclasses
from typing import Any

from monsoonpass.core import address as address_lib
from monsoonpass.core.agreement import control_machine
from monsoonpass.core.agreement import disk_queue
from monsoonpass.core.agreement import replica as replica_lib
from monsoonpass.core.calls import admission as admission_lib
from monsoonpass.core.calls import routing_table
from monsoonpass.core.distribution import catalog as catalog_lib
from monsoonpass.core.membership import member as member_lib
from monsoonpass.core.membership import member_table
from monsoonpass.core.membership import notice as notice_lib
from monsoonpass.core.membership import upstream as upstream_lib


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Seed:
    """A node that is known from the settings."""

    address: address_lib.Address
    data_centre: str
    region: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Settings:
    """What the reducer needs to know of the settings.

    Attributes:
        address: Where this node listens for its peers.
        data_centre: Its data centre.
        region: The region of that data centre.
        has_disk: Whether it has a data folder.
        seeds: Nodes known in advance, in any data centre.
        bootstrap_voters: Instances that form the control group at first.
        voter_replace_s: Silence after which a voter is replaced.
        queue_limit: Calls that may wait for a slot of the own upstream.
        calls_limit: Calls that may be in progress through this node.
        drain_limit_s: Longest time that a planned stop waits.
        stop_after_s: Time for which a planned stop still serves callers.
        flat: Whether all data centres share one member table.
        voters: Voters that the control group should have; 0 for as many as
            founded it.
        copies_min: Disks that hold a version before it is accepted.
        service: Service of the own upstream before it announces itself.
        retry_ratio: Second tries of a service per call, over all nodes.
        retry_slack: Second tries of a service beyond that, over all nodes.
        silence_s: Silence after which an announced upstream is withdrawn;
            0 for upstreams that announce themselves once.
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

    def covers(self, data_centre: str) -> bool:
        """Return whether members of a data centre are in the own table."""
        return self.flat or data_centre == self.data_centre

    @property
    def local_seeds(self) -> tuple[Seed, ...]:
        """Seeds whose members the own table covers, without this node."""
        return tuple(
            seed
            for seed in self.seeds
            if self.covers(seed.data_centre)
            and seed.address.instance != self.address.instance
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class Membership:
    """The own data centre's members, as this node knows them.

    Attributes:
        own: This node's own record.
        table: All members.
        updates: News by instance: the record and how often to send it yet.
        first_incarnation: Incarnation of the own record at the start.
        probes: Probes under way, by number.
        probe_number: Number of the last probe.
        probe_order: Members still to be probed in this round.
        probe_turn: Counts the probes, for those that go far.
        probe_outcomes: Whether the last probes were answered.
        joined: Whether the table was synchronised with a seed.
        join_attempts: How often that was tried.
        gossip_set: Whether the gossip timer runs.
        mismatches: Contacts in a row whose table differed.
        partitioned: Whether many members are silent at once.
        kept: Suspects that were not declared dead because of that.
        left: Notices of leaving of other nodes' upstreams, by instance.
    """

    own: member_lib.Member | None = None
    table: member_table.MemberTable = dataclasses.field(
        default_factory=member_table.MemberTable
    )
    updates: dict[str, list[Any]] = dataclasses.field(default_factory=dict)
    first_incarnation: int = 0
    probes: dict[int, Any] = dataclasses.field(default_factory=dict)
    probe_number: int = 0
    probe_order: list[str] = dataclasses.field(default_factory=list)
    probe_turn: int = 0
    probe_outcomes: collections.deque[bool] = dataclasses.field(
        default_factory=collections.deque
    )
    joined: bool = False
    join_attempts: int = 0
    gossip_set: bool = False
    mismatches: int = 0
    partitioned: bool = False
    kept: set[str] = dataclasses.field(default_factory=set)
    left: dict[str, notice_lib.Notices] = dataclasses.field(
        default_factory=dict
    )

    @property
    def alive_others(self) -> list[member_lib.Member]:
        """The other members that are not even suspected."""
        return self._others(self.table.alive())

    @property
    def present_others(self) -> list[member_lib.Member]:
        """The other members that are alive or suspected."""
        return self._others(self.table.present())

    @property
    def near_others(self) -> list[member_lib.Member]:
        """The other members of the own data centre, without suspects."""
        return [m for m in self.alive_others if self._is_near(m)]

    @property
    def far_others(self) -> list[member_lib.Member]:
        """The members of other data centres, without suspects."""
        return [m for m in self.alive_others if not self._is_near(m)]

    @property
    def near_present(self) -> list[member_lib.Member]:
        """The other members of the own data centre, with suspects."""
        return [m for m in self.present_others if self._is_near(m)]

    @property
    def far_present(self) -> list[member_lib.Member]:
        """The members of other data centres, with suspects."""
        return [m for m in self.present_others if not self._is_near(m)]

    def _is_near(self, member: member_lib.Member) -> bool:
        return member.data_centre == self.own.data_centre

    def _others(
        self, members: list[member_lib.Member]
    ) -> list[member_lib.Member]:
        return [m for m in members if m.instance != self.own.instance]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Staged:
    """A configuration whose record is being written.

    Attributes:
        sequence: Number of the write.
        catalog: The configuration.
        delta: The change it came from, or None for a snapshot.
    """

    sequence: int
    catalog: catalog_lib.Catalog
    delta: catalog_lib.Delta | None


@dataclasses.dataclass(kw_only=True, slots=True)
class Config:
    """The configuration at this node.

    Attributes:
        catalog: The configuration in force; replaced whole.
        staged: Later ones that come into force once they are durable.
        ready: Whether the first version since the start was obtained.
        confirmed_version: Version that a quorum confirmed since the start.
        confirmed_by: The voter that last confirmed a version.
        in_force_since_s: When the version came into force here, or the node
            started.
        history: Recent changes, oldest first, for peers that lag.
        fetching: Instance that a newer version was asked of, or empty.
        fetch_version: The version hoped for.
        fetches: How often it was asked for since the last answer.
        cold_attempts: Attempts to obtain the first version.
        hint_set: Whether members are due to be told of the version.
        pushes: The leader's pushes that a data centre has not acknowledged.
        branches: Pushes that the head of a branch has not acknowledged, by
            its instance and the version.
        passed: Instances to which a version was passed on, by version.
    """

    catalog: catalog_lib.Catalog = catalog_lib.EMPTY
    staged: collections.deque[Staged] = dataclasses.field(
        default_factory=collections.deque
    )
    ready: bool = False
    confirmed_version: int | None = None
    confirmed_by: address_lib.Address | None = None
    in_force_since_s: float = 0.0
    history: collections.deque[catalog_lib.Delta] = dataclasses.field(
        default_factory=collections.deque
    )
    fetching: str = ""
    fetch_version: int = 0
    fetches: int = 0
    cold_attempts: int = 0
    hint_set: bool = False
    pushes: dict[str, Any] = dataclasses.field(default_factory=dict)
    branches: dict[tuple[str, int], Any] = dataclasses.field(
        default_factory=dict
    )
    passed: dict[int, set[str]] = dataclasses.field(default_factory=dict)

    @property
    def version(self) -> int:
        """The version in force."""
        return self.catalog.version

    @property
    def serves(self) -> bool:
        """Whether calls can be routed: a configuration is in force."""
        return self.ready and self.version > 0

    @property
    def newest(self) -> catalog_lib.Catalog:
        """The newest configuration held, in force or staged."""
        return self.staged[-1].catalog if self.staged else self.catalog


@dataclasses.dataclass(kw_only=True, slots=True)
class Control:
    """This node's part in the control group, or its view of it.

    Attributes:
        replica: The replica, on nodes that belong to the group.
        machine: The replica's state machine.
        identity: The disk's identity before it belongs to a group.
        voters: Where the voters are, as far as known.
        leader: Where the leader is, as far as known.
        hint_followed_s: When a hint to the leader was last followed.
        askers: Nodes whose cold read met no leader, by instance.
        probed: Replica ids of bootstrap voters that have no group yet.
        candidates: Disks that ask to join, by replica id.
        submissions: Submissions from this node's operators, by request id.
        newest_reads: Reads of the last accepted configuration for this
            node's operators, by request id.
        queue: At the leader: submissions that wait for their turn.
        proposing: At the leader: the submission that is being committed.
    """

    replica: replica_lib.Replica | None = None
    machine: control_machine.ControlMachine = dataclasses.field(
        default_factory=control_machine.ControlMachine
    )
    identity: Any = None
    voters: tuple[address_lib.Address, ...] = ()
    leader: address_lib.Address | None = None
    hint_followed_s: float = float("-inf")
    askers: dict[str, address_lib.Address] = dataclasses.field(
        default_factory=dict
    )
    probed: dict[str, int] = dataclasses.field(default_factory=dict)
    candidates: dict[int, Any] = dataclasses.field(default_factory=dict)
    submissions: dict[int, Any] = dataclasses.field(default_factory=dict)
    newest_reads: dict[int, Any] = dataclasses.field(default_factory=dict)
    queue: collections.deque[Any] = dataclasses.field(
        default_factory=collections.deque
    )
    proposing: Any = None


@dataclasses.dataclass(kw_only=True, slots=True)
class Directory:
    """What is known of other data centres.

    Attributes:
        contacts: Nodes of each other data centre, by data centre.
        heard_s: When each data centre was last heard of.
        regions: Region of each data centre.
        rtt_s: Smoothed round trip to each data centre.
        endpoints: Members by service, then by data centre.
        wanted_s: When each service's remote endpoints were last wanted.
        asked_s: When each service's endpoints were last asked for.
        askers: Nodes that wait for a service's endpoints, by service.
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
    wanted_s: dict[str, float] = dataclasses.field(default_factory=dict)
    asked_s: dict[str, float] = dataclasses.field(default_factory=dict)
    askers: dict[str, dict[str, address_lib.Address]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(kw_only=True, slots=True)
class Node:
    """The whole state of one node.

    Attributes:
        settings: Its settings.
        disk: Numbers the writes of the journal.
        disk_failed: Whether a write has failed.
        membership: Its data centre's members.
        config: The configuration at this node.
        control: The control group.
        directory: Other data centres.
        upstream: Which process the own upstream is and what is done with it.
        admission: The own upstream's slots and queue.
        routing: What is known of upstreams from using them.
        calls: Calls in progress through this node, by call id.
        keyed_calls: Claims of calls with a key, by call id.
        abandoned_claims: Claims whose calls were given up unrun.
        surveys: Status surveys under way, by number.
        started_s: When the process started.
        stopping: Whether a planned stop has begun.
        stop_at_s: When a planned stop ends at the latest.
        stop_after_s: When a planned stop ends at the earliest.
        wall_offset_ms: Wall clock minus the events' clock.
    """

    settings: Settings
    disk: disk_queue.DiskQueue = dataclasses.field(
        default_factory=disk_queue.DiskQueue
    )
    disk_failed: bool = False
    membership: Membership = dataclasses.field(default_factory=Membership)
    config: Config = dataclasses.field(default_factory=Config)
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
    calls: dict[int, Any] = dataclasses.field(default_factory=dict)
    keyed_calls: dict[int, Any] = dataclasses.field(default_factory=dict)
    abandoned_claims: dict[int, Any] = dataclasses.field(default_factory=dict)
    surveys: dict[int, Any] = dataclasses.field(default_factory=dict)
    survey_number: int = 0
    started_s: float = 0.0
    stopping: bool = False
    stop_at_s: float = 0.0
    stop_after_s: float = 0.0
    wall_offset_ms: int = 0

    def wall_ms(self, now_s: float) -> int:
        """Return the wall clock at the time of an event."""
        return self.wall_offset_ms + int(now_s * 1000)
