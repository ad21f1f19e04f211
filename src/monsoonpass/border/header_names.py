"""Names of the headers between callers, nodes and upstreams."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeaderNames:
    """Header names in lower case; an empty one stands for none.

    Attributes:
        timeout_ms: How long a caller waits, and an upstream may work.
        call_id: Names one try of a caller; upstreams repeat it.
        upstream_id: Names the upstream that may run the call.
        not_run: Stands in answers of upstreams that did not run the call.
        caller_service: Service of the instance where the call began.
        proof: Stands in every answer that an upstream made.
        retry_after_decimals: Digits after the point in Retry-After.
    """

    timeout_ms: bytes = b"monsoonpass-timeout-ms"
    call_id: bytes = b""
    upstream_id: bytes = b""
    not_run: bytes = b""
    caller_service: bytes = b""
    proof: bytes = b""
    retry_after_decimals: int = 0
