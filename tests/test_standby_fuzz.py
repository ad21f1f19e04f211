"""Fuzzing of three voters and a standby node.

The operations are conditional submissions and reads; the faults are crashes,
lost disks, suspended nodes and partitions. The oracle keeps the status of each
submission and the newest version acknowledged before each read.

Guards: the check of `submission.base_version` in `submission`, the wait for
`pending.confirmed_version` in `linearizable_read`,
`_members_with_new_identity` in `reconfiguration`.
"""

import itertools
import random

import pytest

from monsoonpass.core import events
from monsoonpass.core.distribution import config_messages
from monsoonpass.core.distribution import linearizable_read
from tests import fake_mesh

NAMES = ("n0", "n1", "n2", "n3")
Status = config_messages.SubmitStatus
ACCEPTED = (Status.ACCEPTED, Status.SUPERSEDED)
REFUSED = (
    Status.BASE_MISMATCH,
    Status.CONFLICT,
    Status.NOT_INCREASING,
    Status.INVALID,
)


class FaultScenario:
    """Random submissions and reads while nodes fail."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.mesh = fake_mesh.FakeMesh(seed=seed)
        seeds = tuple(fake_mesh.make_seed(node_name) for node_name in NAMES[:3])
        for node_name in NAMES:
            self.mesh.add(
                node_name,
                disk=True,
                seeds=seeds,
                voters=NAMES[:3],
                flat=True,
                copies_min=2,
                voter_replace_s=3.0,
            )
            self.mesh.nodes[node_name].start()
        self.mesh.run(6)
        self.submissions: list[tuple[str, int, int, bytes]] = []
        self.bases: dict[bytes, int] = {}
        self.reads: list[tuple[str, int, int]] = []
        self.request_numbers = itertools.count(100_000)
        self.version = 0

    def newest_acknowledged(self) -> int:
        """Return the newest version that an operator knows is accepted."""
        versions = [
            version
            for node_name, request_id, version, _ in self.submissions
            if self.status(node_name, request_id) in ACCEPTED
        ]
        return max(versions, default=0)

    def status(self, node_name: str, request_id: int) -> Status | None:
        reply = self.mesh.result(node_name, request_id)
        return reply.status if reply is not None else None

    def submit(self) -> None:
        """Submit one or two changes of the newest acknowledged version."""
        base = self.newest_acknowledged()
        self.version = max(self.version, base)
        for _ in range(self.rng.choice((1, 1, 2))):
            self.version += self.rng.choice((1, 3))
            catalog = fake_mesh.make_catalog(
                self.version, "a", f"s{next(self.request_numbers)}"
            )
            self.bases[catalog.digest] = base
            for node_name in self.rng.sample(NAMES, self.rng.choice((1, 2))):
                if self.mesh.nodes[node_name].alive:
                    request_id = self.mesh.submit(node_name, catalog, base)
                    self.submissions.append(
                        (node_name, request_id, catalog.version, catalog.digest)
                    )

    def read(self) -> None:
        """Read the newest configuration at a random node."""
        node_name = self.rng.choice(NAMES)
        node = self.mesh.nodes[node_name]
        if node.alive and not node.suspended:
            request_id = next(self.request_numbers)
            self.reads.append(
                (node_name, request_id, self.newest_acknowledged())
            )
            node.feed(events.ConfigReadRequested, request_id=request_id)

    def inject_fault(self) -> None:
        """Inject a random fault: crash, lost disk, suspension or partition."""
        node_name = self.rng.choice(NAMES)
        node = self.mesh.nodes[node_name]
        fault = self.rng.randrange(5)
        if fault == 0:
            node.crash()
        elif fault == 1:
            node.crash(lose_disk=True)
        elif fault == 2:
            node.suspended = True
        elif fault == 3:
            self.mesh.split({node_name})
        else:
            self.mesh.split(set(NAMES[:2]))

    def check_reads(self) -> None:
        """Check that no read misses a version acknowledged before it."""
        for node_name, request_id, acknowledged in self.reads:
            result = self.mesh.result(node_name, request_id)
            if result is None or isinstance(
                result, linearizable_read.ReadUnavailable
            ):
                continue
            assert result.version >= acknowledged, (
                "a read missed an acknowledged version"
            )

    def check_submissions(self) -> None:
        """Check that a base gets one change and refused ones are not accepted.

        A change that any node reported as refused must not be in force.
        """
        statuses_by_digest: dict[bytes, set[Status]] = {}
        for node_name, request_id, _, digest in self.submissions:
            status = self.status(node_name, request_id)
            if status is not None:
                statuses_by_digest.setdefault(digest, set()).add(status)
        used_bases: set[int] = set()
        for digest, statuses in statuses_by_digest.items():
            accepted = statuses.intersection(ACCEPTED)
            refused = statuses.intersection(REFUSED)
            assert not (accepted and refused), statuses
            if accepted:
                base = self.bases[digest]
                assert base not in used_bases, (
                    "two changes were accepted on one base"
                )
                used_bases.add(base)
        state_machine = self.mesh.leader().state.control.state_machine
        refused_digests = {
            digest
            for node_name, request_id, _, digest in self.submissions
            if self.status(node_name, request_id) in REFUSED
        }
        accepted_digests = {item.digest for item in state_machine.recent}
        assert not accepted_digests & refused_digests, (
            "a refused change is in force"
        )


class TestRandomFaults:
    @pytest.mark.parametrize("seed", range(12))
    def test_reads_and_replies_agree_with_accepted_versions(self, seed):
        scenario = FaultScenario(seed)
        for _ in range(6):
            scenario.inject_fault()
            for _ in range(8):
                scenario.rng.choice((scenario.submit, scenario.read))()
                scenario.mesh.run(scenario.rng.choice((0.004, 0.06, 0.4)))
            scenario.mesh.heal()
            scenario.submit()
            scenario.read()
            # Let the group recover before the next fault.
            scenario.mesh.run(12)
            scenario.check_reads()
            scenario.check_submissions()
        newest_acknowledged = scenario.newest_acknowledged()
        assert newest_acknowledged
        node_name, request_id = NAMES[0], next(scenario.request_numbers)
        scenario.mesh.nodes[node_name].feed(
            events.ConfigReadRequested, request_id=request_id
        )
        scenario.mesh.run(3)
        assert (
            scenario.mesh.result(node_name, request_id).version
            >= newest_acknowledged
        )
