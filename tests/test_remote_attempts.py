"""Tests of attempts of calls at other nodes."""

import types

import anyio

from monsoonpass.core import address as address_lib
from monsoonpass.core import effects
from monsoonpass.core.calls import call_messages as messages
from monsoonpass.runtime import remote_attempts as remote_attempts_lib


class TestBodyTask:
    def test_body_task_ends_with_its_attempt(self):
        """The owner grants no more credit, and the call is cancelled.

        Guard: `credit.close()` in RemoteAttempts._cancel_forward.
        """
        performers = {}
        tasks = []
        sent = []
        engine = types.SimpleNamespace(
            set_performer=performers.__setitem__,
            feed=lambda event_type, **fields: None,
        )
        link = types.SimpleNamespace(incarnation=1)
        mesh = types.SimpleNamespace(
            send_to_peer=lambda to, message, bulk=False: link,
            send_on_link=lambda link, message, bulk=False: sent.append(message),
        )
        exchange = types.SimpleNamespace(
            body_consumed=False,
            body_complete=True,
            body_start=bytes(1_000_000),
            method="POST",
            target=b"/",
            headers=(),
            receive=None,
            span=types.SimpleNamespace(traceparent=""),
        )
        attempts = remote_attempts_lib.RemoteAttempts(
            engine=engine,
            mesh=mesh,
            exchanges={1: exchange},
            next_number=lambda: 7,
            spawn=lambda task, *args: tasks.append((task, args)),
        )
        owner = address_lib.Address(instance="o", host="h", port=1)
        performers[effects.Forward](
            effects.Forward(
                call_id=1,
                attempt=1,
                to=owner,
                service="shop",
                timeout_s=1.0,
                route="r",
                bulk=True,
                idempotent=False,
                priority=1,
                reroutable=False,
            )
        )
        credit = messages.CallCredit(call=7, size_bytes=1000)
        attempts.receive_call_message(link, credit)
        ((task, args),) = tasks

        async def run():
            with anyio.fail_after(5):
                async with anyio.create_task_group() as group:
                    group.start_soon(task, *args)
                    await anyio.wait_all_tasks_blocked()
                    cancel = effects.CancelForward(call_id=1, attempt=1)
                    performers[effects.CancelForward](cancel)

        anyio.run(run)
        bodies = [m for m in sent if isinstance(m, messages.CallBody)]
        assert len(bodies) == 1
