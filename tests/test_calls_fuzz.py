"""Stateful fuzzing of calls: routing, admission, retries, keys, drains.

The checks are in `fake_calls`. Each fails if the line that guards it is
removed:

"Not run" is reported only if the call has not been and will not be dispatched:
    attempts.final_failure: the replacement of "not run" once an upstream may
    have run the call
A non-idempotent call is dispatched at most once, with an idempotency key at
most once over all resends:
    attempts.attempt_failed: `may_repeat`
    ledger.Ledger.claim: the return of `IN_PROGRESS`
After an upstream announces that it leaves, its node refuses new calls:
    upstream_transition._stop_offering: `admission.upstream = published`
The queue has a bound:
    admission.Admission.offer: the refusal over `queue_limit`

That the caller gets the whole answer to its own call or an explicit failure,
and that a planned stop cuts off no call in progress, needs real bodies and
processes; see `test_end_to_end`.
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
    """Calls to a service on four owner nodes, under faults and load."""

    @stateful.initialize(seed=st.integers(0, 2**32))
    def start_mesh(self, seed):
        self.mesh = fake_calls.make_call_mesh(seed_number=seed, queue_limit=8)
        self.run_random_actions(seed)

    @stateful.rule(seed=st.integers(0, 2**32))
    def run_random_actions(self, seed):
        rng = random.Random(seed)
        actions = (
            lambda: self.send_calls(rng, 5),
            lambda: self.send_calls(rng, 30),
            lambda: self.send_keyed_calls(rng),
            lambda: self.send_keyed_calls(rng),
            lambda: self.set_drop_rate(rng.choice((0.0, 0.05, 0.3))),
            lambda: self.set_service_time(rng),
            lambda: self.set_failure_rate(rng),
            lambda: self.drain(rng.choice(OWNERS)),
            lambda: self.crash(rng.choice(OWNERS[2:])),
            lambda: self.mesh.split({rng.choice(OWNERS)}),
            self.repair,
        )
        for _ in range(40):
            rng.choice(actions)()
            self.mesh.run(rng.choice((0.001, 0.01, 0.1, 1.0)))

    def send_calls(self, rng, count):
        for _ in range(count):
            path = rng.choice(("/lots", "/payments"))
            self.mesh.call(rng.choice(ENTRIES), path=path)

    def send_keyed_calls(self, rng):
        for _ in range(2):
            self.mesh.call(
                rng.choice(ENTRIES),
                path="/payments",
                key=rng.choice(KEYS),
            )

    @stateful.rule(name=st.sampled_from(ENTRIES), key=st.sampled_from(KEYS))
    def pay(self, name, key):
        self.mesh.call(name, path="/payments", key=key)

    @stateful.rule(drop=st.sampled_from((0.0, 0.1, 0.5)))
    def set_drop_rate(self, drop):
        self.mesh.faults = fake_mesh.Faults(drop_probability=drop)

    @stateful.rule(name=st.sampled_from(OWNERS))
    def drain(self, name):
        if self.mesh.nodes[name].alive:
            self.mesh.nodes[name].drain()

    def set_service_time(self, rng):
        slow_s = rng.choice((0.005, 0.05, 3.0))
        node = self.mesh.nodes[rng.choice(OWNERS)]
        node.service_s = lambda _: slow_s

    def set_failure_rate(self, rng):
        share = rng.choice((0.0, 0.5, 1.0))
        node = self.mesh.nodes[rng.choice(OWNERS)]
        node.should_fail = lambda _: self.mesh.random.random() < share

    def crash(self, name):
        if self.mesh.nodes[name].alive:
            self.mesh.nodes[name].crash()

    @stateful.rule()
    def repair(self):
        self.mesh.heal()
        for name in OWNERS:
            node = self.mesh.nodes[name]
            node.service_s = lambda _: 0.01
            node.should_fail = lambda _: False
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
