"""Stateful fuzzing of distribution and membership in two data centres.

Each invariant that `fake_mesh` checks is violated if its guard is removed:

The version in force never decreases, also over restarts:
    version_distribution (FetchReply):
        `if not config.ready and message.version <`
    version_distribution._install: `if catalog.version <= newest.version`
A snapshot is closed: each route's service and each dependency is in it:
    catalog.Catalog.__init__: `raise errors.DanglingReferenceError`
A version is in force whole or not at all:
    catalog.Catalog.apply: `raise errors.BaseMismatchError` together with
    `_check_digest`
"""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tests import fake_mesh
from tests import fake_topologies

DISKLESS = ("a0", "a1", "b0", "b1", "b2")
ALL_NODES = ("v0", "v1", "v2", *DISKLESS)


class DistributionStateMachine(stateful.RuleBasedStateMachine):
    """Runs random submissions and faults; crashes mostly hit diskless nodes."""

    @stateful.initialize(seed=st.integers(0, 2**32))
    def begin(self, seed):
        self.mesh = fake_topologies.make_two_data_centres(
            seed_number=seed, diskless_per_data_centre=3
        )
        self.mesh.run(5)
        self.version = 0
        self.run_random_actions(seed)

    @stateful.rule(seed=st.integers(0, 2**32))
    def run_random_actions(self, seed):
        rng = random.Random(seed)
        actions = (
            lambda: self.submit(rng.choice(ALL_NODES)),
            lambda: self.submit("v0"),
            lambda: self.crash(rng.choice(DISKLESS)),
            lambda: self.crash(rng.choice(ALL_NODES)),
            lambda: self.mesh.split({rng.choice(ALL_NODES)}),
            lambda: self.mesh.split({"b0", "b1", "b2"}),
            lambda: self.suspend(rng.choice(ALL_NODES)),
            self.restart_all,
            self.mesh.cut_links.clear,
            lambda: self.disturb_network(rng.choice((0.0, 0.2))),
        )
        for _ in range(25):
            rng.choice(actions)()
            self.mesh.run(rng.choice((0.01, 0.1, 0.5, 2.0)))

    @stateful.rule(name=st.sampled_from(ALL_NODES))
    def submit(self, name):
        if self.mesh.nodes[name].alive:
            self.version += 1
            names = ("x", "y", "z", f"s{self.version % 5}")
            catalog = fake_mesh.make_catalog(
                self.version, *names[self.version % 3 :]
            )
            self.mesh.submit(name, catalog)

    @stateful.rule(name=st.sampled_from(DISKLESS))
    def crash(self, name):
        if self.mesh.nodes[name].alive:
            self.mesh.nodes[name].crash()

    @stateful.rule(name=st.sampled_from(ALL_NODES))
    def suspend(self, name):
        self.mesh.nodes[name].suspended = True

    @stateful.rule(drop=st.sampled_from((0.0, 0.1, 0.5)))
    def disturb_network(self, drop):
        self.mesh.faults = fake_mesh.Faults(
            drop_probability=drop, slow_probability=0.1
        )

    @stateful.rule()
    def restart_all(self):
        for node in self.mesh.nodes.values():
            if not node.alive:
                node.start()
            node.resume()

    def teardown(self):
        if hasattr(self, "mesh"):
            self.mesh.heal()
            self.mesh.run(60)
            self.mesh.check_converged()


TestDistributionFuzz = DistributionStateMachine.TestCase
TestDistributionFuzz.settings = hypothesis.settings(
    max_examples=20, stateful_step_count=5
)
