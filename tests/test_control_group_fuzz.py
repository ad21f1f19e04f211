"""Stateful fuzzing of the control group against a simple oracle.

The oracle is the list of accepted versions and each node's history. The
checks are in `fake_mesh`; each fails when its guarding line is taken out:

I1  distribution._install: `if catalog.version <= state.config.newest.version`,
    or `if not state.config.has_disk` made always true
I9  replication._advance_commit: the quorum in `matches[...]`
I9  the lines that need a rarer order of events are named in `test_replica`
"""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tests import fake_mesh

NAMES = ("n0", "n1", "n2")
SERVICES = ("a", "b", "c", "d")


class ControlGroupMachine(stateful.RuleBasedStateMachine):
    """Three voters under every fault that the brief lists."""

    @stateful.initialize(seed=st.integers(0, 2**32))
    def begin(self, seed):
        self.mesh = fake_mesh.make_group(3, seed_number=seed)
        self.mesh.run(3)
        self.version = 0
        self.lost = 0
        # Hypothesis leaves rules out of many examples; this part stays in.
        self.storm(seed)

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
    def storm(self, seed):
        """A burst of submissions and faults in random order."""
        chance = random.Random(seed)
        actions = (
            lambda: self.submit(chance.choice(NAMES), ["a", "b"], 1),
            lambda: self.submit(chance.choice(NAMES), ["c"], 0),
            lambda: self.submit_at_leader_and(chance, self.cut),
            lambda: self.submit_at_leader_and(chance, self.crash),
            lambda: self.submit_at_leader_and(chance, self.suspend),
            lambda: self.lose_one_disk(chance.choice(NAMES)),
            lambda: self.crash(chance.choice(NAMES)),
            lambda: self.cut(chance.choice(NAMES)),
            lambda: self.suspend(chance.choice(NAMES)),
            lambda: self.slow_disk(chance.choice(NAMES)),
            self.restart_all,
            self.restart_all,
            self.mend_cuts,
            self.mend_cuts,
        )
        for _ in range(40):
            chance.choice(actions)()
            self.mesh.run(chance.choice((0.002, 0.004, 0.05, 1.0, 3.0)))

    def submit_at_leader_and(self, chance, fault):
        """Submit at the leader and make it fail around that moment."""
        leader = self.mesh.leader()
        if leader is None:
            return
        if chance.random() < 0.5:
            fault(leader.name)
            self.submit(leader.name, ["a", "d"], 1)
        else:
            self.submit(leader.name, ["b", "d"], 1)
            self.mesh.run(chance.uniform(0, 0.01))
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
    def disturb(self, drop, duplicate, slow):
        self.mesh.faults = fake_mesh.Faults(
            drop=drop, duplicate=duplicate, slow=slow
        )

    @stateful.rule(name=st.sampled_from(NAMES))
    def crash(self, name):
        if self.mesh.nodes[name].alive:
            self.mesh.nodes[name].crash()

    @stateful.rule(name=st.sampled_from(NAMES))
    def lose_one_disk(self, name):
        # A second disk may be lost only once the first is replaced.
        if self.lost and not self.is_repaired():
            return
        self.lost += 1
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
    def cut(self, name):
        self.mesh.split({name})

    @stateful.rule()
    def mend_cuts(self):
        self.mesh.cut.clear()

    @stateful.rule(name=st.sampled_from(NAMES))
    def slow_disk(self, name):
        self.mesh.nodes[name].sync_factor = 100.0

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

    def is_repaired(self) -> bool:
        """Return whether every live disk is a caught-up voter."""
        leader = self.mesh.leader()
        if leader is None:
            return False
        replica = leader.state.control.replica
        ids = {
            n.state.control.identity.replica_id
            for n in self.mesh.nodes.values()
            if n.alive
        }
        settled = not replica.members_log or (
            replica.members_log[-1][0] <= replica.commit_index
        )
        caught_up = all(
            progress.match_index >= replica.commit_index
            for progress in replica.progress.values()
        )
        return (
            ids == set(replica.members.voters)
            and len(ids) == len(NAMES)
            and settled
            and caught_up
            and not self.mesh.cut
        )


TestControlGroupFuzz = ControlGroupMachine.TestCase
TestControlGroupFuzz.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=15
)
