"""Names of the HTTP headers between callers, nodes and upstreams."""

from monsoonpass import immutable


@immutable.dataclass
class HeaderNames:
    """Header names in lower case; a header with an empty name is not used.

    Attributes:
        timeout_ms: Header with the time that a caller waits for its call, and
            the time that an upstream has for it.
        call_id: Header that identifies one attempt of a caller; upstreams
            echo it.
        upstream_id: Header that identifies the upstream that may run the call.
        not_run: Header that upstreams set if they did not run the call.
        caller_service: Header with the service of the instance where the
            call originated.
        proof: Header that every response made by an upstream carries.
        retry_after_decimals: Decimal places of the value of Retry-After.
        workspace_key: Header with the key of the caller's workspace.
        workspace_key_scheme: Authentication scheme before the key, not in
            lower case; empty if the header's value is the key.
        workspace: Header with the name of the caller's workspace, which only
            nodes set.
    """

    timeout_ms: bytes = b"monsoonpass-timeout-ms"
    call_id: bytes = b""
    upstream_id: bytes = b""
    not_run: bytes = b""
    caller_service: bytes = b""
    proof: bytes = b""
    retry_after_decimals: int = 0
    workspace_key: bytes = b"authorization"
    workspace_key_scheme: bytes = b"Token"
    workspace: bytes = b""
