"""Fuzzing of voters with a standby: conditional submits, reads, lost disks.

The oracle keeps what was acknowledged, refused and left without an answer,
and when each read began. Guards: the check of `job.base_version` in
submission, the wait for `pending.version` in newest, `_emptied` in upkeep.
"""

import itertools
import random

import pytest

from monsoonpass.core import events
from monsoonpass.core.distribution import config_messages
from monsoonpass.core.distribution import newest
from tests import fake_mesh

NAMES = ("n0", "n1", "n2", "n3")
Status = config_messages.SubmitStatus
ACCEPTED = (Status.ACCEPTED, Status.SUPERSEDED)
REFUSED = (
    Status.OTHER_BASE,
    Status.CONFLICT,
    Status.NOT_INCREASING,
    Status.INVALID,
)


class FaultScenario:
    """Operators that submit and read anywhere, while nodes fail."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.mesh = fake_mesh.FakeMesh(seed=seed)
        seeds = tuple(fake_mesh.seed(node_name) for node_name in NAMES[:3])
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
        """Return the newest version that an operator has got acknowledged."""
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
        """Submit a change on the known version, sometimes two at once."""
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
        """Read the newest configuration at a node."""
        node_name = self.rng.choice(NAMES)
        node = self.mesh.nodes[node_name]
        if node.alive and not node.suspended:
            request_id = next(self.request_numbers)
            self.reads.append(
                (node_name, request_id, self.newest_acknowledged())
            )
            node.feed(events.NewestRequested, request_id=request_id)

    def inject_fault(self) -> None:
        """Let at most one node fail at a time, in one of many ways."""
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
        """A read is at least as new as what was acknowledged before it."""
        for node_name, request_id, acknowledged in self.reads:
            result = self.mesh.result(node_name, request_id)
            if result is None or isinstance(result, newest.Unavailable):
                continue
            assert result.version >= acknowledged, "an old read"

    def check_submissions(self) -> None:
        """Nothing refused is accepted, and of each base one change at most."""
        statuses_by_digest: dict[bytes, set[Status]] = {}
        for node_name, request_id, _, digest in self.submissions:
            status = self.status(node_name, request_id)
            if status is not None:
                statuses_by_digest.setdefault(digest, set()).add(status)
        used_bases: set[int] = set()
        for digest, statuses in statuses_by_digest.items():
            accepted = statuses.intersection(ACCEPTED)
            refused_digests = statuses.intersection(REFUSED)
            assert not (accepted and refused_digests), statuses
            if accepted:
                base = self.bases[digest]
                assert base not in used_bases, "two changes on one base"
                used_bases.add(base)
        machine = self.mesh.leader().state.control.machine
        refused_digests = {
            digest
            for node_name, request_id, _, digest in self.submissions
            if self.status(node_name, request_id) in REFUSED
        }
        accepted_digests = {item.digest for item in machine.recent}
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
            # A failure counts as over once the group is whole again.
            scenario.mesh.run(12)
            scenario.check_reads()
            scenario.check_submissions()
        newest_acknowledged = scenario.newest_acknowledged()
        assert newest_acknowledged
        node_name, request_id = NAMES[0], next(scenario.request_numbers)
        scenario.mesh.nodes[node_name].feed(
            events.NewestRequested, request_id=request_id
        )
        scenario.mesh.run(3)
        assert (
            scenario.mesh.result(node_name, request_id).version
            >= newest_acknowledged
        )
