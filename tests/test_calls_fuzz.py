"""Stateful fuzzing of calls: routing, admission, retries, keys, drains.

The checks are in `fake_calls`; each fails when its guarding line is taken out:

I5  calls._final: the replacement of "not run" once an upstream was touched
I6  calls._attempt_failed: `may_repeat`; ledger.Ledger.claim: the return of
    `IN_PROGRESS`
I7  offer._withhold: `own.upstream = shown`
I10 admission.Admission.offer: the refusal over `queue_limit`

I4 and I8 need real bodies and processes; see `test_end_to_end`.
"""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tests import fake_calls
from tests import fake_mesh

OWNERS = ("o0", "o1", "o2", "o3")
ENTRIES = ("e0", "o0", "o1")
KEYS = ("k1", "k2", "k3", "k4", "k5", "k6")


class CallsMachine(stateful.RuleBasedStateMachine):
    """One service on four owners, under faults and load."""

    @stateful.initialize(seed=st.integers(0, 2**32))
    def begin(self, seed):
        self.mesh = fake_calls.make_shop(seed_number=seed, queue_limit=8)
        self.storm(seed)

    @stateful.rule(seed=st.integers(0, 2**32))
    def storm(self, seed):
        chance = random.Random(seed)
        actions = (
            lambda: self.calls(chance, 5),
            lambda: self.calls(chance, 30),
            lambda: self.keyed(chance),
            lambda: self.keyed(chance),
            lambda: self.disturb(chance.choice((0.0, 0.05, 0.3))),
            lambda: self.slow(chance),
            lambda: self.fail(chance),
            lambda: self.drain(chance.choice(OWNERS)),
            lambda: self.crash(chance.choice(OWNERS[2:])),
            lambda: self.mesh.split({chance.choice(OWNERS)}),
            self.mend,
        )
        for _ in range(40):
            chance.choice(actions)()
            self.mesh.run(chance.choice((0.001, 0.01, 0.1, 1.0)))

    def calls(self, chance, count):
        for _ in range(count):
            path = chance.choice(("/lots", "/payments"))
            self.mesh.call(chance.choice(ENTRIES), path=path)

    def keyed(self, chance):
        for _ in range(2):
            self.mesh.call(
                chance.choice(ENTRIES),
                path="/payments",
                key=chance.choice(KEYS),
            )

    @stateful.rule(name=st.sampled_from(ENTRIES), key=st.sampled_from(KEYS))
    def pay(self, name, key):
        self.mesh.call(name, path="/payments", key=key)

    @stateful.rule(drop=st.sampled_from((0.0, 0.1, 0.5)))
    def disturb(self, drop):
        self.mesh.faults = fake_mesh.Faults(drop=drop)

    @stateful.rule(name=st.sampled_from(OWNERS))
    def drain(self, name):
        if self.mesh.nodes[name].alive:
            self.mesh.nodes[name].drain()

    def slow(self, chance):
        slow_s = chance.choice((0.005, 0.05, 3.0))
        node = self.mesh.nodes[chance.choice(OWNERS)]
        node.service_s = lambda _: slow_s

    def fail(self, chance):
        share = chance.choice((0.0, 0.5, 1.0))
        node = self.mesh.nodes[chance.choice(OWNERS)]
        node.fails = lambda _: self.mesh.random.random() < share

    def crash(self, name):
        if self.mesh.nodes[name].alive:
            self.mesh.nodes[name].crash()

    @stateful.rule()
    def mend(self):
        self.mesh.heal()
        for name in OWNERS:
            node = self.mesh.nodes[name]
            node.service_s = lambda _: 0.01
            node.fails = lambda _: False
            node.announce(3)

    def teardown(self):
        if hasattr(self, "mesh"):
            self.mesh.heal()
            self.mesh.run(15)
            self.mesh.check_finals()


TestCallsFuzz = CallsMachine.TestCase
TestCallsFuzz.settings = hypothesis.settings(
    max_examples=30, stateful_step_count=8
)
