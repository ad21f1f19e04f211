"""Stateful fuzzing of distribution and membership in two data centres.

Each check of `fake_mesh` fails when its guarding line is taken out:

I1  distribution (FetchReply): `if not config.ready and message.version <`
I1  distribution._take: `if catalog.version <= state.config.newest.version`
I2  catalog.Catalog.__init__: `raise errors.NotClosedError`
I3  catalog.Catalog.apply: `raise errors.BaseMismatchError` together with
    `_check_digest`
"""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tests import fake_mesh
from tests import fake_places

PLAIN = ("a0", "a1", "b0", "b1", "b2")
ALL = ("v0", "v1", "v2", *PLAIN)


class DistributionMachine(stateful.RuleBasedStateMachine):
    """Voters that mostly live, plain nodes under every fault."""

    @stateful.initialize(seed=st.integers(0, 2**32))
    def begin(self, seed):
        self.mesh = fake_places.make_two_places(seed_number=seed, plain=3)
        self.mesh.run(5)
        self.version = 0
        self.storm(seed)

    @stateful.rule(seed=st.integers(0, 2**32))
    def storm(self, seed):
        chance = random.Random(seed)
        actions = (
            lambda: self.submit(chance.choice(ALL)),
            lambda: self.submit("v0"),
            lambda: self.crash(chance.choice(PLAIN)),
            lambda: self.crash(chance.choice(ALL)),
            lambda: self.mesh.split({chance.choice(ALL)}),
            lambda: self.mesh.split({"b0", "b1", "b2"}),
            lambda: self.suspend(chance.choice(ALL)),
            self.restart_all,
            self.mesh.cut.clear,
            lambda: self.disturb(chance.choice((0.0, 0.2))),
        )
        for _ in range(25):
            chance.choice(actions)()
            self.mesh.run(chance.choice((0.01, 0.1, 0.5, 2.0)))

    @stateful.rule(name=st.sampled_from(ALL))
    def submit(self, name):
        if self.mesh.nodes[name].alive:
            self.version += 1
            names = ("x", "y", "z", f"s{self.version % 5}")
            catalog = fake_mesh.make_catalog(
                self.version, *names[self.version % 3 :]
            )
            self.mesh.submit(name, catalog)

    @stateful.rule(name=st.sampled_from(PLAIN))
    def crash(self, name):
        if self.mesh.nodes[name].alive:
            self.mesh.nodes[name].crash()

    @stateful.rule(name=st.sampled_from(ALL))
    def suspend(self, name):
        self.mesh.nodes[name].suspended = True

    @stateful.rule(drop=st.sampled_from((0.0, 0.1, 0.5)))
    def disturb(self, drop):
        self.mesh.faults = fake_mesh.Faults(drop=drop, slow=0.1)

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


TestDistributionFuzz = DistributionMachine.TestCase
TestDistributionFuzz.settings = hypothesis.settings(
    max_examples=20, stateful_step_count=5
)
