"""The way of the own upstream's answer to a caller of the same node."""

from typing import Any
from typing import Protocol

from monsoonpass.core.calls import outcome
from monsoonpass.runtime import body as body_lib
from monsoonpass.runtime import exchange as exchange_lib


class EntryHandler(Protocol):
    """What the sink needs of the callers' side."""

    def start_body_feed(
        self,
        exchange: exchange_lib.Exchange,
        pipe: body_lib.Pipe,
    ) -> None:
        """Move the rest of a request's body into a local pipe."""

    def report_local_answer_started(
        self, exchange: exchange_lib.Exchange
    ) -> None:
        """Tell the reducer that the own upstream's answer has begun."""


class LocalSink:
    """Passes the own upstream's answer straight to the caller."""

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
        """Take more of the request's body from the caller."""
        self._handler.start_body_feed(self._exchange, self._pipe)

    async def send_answer(
        self, status: int, headers: Any, body: bytes, digest: bytes
    ) -> None:
        """Pass on a whole answer."""
        self._exchange.put(
            exchange_lib.AnswerPart(
                status=status, headers=headers, body=body, ended=True
            )
        )

    async def start_answer(
        self, status: int, headers: Any, body: bytes
    ) -> None:
        """Begin an answer whose body follows in chunks."""
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
        """Pass on a chunk once the caller has taken enough."""
        await self._credit.spend(len(body))
        self._exchange.put(
            exchange_lib.AnswerPart(body=body, credit=self._credit.grant)
        )

    async def finish_answer(self, digest: bytes) -> None:
        """End an answer that was begun with `start_answer`."""
        self._exchange.put(exchange_lib.AnswerPart(ended=True))

    def fail(self, failure: outcome.Failure) -> None:
        """Do nothing: the reducer decides what the caller is told."""
