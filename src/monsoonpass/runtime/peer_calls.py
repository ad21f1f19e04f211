"""Calls that other nodes forward to the upstream of this node."""

from collections.abc import Callable
from typing import Any

from monsoonpass import errors
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core.calls import call_messages as messages
from monsoonpass.core.calls import outcome
from monsoonpass.runtime import body as body_lib
from monsoonpass.runtime import engine as engine_lib
from monsoonpass.runtime import link as link_lib
from monsoonpass.runtime import mesh as mesh_lib
from monsoonpass.runtime import outcome_cache as outcome_cache_lib
from monsoonpass.runtime import upload_scheduler as upload_scheduler_lib
from monsoonpass.runtime import upstream_runner as upstream_runner_lib

_ANSWER_DROPPED = outcome.Failure(
    outcome=outcome.Outcome.FAILED, reason=outcome.Reason.LINK_LOST
)
_OUTCOME_UNKNOWN = outcome.Failure(
    outcome=outcome.Outcome.UNKNOWN, reason=outcome.Reason.LINK_LOST
)
_NEVER_RECEIVED = outcome.Failure(
    outcome=outcome.Outcome.NOT_RUN, reason=outcome.Reason.LINK_LOST
)


class RemoteSink:
    """Sends the answer of the local upstream to the call's entry node.

    Attributes:
        credit: Bytes of the answer body that may be sent.
    """

    def __init__(
        self,
        *,
        engine: engine_lib.Engine,
        mesh: mesh_lib.Mesh,
        link: link_lib.Link,
        call: int,
        outcome_cache: outcome_cache_lib.OutcomeCache,
        upload_scheduler: upload_scheduler_lib.UploadScheduler,
    ):
        self._engine = engine
        self._mesh = mesh
        self._link = link
        self._call = call
        self._outcome_cache = outcome_cache
        self._answer_started = False
        self._upload = upload_scheduler.open_upload(self._grant)
        self.credit = body_lib.Credit(size_bytes=body_lib.WINDOW_BYTES)

    @property
    def answer_started(self) -> bool:
        """Whether sending the answer in chunks has begun."""
        return self._answer_started

    def switch_link(self, link: link_lib.Link) -> None:
        """Send the answer over another link to the same peer."""
        self._link = link

    def request_credit(self, size_bytes: int) -> None:
        """Request that the entry node may send more of the request body.

        `UploadScheduler` grants the credit when it is the upload's turn.
        """
        self._upload.request(size_bytes)

    def count_received(self, size_bytes: int) -> None:
        """Count received bytes of the request body."""
        self._upload.count_received(size_bytes)

    def _grant(self, size_bytes: int) -> None:
        message = messages.CallCredit(call=self._call, size_bytes=size_bytes)
        self._mesh.send_on_link(self._link, message)

    async def send_answer(
        self, status: int, headers: Any, body: bytes, digest: bytes
    ) -> None:
        """Send a complete answer in one message."""
        self._upload.close()
        message = messages.AnswerHead(
            call=self._call,
            status=status,
            headers=headers,
            load=self._load(),
            body=body,
            ended=True,
            digest=digest,
        )
        self._outcome_cache.add(self._link.peer.instance, message)
        self._mesh.send_on_link(
            self._link, message, bulk=len(body) > body_lib.CHUNK_BYTES
        )

    async def start_answer(
        self, status: int, headers: Any, body: bytes
    ) -> None:
        """Send the head of an answer whose body follows in chunks."""
        self._answer_started = True
        await self.credit.spend(len(body))
        message = messages.AnswerHead(
            call=self._call,
            status=status,
            headers=headers,
            load=self._load(),
            body=body,
            ended=False,
            digest=b"",
        )
        self._mesh.send_on_link(self._link, message, bulk=True)

    async def send_chunk(self, body: bytes) -> None:
        """Send a chunk of the body once the entry node has granted credit."""
        await self.credit.spend(len(body))
        message = messages.AnswerBody(
            call=self._call, body=body, ended=False, digest=b""
        )
        self._mesh.send_on_link(self._link, message, bulk=True)

    async def finish_answer(self, digest: bytes) -> None:
        """End the answer and send the digest of its body.

        Streamed bodies are not kept, so a later outcome query is answered
        with a failure.
        """
        self._upload.close()
        self._outcome_cache.add(
            self._link.peer.instance, self._failure_message(_ANSWER_DROPPED)
        )
        message = messages.AnswerBody(
            call=self._call, body=b"", ended=True, digest=digest
        )
        self._mesh.send_on_link(self._link, message, bulk=True)

    def fail(self, failure: outcome.Failure) -> None:
        """Send a failure instead of an answer."""
        self._upload.close()
        message = self._failure_message(failure)
        self._outcome_cache.add(self._link.peer.instance, message)
        self._mesh.send_on_link(self._link, message)

    def _failure_message(
        self, failure: outcome.Failure
    ) -> messages.AnswerFailed:
        return messages.AnswerFailed(
            call=self._call, failure=failure, load=self._load()
        )

    def _load(self) -> outcome.Load:
        return self._engine.state.admission.load(engine_lib.now_s())


