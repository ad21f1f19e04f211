"""Cost of a node against size, for the capacity page.

Each cost is measured at three sizes or more and reported with the slope of the
fitted line, which is the cost per member, service, key, link or call.
"""

from collections.abc import Callable
import dataclasses
import gc
import itertools
import pathlib
import statistics
import time
import tracemalloc

import anyio
from tests import fake_mesh

from benchmarks import fleet as fleet_lib
from benchmarks import hop
from monsoonpass import codec
from monsoonpass.core import address as address_lib
from monsoonpass.core import events
from monsoonpass.core import node as node_lib
from monsoonpass.core import reducer
from monsoonpass.core import timers
from monsoonpass.core.distribution import catalog as catalog_lib
from monsoonpass.core.distribution import config_messages
from monsoonpass.core.distribution import push_tree
from monsoonpass.core.keys import ledger
from monsoonpass.core.membership import member as member_lib
from monsoonpass.formats import operator_text
from monsoonpass.runtime import link as link_lib
from monsoonpass.standin import local_mesh


def run(options: dict[str, str], folder: pathlib.Path) -> dict[str, object]:
    """Measure the cost per member, service, key, link and call."""
    return {
        "members": _measure_members([100, 300, 1000, 3000]),
        "services": _measure_services([100, 500, 2300]),
        "keys": _measure_keys([1000, 5000, 20000]),
        "links": _measure_links(folder, [20, 60, 120]),
        "calls": _measure_calls(folder, [500, 1000, 2000]),
    }


def fit_slope(points: dict[int, float]) -> float:
    """Return the least-squares slope of value against size."""
    result = statistics.linear_regression(
        list(points.keys()), list(points.values())
    )
    return result.slope


def _report(
    points: dict[int, float], unit: str, digits: int = 4
) -> dict[str, object]:
    """Return the rounded values by size and their slope with its unit."""
    rounded: dict[str, object] = {
        str(size): round(value, digits) for size, value in points.items()
    }
    rounded["slope"] = f"{fit_slope(points):.3g} {unit}"
    return rounded


def _measure_cpu_ms(function: Callable[[], object], repeats: int = 20) -> float:
    """Return the median processor time of a function, in milliseconds."""
    times = []
    for _ in range(repeats):
        started_s = time.process_time_ns()
        function()
        times.append((time.process_time_ns() - started_s) / 1e6)
    return statistics.median(times)


