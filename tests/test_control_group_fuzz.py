"""Stateful fuzzing of the control group against a simple oracle.

The oracle consists of the accepted versions and each node's history. The
checks are in `fake_mesh`. They fail if these lines are removed or changed:

- The version in force never decreases: `version_distribution._install`,
  `if catalog.version <= newest.version` removed, or
  `if not state.settings.has_disk` always true.
- Accepted versions are never lost: `replication._advance_commit`, the quorum
  in `matches[...]`.

`test_replica` covers lines whose failure needs a rarer order of events.
"""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tests import fake_mesh

NAMES = ("n0", "n1", "n2")
SERVICES = ("a", "b", "c", "d")


class ControlGroupMachine(stateful.RuleBasedStateMachine):
    """Three voters under network, process and disk faults."""

    @stateful.initialize(seed=st.integers(0, 2**32))
    def start_group(self, seed):
        self.mesh = fake_mesh.make_group(3, seed_number=seed)
        self.mesh.run(3)
        self.version = 0
        self.lost_disks = 0
        # Hypothesis disables rules in many examples; always run this one.
        self.stress(seed)

    @stateful.rule(
        name=st.sampled_from(NAMES),
        services=st.lists(st.sampled_from(SERVICES), min_size=1, unique=True),
        step=st.integers(0, 2),
    )
    def submit(self, name, services, step):
        if not self.mesh.nodes[name].alive:
            return
        self.version = max(1, self.version + step)
        catalog = fake_mesh.make_catalog(self.version, *services)
        self.mesh.submit(name, catalog)

    @stateful.rule(
        duration_s=st.sampled_from((0.003, 0.01, 0.2, 1.0, 4.0)),
        name=st.sampled_from(NAMES),
        step=st.integers(0, 2),
    )
    def submit_and_pass_time(self, duration_s, name, step):
        self.submit(name, [SERVICES[self.version % 4]], step)
        self.mesh.run(duration_s)

    @stateful.rule(seed=st.integers(0, 2**32))
    def stress(self, seed):
        """Run submissions and faults in random order."""
        rng = random.Random(seed)
        actions = (
            lambda: self.submit(rng.choice(NAMES), ["a", "b"], 1),
            lambda: self.submit(rng.choice(NAMES), ["c"], 0),
            lambda: self.submit_at_leader_and(rng, self.disconnect),
            lambda: self.submit_at_leader_and(rng, self.crash),
            lambda: self.submit_at_leader_and(rng, self.suspend),
            lambda: self.lose_one_disk(rng.choice(NAMES)),
            lambda: self.crash(rng.choice(NAMES)),
            lambda: self.disconnect(rng.choice(NAMES)),
            lambda: self.suspend(rng.choice(NAMES)),
            lambda: self.slow_disk(rng.choice(NAMES)),
            self.restart_all,
            self.restart_all,
            self.reconnect,
            self.reconnect,
        )
        for _ in range(40):
            rng.choice(actions)()
            self.mesh.run(rng.choice((0.002, 0.004, 0.05, 1.0, 3.0)))

    def submit_at_leader_and(self, rng, fault):
        """Submit at the leader, which fails just before or after it."""
        leader = self.mesh.leader()
        if leader is None:
            return
        if rng.random() < 0.5:
            fault(leader.name)
            self.submit(leader.name, ["a", "d"], 1)
        else:
            self.submit(leader.name, ["b", "d"], 1)
            self.mesh.run(rng.uniform(0, 0.01))
            fault(leader.name)

    def restart_all(self):
        for name in NAMES:
            self.restart(name)
            self.resume(name)

    @stateful.rule(
        drop=st.sampled_from((0.0, 0.1, 0.4)),
        duplicate=st.sampled_from((0.0, 0.3)),
        slow=st.sampled_from((0.0, 0.2)),
    )
    def disturb_network(self, drop, duplicate, slow):
        self.mesh.faults = fake_mesh.Faults(
            drop_probability=drop,
            duplicate_probability=duplicate,
            slow_probability=slow,
        )

    @stateful.rule(name=st.sampled_from(NAMES))
    def crash(self, name):
        if self.mesh.nodes[name].alive:
            self.mesh.nodes[name].crash()

    @stateful.rule(name=st.sampled_from(NAMES))
    def lose_one_disk(self, name):
        # Another disk may be lost only once the previous one is replaced.
        if self.lost_disks and not self.is_fully_replicated():
            return
        self.lost_disks += 1
        self.mesh.nodes[name].crash(lose_disk=True)

    @stateful.rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        if not self.mesh.nodes[name].alive:
            self.mesh.nodes[name].start()

    @stateful.rule(name=st.sampled_from(NAMES))
    def suspend(self, name):
        self.mesh.nodes[name].suspended = True

    @stateful.rule(name=st.sampled_from(NAMES))
    def resume(self, name):
        self.mesh.nodes[name].resume()

    @stateful.rule(name=st.sampled_from(NAMES))
    def disconnect(self, name):
        self.mesh.split({name})

    @stateful.rule()
    def reconnect(self):
        self.mesh.cut_links.clear()

    @stateful.rule(name=st.sampled_from(NAMES))
    def slow_disk(self, name):
        self.mesh.nodes[name].sync_slowdown = 100.0

    @stateful.invariant()
    def accepted_versions_have_one_content(self):
        if hasattr(self, "mesh"):
            self.mesh.collect_accepted()

    def teardown(self):
        if not hasattr(self, "mesh"):
            return
        self.mesh.heal()
        self.mesh.run(90)
        self.mesh.check_converged()

    def is_fully_replicated(self) -> bool:
        """Return whether all nodes are connected voters that have caught up."""
        leader = self.mesh.leader()
        if leader is None:
            return False
        replica = leader.state.control.replica
        ids = {
            n.state.control.identity.replica_id
            for n in self.mesh.nodes.values()
            if n.alive
        }
        is_settled = not replica.membership_changes or (
            replica.membership_changes[-1][0] <= replica.commit_index
        )
        is_caught_up = all(
            progress.match_index >= replica.commit_index
            for progress in replica.progress.values()
        )
        return (
            ids == set(replica.members.voters)
            and len(ids) == len(NAMES)
            and is_settled
            and is_caught_up
            and not self.mesh.cut_links
        )


TestControlGroupFuzz = ControlGroupMachine.TestCase
TestControlGroupFuzz.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=15
)
