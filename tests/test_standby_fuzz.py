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


class Storm:
    """Operators that submit and read anywhere, while nodes fail."""

    def __init__(self, number: int):
        self.chance = random.Random(number)
        self.mesh = fake_mesh.FakeMesh(seed=number)
        seeds = tuple(fake_mesh.seed(name) for name in NAMES[:3])
        for name in NAMES:
            self.mesh.add(
                name,
                disk=True,
                seeds=seeds,
                voters=NAMES[:3],
                flat=True,
                copies_min=2,
                voter_replace_s=3.0,
            )
            self.mesh.nodes[name].start()
        self.mesh.run(6)
        self.orders: list[tuple[str, int, int, bytes]] = []
        self.bases: dict[bytes, int] = {}
        self.reads: list[tuple[str, int, int]] = []
        self.numbers = itertools.count(100_000)
        self.version = 0

    def known(self) -> int:
        """Return the newest version that an operator has got acknowledged."""
        versions = [
            version
            for name, request, version, _ in self.orders
            if self.status(name, request) in ACCEPTED
        ]
        return max(versions, default=0)

    def status(self, name: str, request: int) -> Status | None:
        reply = self.mesh.result(name, request)
        return reply.status if reply is not None else None

    def submit(self) -> None:
        """Submit a change on the known version, sometimes two at once."""
        base = self.known()
        self.version = max(self.version, base)
        for _ in range(self.chance.choice((1, 1, 2))):
            self.version += self.chance.choice((1, 3))
            catalog = fake_mesh.make_catalog(
                self.version, "a", f"s{next(self.numbers)}"
            )
            self.bases[catalog.digest] = base
            for name in self.chance.sample(NAMES, self.chance.choice((1, 2))):
                if self.mesh.nodes[name].alive:
                    request = self.mesh.submit(name, catalog, base)
                    self.orders.append(
                        (name, request, catalog.version, catalog.digest)
                    )

    def read(self) -> None:
        """Read the newest configuration at a node."""
        name = self.chance.choice(NAMES)
        node = self.mesh.nodes[name]
        if node.alive and not node.suspended:
            request = next(self.numbers)
            self.reads.append((name, request, self.known()))
            node.feed(events.NewestRequested, request_id=request)

    def fail(self) -> None:
        """Let at most one node fail at a time, in one of many ways."""
        name = self.chance.choice(NAMES)
        node = self.mesh.nodes[name]
        way = self.chance.randrange(5)
        if way == 0:
            node.crash()
        elif way == 1:
            node.crash(lose_disk=True)
        elif way == 2:
            node.suspended = True
        elif way == 3:
            self.mesh.split({name})
        else:
            self.mesh.split(set(NAMES[:2]))

    def check_reads(self) -> None:
        """A read is at least as new as what was acknowledged before it."""
        for name, request, acknowledged in self.reads:
            result = self.mesh.result(name, request)
            if result is None or isinstance(result, newest.Unavailable):
                continue
            assert result.version >= acknowledged, "an old read"

    def check_orders(self) -> None:
        """Nothing refused is accepted, and of each base one change at most."""
        digests: dict[bytes, set[Status]] = {}
        for name, request, _, digest in self.orders:
            status = self.status(name, request)
            if status is not None:
                digests.setdefault(digest, set()).add(status)
        followed: set[int] = set()
        for digest, statuses in digests.items():
            accepted = statuses.intersection(ACCEPTED)
            refused = statuses.intersection(REFUSED)
            assert not (accepted and refused), statuses
            if accepted:
                base = self.bases[digest]
                assert base not in followed, "two changes on one base"
                followed.add(base)
        machine = self.mesh.leader().state.control.machine
        refused = {
            digest
            for name, request, _, digest in self.orders
            if self.status(name, request) in REFUSED
        }
        held = {item.digest for item in machine.recent}
        assert not held & refused, "a refused change is in force"


class TestStorm:
    @pytest.mark.parametrize("number", range(12))
    def test_acknowledged_refused_and_read_agree(self, number):
        storm = Storm(number)
        for _ in range(6):
            storm.fail()
            for _ in range(8):
                storm.chance.choice((storm.submit, storm.read))()
                storm.mesh.run(storm.chance.choice((0.004, 0.06, 0.4)))
            storm.mesh.heal()
            storm.submit()
            storm.read()
            # A failure counts as over once the group is whole again.
            storm.mesh.run(12)
            storm.check_reads()
            storm.check_orders()
        known = storm.known()
        assert known
        name, request = NAMES[0], next(storm.numbers)
        storm.mesh.nodes[name].feed(events.NewestRequested, request_id=request)
        storm.mesh.run(3)
        assert storm.mesh.result(name, request).version >= known
