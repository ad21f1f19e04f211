"""Measures the share of calls that quotas pass, and their messages.

Entry nodes and allocators run in virtual time with a fake network, without
reducers. The processor time of an exchange is measured with the encoding of its
messages, but without sending them.
"""

import collections
import pathlib
import time

from tests import fake_quotas

from monsoonpass import codec

WARM_UP_S = 12.0
LAST_WAIT_S = 2.5  # After an interval, for calls that still wait.


def run(options: dict[str, str], folder: pathlib.Path) -> dict[str, object]:
    """Measure the usual case, changes of leader, cuts and large demand."""
    del folder
    result: dict[str, object] = {}
    for burst_s in (float(text) for text in options["bursts_s"].split()):
        result[f"burst {burst_s:g} s"] = {
            "usual": _measure_usual(options, burst_s),
            "demand at 0.95 of the limits": _measure_usual(
                options, burst_s, demand=0.95
            ),
            "leader crashes": _measure_leader_loss(options, burst_s),
            "leader is cut off": _measure_leader_loss(
                options, burst_s, crashed=False
            ),
            "a quarter of the nodes is cut off": _measure_cut(options, burst_s),
            "large workspace at 7.5 times": _measure_large(options, burst_s),
            "all lose power": _measure_power_loss(options, burst_s),
        }
    return result


def _make_sim(
    options: dict[str, str], burst_s: float, demand: float = 0.6
) -> fake_quotas.QuotaSim:
    workspaces = fake_quotas.make_workspaces(
        count=int(options["workspaces"]), burst_s=burst_s
    )
    for workspace in workspaces:
        workspace.demand_per_s = demand * workspace.rate_per_s
    sim = fake_quotas.QuotaSim(
        seed=int(options["seed"]),
        nodes=int(options["nodes"]),
        workspaces=workspaces,
    )
    sim.run(WARM_UP_S)
    return sim


def _measure_usual(
    options: dict[str, str], burst_s: float, demand: float = 0.6
) -> dict[str, object]:
    sim = _make_sim(options, burst_s, demand)
    seconds = float(options["seconds"])
    spent: collections.Counter[str] = collections.Counter()
    _count_cost(sim, spent)
    before, begin_s = sim.messages, sim.now_s
    sim.run(seconds)
    sent, end_s = sim.messages - before, sim.now_s
    sim.run(LAST_WAIT_S)
    sim.check_bound()
    calls = [c for c in sim.calls if begin_s <= c.arrived_s < end_s]
    waits_s = sorted(
        c.ended_s - c.arrived_s for c in calls if c.admitted and c.ended_s
    )
    return {
        "calls_per_s": round(len(calls) / seconds, 1),
        "passed_share": round(sim.passed_share(begin_s, end_s), 5),
        "waited_share": round(sum(w > 0 for w in waits_s) / len(waits_s), 3),
        "wait_p99_ms": round(1e3 * waits_s[int(0.99 * len(waits_s))], 1),
        "messages_per_s": round(sent / seconds, 1),
        "exchanges_per_node_and_s": round(
            sent / 2.0 / seconds / len(sim.nodes), 2
        ),
        "bytes_per_message": round(spent["bytes"] / spent["messages"], 1),
        "allocator_us_per_request": round(
            1e6 * spent["allocator_s"] / spent["requests"], 1
        ),
    }


def _count_cost(
    sim: fake_quotas.QuotaSim, spent: collections.Counter[str]
) -> None:
    """Count bytes and processor time of the messages from now on."""
    send_request = sim.send_request
    handle = sim.leader.allocator.handle

    def send(node: object, request: object, target: object) -> None:
        spent["bytes"] += len(codec.encode(request))
        spent["messages"] += 1
        send_request(node, request, target)

    def timed_handle(request: object, **fields: object) -> object:
        data = codec.encode(request)
        begin_s = time.process_time()
        reply = handle(codec.decode(data), **fields)
        encoded = codec.encode(reply) if reply is not None else b""
        spent["allocator_s"] += time.process_time() - begin_s
        spent["requests"] += 1
        if encoded:
            spent["bytes"] += len(encoded)
            spent["messages"] += 1
        return reply

    sim.send_request = send
    sim.leader.allocator.handle = timed_handle


def _passed_by_second(
    sim: fake_quotas.QuotaSim, begin_s: float, seconds: int
) -> dict[str, float]:
    sim.run(LAST_WAIT_S)
    sim.check_bound()
    return {
        f"passed_share_{second}_s": round(
            sim.passed_share(begin_s + second, begin_s + second + 1.0), 4
        )
        for second in range(seconds)
    }


def _measure_leader_loss(
    options: dict[str, str], burst_s: float, *, crashed: bool = True
) -> dict[str, object]:
    sim = _make_sim(options, burst_s)
    begin_s, before = sim.now_s, sim.messages
    sim.lose_leader(crashed=crashed)
    sim.run(8.0)
    sent = sim.messages - before
    started_s = sim.leader.start_s - begin_s
    return {
        "new_leader_after_s": round(started_s, 2),
        "messages_per_s": round(sent / 8.0, 1),
        "passed_share": round(sim.passed_share(begin_s, begin_s + 8.0), 4),
        **_passed_by_second(sim, begin_s, 8),
    }


def _measure_cut(options: dict[str, str], burst_s: float) -> dict[str, object]:
    sim = _make_sim(options, burst_s)
    begin_s = sim.now_s
    for node in sim.nodes[::4]:
        node.is_cut = True
    sim.run(16.0)
    for node in sim.nodes:
        node.is_cut = False
    sim.run(4.0)
    return _passed_by_second(sim, begin_s, 20)


def _measure_large(
    options: dict[str, str], burst_s: float
) -> dict[str, object]:
    sim = _make_sim(options, burst_s)
    name = "w3"
    sim.demand_factors[name] = 7.5
    begin_s, before = sim.now_s, sim.messages
    sim.run(6.0)
    sent = sim.messages - before
    others = [
        call
        for call in sim.calls
        if call.workspace != name and begin_s <= call.arrived_s < sim.now_s - 1
    ]
    admitted = sum(time_s >= begin_s for time_s in sim.admissions[name])
    workspace = sim.workspaces[name]
    sim.run(LAST_WAIT_S)
    sim.check_bound()
    return {
        "admitted_per_s": round(admitted / 6.0, 1),
        "limit_per_s": round(workspace.rate_per_s, 1),
        "passed_share_of_others": round(
            sum(call.admitted for call in others) / len(others), 4
        ),
        "messages_per_s": round(sent / 6.0, 1),
    }


def _measure_power_loss(
    options: dict[str, str], burst_s: float
) -> dict[str, object]:
    """Measure the time after a start of all nodes that had a predecessor."""
    workspaces = fake_quotas.make_workspaces(
        count=int(options["workspaces"]), burst_s=burst_s
    )
    sim = fake_quotas.QuotaSim(
        seed=int(options["seed"]),
        nodes=int(options["nodes"]),
        workspaces=workspaces,
        is_first_start=False,
    )
    begin_s = sim.now_s
    sim.run(10.0)
    return _passed_by_second(sim, begin_s, 10)
