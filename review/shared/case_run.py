"""Runs a case: a small site, its record and its exit code."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import os
import pathlib
import sys
import tempfile
import time

import platform_stand_in as stand_in

RULE_HELD = 0
RULE_BROKEN = 1
COULD_NOT_RUN = 2
RESTART_DELAY_S = 0.5


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path):
        self._started_s = time.monotonic()
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115

    def write(self, text: str) -> None:
        """Write a line with the time since the start of the case."""
        elapsed_s = time.monotonic() - self._started_s
        self._file.write(f"{elapsed_s:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line and print it."""
        self.write(text)
        print(text)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Case:
    """What a case's code needs: the site, its operator and the record.

    Attributes:
        site: The site, whose nodes run.
        operator: The operator.
        record: The record.
        trouble: Whether the disruption happens.
    """

    def __init__(self, *, site: stand_in.Site, record: Record, trouble: bool):
        self.site = site
        self.operator = stand_in.Operator(site)
        self.record = record
        self.trouble = trouble
        self._tasks: list[asyncio.Task[None]] = []

    def spawn(self, work: Awaitable[None]) -> None:
        """Run something in the background until the case ends."""
        self._tasks.append(asyncio.ensure_future(work))

    async def restart_ended(self) -> None:
        """Start nodes again that have ended by themselves, as the platform."""
        while True:
            for machine in self.site.machines:
                code = machine.ended()
                if code is None or not machine.watched:
                    continue
                lines = machine.last_log().strip().splitlines()
                last = lines[-1] if lines else ""
                machine.ends.append(code)
                self.record.say(
                    f"the node at {machine.address} ended by itself, "
                    f"code {code}: {last[:200]}"
                )
                await asyncio.sleep(RESTART_DELAY_S)
                machine.start()
            await asyncio.sleep(0.05)

    async def end(self) -> None:
        """Cancel what runs in the background."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def run(
    sidecars: list[str],
    body: Callable[[Case], Awaitable[bool]],
    *,
    limit_s: float = 110.0,
) -> None:
    """Run a case and exit with its code.

    Args:
        sidecars: The service of each sidecar machine's worker.
        body: The case; returns whether the rule was broken.
        limit_s: Longest time that the case may take.
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.say(
        f"case {folder.name}, {'with' if trouble else 'without'} trouble"
    )
    code = COULD_NOT_RUN
    try:
        code = asyncio.run(_run(sidecars, body, record, trouble, limit_s))
    except (stand_in.SetupError, OSError, TimeoutError) as error:
        record.say(f"the case could not run: {error!r}")
    record.say(f"exit code {code}")
    record.close()
    sys.exit(code)


async def _run(
    sidecars: list[str],
    body: Callable[[Case], Awaitable[bool]],
    record: Record,
    trouble: bool,
    limit_s: float,
) -> int:
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        site = stand_in.Site(folder=pathlib.Path(folder), sidecars=sidecars)
        stack.callback(site.stop)
        case = Case(site=site, record=record, trouble=trouble)
        async with asyncio.timeout(limit_s):
            site.start()
            services = sorted(set(sidecars))
            document = stand_in.configuration(1, services)
            status = await case.operator.submit(document, 0)
            if status != 200:
                raise stand_in.SetupError(f"first configuration: {status}")
            case.spawn(case.restart_ended())
            try:
                await stand_in.wait_ready(site.sidecars)
                broken = await body(case)
            finally:
                await case.end()
        return RULE_BROKEN if broken else RULE_HELD
