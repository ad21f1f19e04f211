"""Network addresses of nodes."""

from monsoonpass import immutable


@immutable.dataclass
class Address:
    """Where a node listens for its peers, over TCP and UDP.

    Attributes:
        instance: Name of the instance.
        host: IP address.
        port: Port number, the same for TCP and UDP.
    """

    instance: str
    host: str
    port: int
