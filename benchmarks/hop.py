"""Latency that the mesh adds to a call, with and without a hop to a peer."""

import pathlib
import time

import anyio
import h11

from benchmarks import fleet as fleet_lib
from benchmarks import histogram

OPERATOR_TEXT = """
version: 1
services:
  shop:
    routes:
      - path: /
        idempotent: true
        deadline: 5s
"""


async def make_calls(
    port: int,
    host: str,
    count: int,
    pause_s: float,
    *,
    method: str = "GET",
    key_prefix: str = "",
    target: str = "/lots?ms=0",
    body: bytes = b"",
) -> list[float]:
    """Make calls in sequence on one keep-alive connection.

    Args:
        port: Loopback port to connect to.
        host: Host header, which names the service.
        count: Number of calls.
        pause_s: Pause after each call.
        method: HTTP method.
        key_prefix: Prefix of the idempotency keys; empty for calls without
            keys.
        target: Path and query.
        body: Body of each request.

    Returns:
        The latency of each call, in seconds.
    """
    connection = h11.Connection(h11.CLIENT)
    stream = await anyio.connect_tcp("127.0.0.1", port)
    latencies = []
    for number in range(count):
        headers = [("host", host)]
        if key_prefix:
            headers.append(("idempotency-key", f"{key_prefix}-{number}"))
        if body:
            headers.append(("content-length", str(len(body))))
        started_s = time.perf_counter()
        request = h11.Request(method=method, target=target, headers=headers)
        data = connection.send(request)
        if body:
            data += connection.send(h11.Data(data=body))
        data += connection.send(h11.EndOfMessage())
        await stream.send(data)
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive())
            elif isinstance(event, h11.Response):
                assert event.status_code == 200, event
            elif isinstance(event, h11.EndOfMessage):
                break
        connection.start_next_cycle()
        latencies.append(time.perf_counter() - started_s)
        if pause_s:
            await anyio.sleep(pause_s)
    await stream.aclose()
    return latencies


def run(options: dict[str, str], folder: pathlib.Path) -> dict[str, object]:
    """Measure calls to the upstream, through its owner, and through a hop.

    The three paths take turns in each round, so that a change of the machine's
    load affects all of them alike.
    """
    count = int(options["calls"])
    pause_s = float(options["pause_ms"]) / 1000.0
    rounds = int(options["rounds"])
    latencies_by_path: dict[str, list[float]] = {}
    with fleet_lib.run_pair(folder, OPERATOR_TEXT) as pair:
        entry, owner = pair.entry, pair.owner
        targets = {
            "none": pair.upstream_port,
            "direct": owner.caller_port,
            "hop": entry.caller_port,
        }
        for _ in range(rounds):
            for name, port in targets.items():
                latencies = anyio.run(make_calls, port, "shop", count, pause_s)
                latencies_by_path.setdefault(name, []).extend(latencies)
    return histogram.compare(latencies_by_path, baseline="none")