def _measure_memory_bytes(make: Callable[[], object]) -> float:
    """Return the memory that a new object allocates and keeps, in bytes."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del made
    return float(size_bytes)


def _make_node(members: int) -> node_lib.Node:
    """Return the state of a started node with a number of known members."""
    settings = node_lib.Settings(
        address=fake_mesh.make_address("n0"),
        data_centre="a",
        region="r",
        has_disk=False,
        seeds=(),
        bootstrap_voters=(),
    )
    state = node_lib.Node(settings=settings)
    reducer.step(
        events.Started(now_s=1.0, random_bits=1, wall_ms=1, journal=()), state
    )
    for number in range(1, members):
        state.membership.table.put(_make_member(number), 1.0)
    return state


def _make_member(number: int) -> member_lib.Member:
    return member_lib.Member(
        address=address_lib.Address(
            instance=f"instance-{number:05d}", host="10.0.0.1", port=7000
        ),
        data_centre="a",
        incarnation=number,
        state=member_lib.MemberState.ALIVE,
        has_disk=False,
        service=f"service-{number % 200}",
        slots=12,
        upstream=member_lib.UpstreamState.READY,
    )


def _measure_members(sizes: list[int]) -> dict[str, object]:
    memory, probe, ping, push_order = {}, {}, {}, {}
    update: dict[int, float] = {}
    for size in sizes:
        memory[size] = (
            _measure_memory_bytes(lambda s=size: _make_node(s)) / 1024
        )
        state = _make_node(size)
        timer_event = events.TimerFired(
            now_s=2.0, random_bits=5, timer=timers.ProbeDue()
        )
        probe[size] = _measure_cpu_ms(
            lambda s=state, e=timer_event: reducer.step(e, s)
        )
        ping_message = member_lib.Ping(
            number=1, version=0, table_digest=0, updates=()
        )
        ping_event = events.PeerMessage(
            now_s=2.0,
            random_bits=5,
            sender=_make_member(1).address,
            message=ping_message,
        )
        ping[size] = _measure_cpu_ms(
            lambda s=state, e=ping_event: reducer.step(e, s)
        )
        update[size] = _measure_cpu_ms(_make_update_step(state))
        push = config_messages.Push(
            version=0,
            delta=catalog_lib.EMPTY_CATALOG.delta_to(
                catalog_lib.EMPTY_CATALOG
            ).packed,
            root_instance=state.settings.address.instance,
        )
        push_order[size] = _measure_cpu_ms(
            lambda s=state, p=push: _forward_push_again(s, p)
        )
    return {
        "state_kib": _report(memory, "KiB per member"),
        "probe_ms": _report(probe, "ms per member"),
        "ping_ms": _report(ping, "ms per member"),
        "news_ms": _report(update, "ms per member"),
        "push_order_ms": _report(push_order, "ms per member"),
    }


def _make_update_step(state: node_lib.Node) -> Callable[[], object]:
    """Return a function that feeds a node a rumour of one changed member."""
    member = _make_member(1)
    numbers = itertools.count(member.incarnation + 1)

    def step() -> object:
        changed = dataclasses.replace(member, incarnation=next(numbers))
        event = events.PeerMessage(
            now_s=2.0,
            random_bits=5,
            sender=_make_member(2).address,
            message=member_lib.Rumour(updates=(changed,)),
        )
        return reducer.step(event, state)

    return step


def _forward_push_again(state, push) -> None:
    """Forward a push after clearing the record of members it was sent to."""
    state.config.forwarded_to.clear()
    push_tree.forward_push(state, push)


def make_operator_text(services: int, version: int = 1) -> str:
    """Return an operator text of services with two routes each.

    Each service depends on up to three services before it.
    """
    lines = [f"version: {version}", "services:"]
    for number in range(services):
        dependencies = [f"s{n}" for n in range(max(0, number - 3), number)]
        lines += [
            f"  s{number}:",
            f"    depends_on: [{', '.join(dependencies)}]",
            "    routes:",
            "      - path: /items",
            "        methods: [GET]",
            f"        deadline: {500 + version}ms",
            "      - path: /orders",
            "        methods: [POST]",
        ]
    return "\n".join(lines) + "\n"


def _measure_services(sizes: list[int]) -> dict[str, object]:
    memory, compile_ms, apply_ms, snapshot = {}, {}, {}, {}
    delta_bytes = {}
    for size in sizes:
        text = make_operator_text(size)
        base = operator_text.compile_text(text)
        services = dict(base.services)
        services["s0"] = operator_text.compile_text(
            make_operator_text(1, version=9)
        ).services["s0"]
        changed = catalog_lib.Catalog(version=2, services=services)
        delta = base.delta_to(changed)
        memory[size] = (
            _measure_memory_bytes(lambda t=text: operator_text.compile_text(t))
            / 1024
        )
        compile_ms[size] = _measure_cpu_ms(
            lambda t=text: operator_text.compile_text(t), repeats=3
        )
        apply_ms[size] = _measure_cpu_ms(lambda b=base, d=delta: b.apply(d))
        snapshot[size] = len(codec.encode(base.snapshot())) / 1024
        delta_bytes[size] = float(len(codec.encode(delta)))
    return {
        "state_kib": _report(memory, "KiB per service"),
        "compile_ms": _report(compile_ms, "ms per service"),
        "apply_delta_ms": _report(apply_ms, "ms per service"),
        "snapshot_kib": _report(snapshot, "KiB per service"),
        "delta_bytes": _report(delta_bytes, "bytes per service"),
    }


def _measure_keys(sizes: list[int]) -> dict[str, object]:
    memory, claim = {}, {}

    def fill(size: int) -> ledger.Ledger:
        key_ledger = ledger.Ledger()
        for number in range(size - 1):
            key_ledger.claim(_make_claim(number))
        return key_ledger

    for size in sizes:
        memory[size] = _measure_memory_bytes(lambda s=size: fill(s)) / 1024
        key_ledger = fill(size)
        claim[size] = _measure_cpu_ms(
            lambda b=key_ledger: b.claim(_make_claim(0))
        )
    return {
        "state_kib": _report(memory, "KiB per key"),
        "claim_ms": _report(claim, "ms per key"),
    }


def _make_claim(number: int) -> ledger.ClaimKey:
    return ledger.ClaimKey(
        service="shop",
        key=f"key-{number:08d}",
        fingerprint=bytes(8),
        claimant=ledger.Claimant(instance="n0", call_id=number),
        now_ms=0,
    )


def _measure_links(folder: pathlib.Path, sizes: list[int]) -> dict[str, object]:
    """Measure the resident memory of a daemon by number of peer links."""
    memory = {}
    specs = (local_mesh.NodeSpec(instance="hub"),)
    with fleet_lib.Fleet(
        specs=specs, voters=["hub"], folder=folder / "links"
    ) as fleet:
        hub = fleet.nodes[0]
        time.sleep(1.0)
        for size in sizes:
            memory[size] = anyio.run(_memory_with_links, fleet, hub, size)
    return {"resident_kib": _report(memory, "KiB per link", 0)}


async def _memory_with_links(
    fleet: fleet_lib.Fleet, hub: local_mesh.LocalNode, count: int
) -> float:
    streams = []
    for number in range(count):
        stream = await anyio.connect_tcp("127.0.0.1", hub.peer_port)
        await link_lib.perform_handshake(
            stream,
            mesh="local",
            secret=b"only-for-loopback",
            sender=fake_mesh.make_address(f"peer-{count}-{number}"),
            data_centre="mvd-a",
            incarnation=1,
        )
        streams.append(stream)
    await anyio.sleep(0.5)
    memory_kib = fleet.memory_bytes(hub) / 1024
    for stream in streams:
        await stream.aclose()
    await anyio.sleep(0.3)
    return memory_kib


def _measure_calls(folder: pathlib.Path, sizes: list[int]) -> dict[str, object]:
    """Measure the processor time of two daemons by number of calls."""
    entry_ms, owner_ms = {}, {}
    with fleet_lib.run_pair(folder / "calls", hop.OPERATOR_TEXT) as pair:
        fleet, entry, owner = pair.fleet, pair.entry, pair.owner
        for size in sizes:
            before = fleet.cpu_s(entry), fleet.cpu_s(owner)
            anyio.run(hop.make_calls, entry.caller_port, "shop", size, 0.0)
            entry_ms[size] = 1000 * (fleet.cpu_s(entry) - before[0])
            owner_ms[size] = 1000 * (fleet.cpu_s(owner) - before[1])
    return {
        "entry_cpu_ms": _report(entry_ms, "ms per call", 0),
        "owner_cpu_ms": _report(owner_ms, "ms per call", 0),
    }
