"""Tests of the owner's side of calls."""

import types

import anyio
import pytest

from monsoonpass.border import header_names
from monsoonpass.core.membership import member as member_lib
from monsoonpass.runtime import body as body_lib
from monsoonpass.runtime import owner as owner_lib


class SlowPool:
    """Gives a connection once the upstream has announced that it leaves."""

    upstream_id = b""

    def __init__(self, admission):
        self._admission = admission
        self.released = 0

    async def acquire(self, now_s, *, idempotent):
        self._admission.upstream = member_lib.UpstreamState.DRAINING
        return object()

    async def release(self, connection, now_s, *, reuse):
        assert not reuse
        self.released += 1


class TestLeaving:
    def test_call_that_waited_for_a_connection_is_not_sent_to_one_that_left(
        self,
    ):
        """Guard: `_check_leaving` in owner."""
        admission = types.SimpleNamespace(
            upstream=member_lib.UpstreamState.READY
        )
        engine = types.SimpleNamespace(
            on=lambda effect, performer: None,
            state=types.SimpleNamespace(admission=admission),
        )
        pool = SlowPool(admission)
        owner = owner_lib.Owner(
            engine=engine,
            pool=pool,
            tracer=None,
            names=header_names.HeaderNames(),
        )
        work = owner_lib.Work(
            work_id=1,
            method="GET",
            target=b"/",
            headers=(),
            first=b"",
            ended=True,
            pipe=body_lib.Pipe(),
            sink=None,
            traceparent="",
        )
        with pytest.raises(owner_lib.NotRunError):
            anyio.run(owner._exchange, work, None, 0.0)
        assert not work.head_sent
        assert pool.released == 1
