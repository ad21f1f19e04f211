"""Fuzz test of the reducer with well-formed but meaningless messages.

An authenticated peer may run other code, hold outdated state or send late
messages. No message may make the reducer fail or the configuration version
decrease.
"""

import hypothesis
from hypothesis import strategies as st

from monsoonpass import codec
from monsoonpass.core import events
from monsoonpass.core import reducer
from monsoonpass.core import step
from monsoonpass.core.agreement import consensus_records as records
from monsoonpass.core.agreement import control_state_machine
from monsoonpass.core.calls import call_messages
from monsoonpass.core.distribution import catalog as catalog_lib
from monsoonpass.core.keys import ledger
from tests import fake_calls
from tests import fake_mesh

NAMES = ("v0", "o0", "o1", "e0", "stranger")
IDENTITY = (
    fake_calls.make_call_mesh(seed_number=4, nodes=1)
    .nodes["v0"]
    .state.control.identity
)
NUMBERS = (
    st.integers(0, 6)
    | st.integers(0, 2**40)
    | st.sampled_from((IDENTITY.group, IDENTITY.replica_id))
)
TEXTS = st.sampled_from(("shop", "a", "b", "k", ""))
VALID_DATA = (
    b"",
    codec.encode(records.Members(members=())),
    codec.encode(
        control_state_machine.AcceptVersion(
            delta=catalog_lib.EMPTY_CATALOG.delta_to(
                fake_mesh.make_catalog(9, "z")
            )
        )
    ),
)

st.register_type_strategy(int, NUMBERS)
st.register_type_strategy(str, TEXTS)
st.register_type_strategy(bytes, st.sampled_from((b"", b"x" * 16)))
st.register_type_strategy(
    float, st.floats(0, 10_000, allow_nan=False, allow_infinity=False)
)
st.register_type_strategy(
    fake_mesh.address_lib.Address,
    st.sampled_from(NAMES).map(fake_mesh.make_address),
)
st.register_type_strategy(
    catalog_lib.Snapshot,
    st.sampled_from(
        [fake_mesh.make_catalog(v, "a", "b").snapshot() for v in (0, 1, 5)]
    ),
)


def received_types() -> list[type]:
    """Return all message types that the reducer handles, except records."""
    skipped = (object, records.Entry, records.LogSnapshot)
    return [
        cls
        for cls in step.handle_message.registry
        if cls not in skipped and cls.__module__ != call_messages.__name__
    ]


def messages() -> st.SearchStrategy:
    """Return a strategy for messages of every type."""
    return st.one_of([st.from_type(cls) for cls in received_types()])


def make_states() -> list:
    """Return a voter that leads, an owner and an entry node."""
    mesh = fake_calls.make_call_mesh(seed_number=4, nodes=2)
    mesh.call("e0")
    return [mesh.nodes[name] for name in ("v0", "o0", "e0")]


class TestMeaninglessMessages:
    @hypothesis.settings(max_examples=60)
    @hypothesis.given(
        st.lists(st.tuples(st.sampled_from(NAMES), messages()), max_size=12)
    )
    def test_no_message_makes_the_reducer_fail(self, sequence):
        for node in make_states():
            state = node.state
            now_s = node.mesh.now_s
            before = state.config.version
            for name, message in sequence:
                now_s += 0.01
                if not is_well_formed(message):
                    continue
                event = events.PeerMessage(
                    now_s=now_s,
                    random_bits=7,
                    sender=fake_mesh.make_address(name),
                    message=message,
                )
                reducer.step(event, state)
                assert state.config.version >= before, (
                    "the version in force decreased"
                )
                before = state.config.version


def is_well_formed(message) -> bool:
    """Return whether a member that runs this code could send the message.

    The safety of the replicated log relies on members that follow the
    protocol, so log entries and snapshots of the log are not sent here.
    """
    return not isinstance(message, records.Append | records.InstallSnapshot)


assert ledger  # Imported to register its messages.
