"""Limits on what all callers of a node together may use.

Load pattern: callers outside any agreement open hundreds of connections, send
bodies that never end or requests whose answers they do not read. Each
connection alone stays within the limits of the configuration in force; only
together do they exhaust the memory of the process.
"""

from monsoonpass import immutable

KIB = 1024
MIB = 1024 * KIB
# Assumed memory of a machine whose memory is not known.
DEFAULT_MEMORY_MB = 1024.0
# Share of the memory for each of: connections, received bytes, and answers to
# pipelined requests. A node uses 50 to 70 MB without callers; with three
# eighths for callers, one of 200 MB stays below 150 MB.
MEMORY_FRACTION = 1 / 8
# Unparsed bytes of a connection (two reads) and its tasks and objects.
CONNECTION_BYTES = 48 * KIB
# Answer that waits for those before it: at most the credit window of a body.
WAITING_ANSWER_BYTES = 256 * KIB
# Monitoring, upstreams and operators use few connections; the bound on theirs
# is separate, so that callers cannot shut out an upstream's heartbeats.
OPERATOR_CONNECTIONS_FRACTION = 1 / 4
CONNECTIONS_MIN = 16


@immutable.dataclass
class CallerLimits:
    """Limits over all connections of a node.

    Attributes:
        connections_max: Open connections of callers.
        operator_connections_max: Open connections at the operator endpoints.
        received_max_bytes: Bytes received on all connections that have not
            been passed on, beyond a small amount for each connection.
        pipelined_max: Open requests up to which a connection may have more
            than one request in progress.
    """

    connections_max: int
    operator_connections_max: int
    received_max_bytes: int
    pipelined_max: int


def derive(
    *,
    memory_mb: float = 0.0,
    connections: int = 0,
    buffer_kb: int = 0,
    descriptors: int = 0,
) -> CallerLimits:
    """Return the limits for a machine.

    Args:
        memory_mb: Memory of the machine; 0 if not known.
        connections: Open connections of callers; 0 to derive them.
        buffer_kb: Limit on received bytes; 0 to derive it.
        descriptors: File descriptors that the process may open; 0 if not
            known.

    Returns:
        The limits.
    """
    share_bytes = int((memory_mb or DEFAULT_MEMORY_MB) * MIB * MEMORY_FRACTION)
    connections_max = connections
    if not connections_max:
        connections_max = share_bytes // CONNECTION_BYTES
        if descriptors:
            # The other half is for peers, the upstream and files.
            connections_max = min(connections_max, descriptors // 2)
    connections_max = max(connections_max, CONNECTIONS_MIN)
    return CallerLimits(
        connections_max=connections_max,
        operator_connections_max=max(
            int(connections_max * OPERATOR_CONNECTIONS_FRACTION),
            CONNECTIONS_MIN,
        ),
        received_max_bytes=buffer_kb * KIB or share_bytes,
        pipelined_max=max(share_bytes // WAITING_ANSWER_BYTES, 8),
    )
