"""Slopes for the capacity page: cost against size, at three sizes or more."""

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
from monsoonpass.border import operator_text
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
from monsoonpass.runtime import link as link_lib
from monsoonpass.standin import local_mesh


def run(options: dict[str, str], folder: pathlib.Path) -> dict[str, object]:
    """Measure every slope."""
    return {
        "members": _members([100, 300, 1000, 3000]),
        "services": _services([100, 500, 2300]),
        "keys": _keys([1000, 5000, 20000]),
        "links": _links(folder, [20, 60, 120]),
        "calls": _calls(folder, [500, 1000, 2000]),
    }


def slope(points: dict[int, float]) -> float:
    """Return the least-squares slope of value against size."""
    result = statistics.linear_regression(
        list(points.keys()), list(points.values())
    )
    return result.slope


def _report(
    points: dict[int, float], unit: str, digits: int = 4
) -> dict[str, object]:
    rounded: dict[str, object] = {
        str(size): round(value, digits) for size, value in points.items()
    }
    rounded["slope"] = f"{slope(points):.3g} {unit}"
    return rounded


def _time_ms(call: Callable[[], object], repeats: int = 20) -> float:
    """Return the median processor time of a call, in milliseconds."""
    times = []
    for _ in range(repeats):
        started_s = time.process_time_ns()
        call()
        times.append((time.process_time_ns() - started_s) / 1e6)
    return statistics.median(times)


def _memory_bytes(make: Callable[[], object]) -> float:
    """Return the memory that an object keeps."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del made
    return float(size_bytes)


def _make_node(members: int) -> node_lib.Node:
    """Return the state of a started node that knows some members."""
    settings = node_lib.Settings(
        address=fake_mesh.address("n0"),
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


def _members(sizes: list[int]) -> dict[str, object]:
    memory, probe, ping, children = {}, {}, {}, {}
    news: dict[int, float] = {}
    for size in sizes:
        memory[size] = _memory_bytes(lambda s=size: _make_node(s)) / 1024
        state = _make_node(size)
        fired = events.TimerFired(
            now_s=2.0, random_bits=5, timer=timers.ProbeDue()
        )
        probe[size] = _time_ms(lambda s=state, e=fired: reducer.step(e, s))
        message = member_lib.Ping(
            number=1, version=0, table_digest=0, updates=()
        )
        received = events.PeerMessage(
            now_s=2.0,
            random_bits=5,
            sender=_make_member(1).address,
            message=message,
        )
        ping[size] = _time_ms(lambda s=state, e=received: reducer.step(e, s))
        news[size] = _time_ms(_make_news_step(state))
        push = config_messages.Push(
            version=0,
            delta=catalog_lib.EMPTY_CATALOG.delta_to(
                catalog_lib.EMPTY_CATALOG
            ).packed,
            root_instance=state.settings.address.instance,
        )
        children[size] = _time_ms(lambda s=state, p=push: _pass_on_anew(s, p))
    return {
        "state_kib": _report(memory, "KiB per member"),
        "probe_ms": _report(probe, "ms per member"),
        "ping_ms": _report(ping, "ms per member"),
        "news_ms": _report(news, "ms per member"),
        "push_order_ms": _report(children, "ms per member"),
    }


def _make_news_step(state: node_lib.Node) -> Callable[[], object]:
    """Return a function that lets a node hear of one changed member."""
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


def _pass_on_anew(state, push) -> None:
    """Pass a push on as if it had not been before."""
    state.config.forwarded_to.clear()
    push_tree.forward_push(state, push)


def make_text(services: int, version: int = 1) -> str:
    """Return a text of services with two routes and three dependencies."""
    lines = [f"version: {version}", "services:"]
    for number in range(services):
        needs = [f"s{n}" for n in range(max(0, number - 3), number)]
        lines += [
            f"  s{number}:",
            f"    depends_on: [{', '.join(needs)}]",
            "    routes:",
            "      - path: /items",
            "        methods: [GET]",
            f"        deadline: {500 + version}ms",
            "      - path: /orders",
            "        methods: [POST]",
        ]
    return "\n".join(lines) + "\n"


def _services(sizes: list[int]) -> dict[str, object]:
    memory, compiled, applied, snapshot = {}, {}, {}, {}
    delta_bytes = {}
    for size in sizes:
        text = make_text(size)
        base = operator_text.compile_text(text)
        services = dict(base.services)
        services["s0"] = operator_text.compile_text(
            make_text(1, version=9)
        ).services["s0"]
        newer = catalog_lib.Catalog(version=2, services=services)
        delta = base.delta_to(newer)
        memory[size] = (
            _memory_bytes(lambda t=text: operator_text.compile_text(t)) / 1024
        )
        compiled[size] = _time_ms(
            lambda t=text: operator_text.compile_text(t), repeats=3
        )
        applied[size] = _time_ms(lambda b=base, d=delta: b.apply(d))
        snapshot[size] = len(codec.encode(base.snapshot())) / 1024
        delta_bytes[size] = float(len(codec.encode(delta)))
    return {
        "state_kib": _report(memory, "KiB per service"),
        "compile_ms": _report(compiled, "ms per service"),
        "apply_delta_ms": _report(applied, "ms per service"),
        "snapshot_kib": _report(snapshot, "KiB per service"),
        "delta_bytes": _report(delta_bytes, "bytes per service"),
    }


def _keys(sizes: list[int]) -> dict[str, object]:
    memory, claimed = {}, {}

    def fill(size: int) -> ledger.Ledger:
        book = ledger.Ledger()
        for number in range(size - 1):
            book.claim(_claim(number))
        return book

    for size in sizes:
        memory[size] = _memory_bytes(lambda s=size: fill(s)) / 1024
        book = fill(size)
        claimed[size] = _time_ms(lambda b=book: b.claim(_claim(0)))
    return {
        "state_kib": _report(memory, "KiB per key"),
        "claim_ms": _report(claimed, "ms per key"),
    }


def _claim(number: int) -> ledger.ClaimKey:
    return ledger.ClaimKey(
        service="shop",
        key=f"key-{number:08d}",
        fingerprint=bytes(8),
        claimant=ledger.Claimant(instance="n0", call_id=number),
        now_ms=0,
    )


def _links(folder: pathlib.Path, sizes: list[int]) -> dict[str, object]:
    """Open streams to one daemon and read its memory."""
    memory = {}
    places = (local_mesh.Place(instance="hub"),)
    with fleet_lib.Fleet(
        places=places, voters=["hub"], folder=folder / "links"
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
        stream = await anyio.connect_tcp("127.0.0.1", hub.peers)
        await link_lib.shake_hands(
            stream,
            mesh="local",
            secret=b"only-for-loopback",
            sender=fake_mesh.address(f"peer-{count}-{number}"),
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


def _calls(folder: pathlib.Path, sizes: list[int]) -> dict[str, object]:
    """Make calls through two daemons and read their processor time."""
    entry_ms, owner_ms = {}, {}
    with fleet_lib.run_pair(folder / "calls", hop.TEXT) as pair:
        fleet, entry, owner = pair.fleet, pair.entry, pair.owner
        for size in sizes:
            before = fleet.cpu_s(entry), fleet.cpu_s(owner)
            anyio.run(hop.make_calls, entry.callers, "shop", size, 0.0)
            entry_ms[size] = 1000 * (fleet.cpu_s(entry) - before[0])
            owner_ms[size] = 1000 * (fleet.cpu_s(owner) - before[1])
    return {
        "entry_cpu_ms": _report(entry_ms, "ms per call", 0),
        "owner_cpu_ms": _report(owner_ms, "ms per call", 0),
    }
