"""Passes the local upstream's answer to a caller of the same node."""

from typing import Any
from typing import Protocol

from monsoonpass.core.calls import outcome
from monsoonpass.runtime import body as body_lib
from monsoonpass.runtime import exchange as exchange_lib


class EntryHandler(Protocol):
    """Operations of the entry node's request handler that the sink uses."""

    def start_body_transfer(
        self,
        exchange: exchange_lib.Exchange,
        pipe: body_lib.Pipe,
    ) -> None:
        """Start moving the rest of a request body into a pipe."""

    def report_local_answer_started(
        self, exchange: exchange_lib.Exchange
    ) -> None:
        """Report to the reducer that the local upstream began to answer."""


class LocalSink:
    """Queues the local upstream's answer for the caller."""

    def __init__(
        self,
        *,
        handler: EntryHandler,
        exchange: exchange_lib.Exchange,
        pipe: body_lib.Pipe,
    ):
        self._handler = handler
        self._exchange = exchange
        self._pipe = pipe
        self._credit = body_lib.Credit(size_bytes=body_lib.WINDOW_BYTES)
        self._fed = False

    def request_credit(self, size_bytes: int) -> None:
        """Start reading the rest of the request body from the caller.

        The pipe limits how much is read ahead, so the size is not used.
        """
        self._handler.start_body_transfer(self._exchange, self._pipe)

    async def send_answer(
        self, status: int, headers: Any, body: bytes, digest: bytes
    ) -> None:
        """Queue a complete answer."""
        self._exchange.put(
            exchange_lib.AnswerPart(
                status=status, headers=headers, body=body, ended=True
            )
        )

    async def start_answer(
        self, status: int, headers: Any, body: bytes
    ) -> None:
        """Queue the head of an answer whose body follows in chunks."""
        self._handler.report_local_answer_started(self._exchange)
        await self._credit.spend(len(body))
        self._exchange.put(
            exchange_lib.AnswerPart(
                status=status,
                headers=headers,
                body=body,
                credit=self._credit.grant,
            )
        )

    async def send_chunk(self, body: bytes) -> None:
        """Queue a chunk once the caller has read enough of the earlier ones."""
        await self._credit.spend(len(body))
        self._exchange.put(
            exchange_lib.AnswerPart(body=body, credit=self._credit.grant)
        )

    async def finish_answer(self, digest: bytes) -> None:
        """End an answer that `start_answer` began."""
        self._exchange.put(exchange_lib.AnswerPart(ended=True))

    def fail(self, failure: outcome.Failure) -> None:
        """Do nothing: the reducer decides which failure the caller gets."""