class PeerCalls:
    """Receives forwarded calls and registers them with `UpstreamRunner`."""

    def __init__(
        self,
        *,
        engine: engine_lib.Engine,
        mesh: mesh_lib.Mesh,
        upstream_runner: upstream_runner_lib.UpstreamRunner,
        next_number: Callable[[], int],
        upload_scheduler: upload_scheduler_lib.UploadScheduler,
        incarnation: int,
    ):
        self._engine = engine
        self._mesh = mesh
        self._upstream_runner = upstream_runner
        self._next_number = next_number
        self._upload_scheduler = upload_scheduler
        self._incarnation = incarnation
        self._outcome_cache = outcome_cache_lib.OutcomeCache()
        self._owner_call_ids: dict[tuple[str, int], int] = {}

    def receive_call_message(self, link: link_lib.Link, message: Any) -> bool:
        """Handle an entry node's message about a forwarded call.

        Args:
            link: The link that the message arrived on.
            message: A message of `call_messages`.

        Returns:
            Whether the message was addressed to this node as the owner.
        """
        if isinstance(message, messages.CallOpen):
            self._open_call(link, message)
            return True
        if isinstance(message, messages.OutcomeQuery):
            self._answer_outcome_query(link, message)
            return True
        if not isinstance(
            message,
            messages.CallBody | messages.AnswerCredit | messages.CallCancel,
        ):
            return False
        owner_call_id = self._owner_call_ids.get(
            (link.peer.instance, message.call), 0
        )
        upstream_call = self._upstream_runner.calls.get(owner_call_id)
        if upstream_call is None:
            return True
        if isinstance(message, messages.CallBody):
            upstream_call.sink.count_received(len(message.body))
            upstream_call.pipe.push(message.body, ended=message.ended)
        elif isinstance(message, messages.AnswerCredit):
            upstream_call.sink.credit.grant(message.size_bytes)
        else:
            self._engine.feed(
                events.PeerCallCancelled, owner_call_id=owner_call_id
            )
        return True

    def fail_call(self, effect: effects.FailCall) -> None:
        """Send the failure of a forwarded call to its entry node."""
        upstream_call = self._upstream_runner.calls.pop(effect.call_id, None)
        if upstream_call is not None:
            upstream_call.sink.fail(effect.failure)

    def _prune_owner_call_ids(self) -> None:
        """Remove the entries of calls that have ended."""
        calls = self._upstream_runner.calls
        self._owner_call_ids = {
            key: owner_call_id
            for key, owner_call_id in self._owner_call_ids.items()
            if owner_call_id in calls
        }

    def _answer_outcome_query(
        self, link: link_lib.Link, message: messages.OutcomeQuery
    ) -> None:
        """Answer an entry node that lost the link during a call."""
        sender = link.peer.instance
        if message.incarnation != self._incarnation:
            self._send_failure(link, message.call, _OUTCOME_UNKNOWN)
            return
        stored = self._outcome_cache.find(sender, message.call)
        if stored is not None:
            self._mesh.send_on_link(link, stored)
            return
        owner_call_id = self._owner_call_ids.get((sender, message.call), 0)
        upstream_call = self._upstream_runner.calls.get(owner_call_id)
        if upstream_call is not None:
            self._resume_on_link(link, upstream_call, message.call)
        elif self._outcome_cache.may_have_been_evicted(sender, message.call):
            self._send_failure(link, message.call, _OUTCOME_UNKNOWN)
        else:
            # The call was never received. The cached failure makes
            # `_open_call` ignore the call if it still arrives.
            answer = self._send_failure(link, message.call, _NEVER_RECEIVED)
            self._outcome_cache.add(sender, answer)

    def _resume_on_link(
        self,
        link: link_lib.Link,
        upstream_call: upstream_runner_lib.UpstreamCall,
        call: int,
    ) -> None:
        """Continue a waiting or running call on a new link, or cancel it."""
        upstream_call.sink.switch_link(link)
        if upstream_call.sink.answer_started or not upstream_call.body_complete:
            # A part of the answer or of the request was lost with the link.
            upstream_call.pipe.fail(errors.TransportError("the link was lost"))
            self._engine.feed(
                events.PeerCallCancelled,
                owner_call_id=upstream_call.owner_call_id,
            )
            return
        self._mesh.send_on_link(link, messages.OutcomeRunning(call=call))

    def _send_failure(
        self, link: link_lib.Link, call: int, failure: outcome.Failure
    ) -> messages.AnswerFailed:
        answer = messages.AnswerFailed(
            call=call,
            failure=failure,
            load=self._engine.state.admission.load(engine_lib.now_s()),
        )
        self._mesh.send_on_link(link, answer)
        return answer

    def _open_call(
        self, link: link_lib.Link, message: messages.CallOpen
    ) -> None:
        key = (link.peer.instance, message.call)
        if (
            key in self._owner_call_ids
            or self._outcome_cache.find(*key) is not None
        ):
            return
        if (
            len(self._owner_call_ids)
            > 2 * len(self._upstream_runner.calls) + 1024
        ):
            # More than half of the entries are of ended calls, so the cost of
            # removing them is small per call.
            self._prune_owner_call_ids()
        owner_call_id = self._next_number()
        self._owner_call_ids[key] = owner_call_id
        sink = RemoteSink(
            engine=self._engine,
            mesh=self._mesh,
            link=link,
            call=message.call,
            outcome_cache=self._outcome_cache,
            upload_scheduler=self._upload_scheduler,
        )
        self._upstream_runner.calls[owner_call_id] = (
            upstream_runner_lib.UpstreamCall(
                owner_call_id=owner_call_id,
                method=message.method,
                target=message.target,
                headers=message.headers,
                body_start=message.body,
                body_complete=message.ended,
                pipe=body_lib.Pipe(),
                sink=sink,
                traceparent=message.traceparent,
            )
        )
        self._engine.feed(
            events.PeerCallArrived,
            owner_call_id=owner_call_id,
            service=message.service,
            timeout_s=message.timeout_s,
            priority=message.priority,
            bulk=message.bulk,
            route=message.route,
            reroutable=message.reroutable,
            idempotent=message.idempotent,
            objective_s=message.objective_s,
            route_priority=message.route_priority,
        )
