"""Tests of the owner's side of calls."""

import types

import anyio
import pytest

from monsoonpass.border import header_names
from monsoonpass.core.calls import outcome
from monsoonpass.core.membership import member as member_lib
from monsoonpass.runtime import body as body_lib
from monsoonpass.runtime import owner as owner_lib


class SlowPool:
    """Gives a connection once something has happened to the upstream."""

    upstream_id = b""
    number = 1

    def __init__(self, happens):
        self._happens = happens
        self.released = 0

    async def acquire(self, now_s, *, idempotent):
        connection = types.SimpleNamespace(number=self.number)
        self._happens(self)
        return connection

    async def release(self, connection, now_s, *, reuse):
        assert not reuse
        self.released += 1


class TestLeaving:
    """A call waits for a connection while its upstream goes."""

    def refuse(self, happens) -> outcome.Reason:
        """Return why a call is not sent after something has happened.

        Args:
            happens: Called with the pool and the state of admission.
        """
        admission = types.SimpleNamespace(
            upstream=member_lib.UpstreamState.READY
        )
        engine = types.SimpleNamespace(
            on=lambda effect, performer: None,
            state=types.SimpleNamespace(admission=admission),
        )
        pool = SlowPool(lambda pool: happens(pool, admission))
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
            upstream=1,
        )
        with pytest.raises(owner_lib.NotRunError) as caught:
            anyio.run(owner._exchange, work, None, 0.0)
        assert not work.head_sent
        assert pool.released == 1
        return caught.value.reason

    def test_call_is_not_sent_to_one_that_left_meanwhile(self):
        """Guard: `DRAINING` in owner._check_current."""

        def leave(pool, admission):
            admission.upstream = member_lib.UpstreamState.DRAINING

        assert self.refuse(leave) is outcome.Reason.DRAINING

    def test_call_is_not_sent_to_the_process_that_took_the_place(self):
        """Guard: the comparison of numbers in owner._check_current."""

        def replace(pool, admission):
            pool.number = 2

        assert self.refuse(replace) is outcome.Reason.UPSTREAM_REPLACED
