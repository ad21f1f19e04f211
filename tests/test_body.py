"""Tests of moving request bodies through pipes."""

import anyio

from monsoonpass.runtime import body as body_lib
from monsoonpass.runtime import caller_http


class TestClosedPipe:
    def test_transfer_ends_once_nobody_reads(self):
        """Guards against a full pipe kept for each upload answered early."""
        pipe = body_lib.Pipe()

        async def receive():
            return {
                "type": "http.request",
                "body": bytes(body_lib.CHUNK_BYTES),
                "more_body": True,
            }

        async def run():
            with anyio.fail_after(5):
                async with anyio.create_task_group() as group:
                    group.start_soon(caller_http.fill_pipe, receive, pipe)
                    await anyio.sleep(0.01)
                    pipe.close()
            pipe.push(b"late", ended=False)
            assert not pipe._chunks

        anyio.run(run)
