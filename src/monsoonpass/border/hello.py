"""The handshake between nodes: who they are, and proof that they belong."""

import dataclasses
import hashlib
import hmac

from monsoonpass import codec
from monsoonpass import errors
from monsoonpass.core import address as address_lib

PROTOCOL_VERSION = 3
NONCE_BYTES = 16
DATAGRAM_PROOF_BYTES = 16
DATAGRAM_MAX_BYTES = 8192


@codec.register(1)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """The first message of each side of a stream.

    Attributes:
        protocol_version: Version of the protocol between nodes.
        mesh: Name of the mesh.
        sender: The sender, with the address at which it listens.
        data_centre: The sender's data centre.
        incarnation: Differs with each start of the sender's process.
        nonce: Random bytes that the other side must sign.
    """

    protocol_version: int
    mesh: str
    sender: address_lib.Address
    data_centre: str
    incarnation: int
    nonce: bytes


@codec.register(2)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Proof:
    """The second message of each side: a signature of the other's nonce."""

    signature: bytes


def sign_hello(secret: bytes, theirs: Hello, ours: Hello) -> Proof:
    """Sign the peer's nonce together with both names.

    Args:
        secret: The mesh's shared secret.
        theirs: The peer's hello.
        ours: The hello of the side that signs.

    Returns:
        The proof to send.
    """
    text = b"/".join(
        (
            theirs.nonce,
            ours.nonce,
            theirs.sender.instance.encode(),
            ours.sender.instance.encode(),
        )
    )
    return Proof(signature=_mac(secret, b"hello/" + text))


def check_hello(mesh: str, theirs: object) -> Hello:
    """Check the first message of a peer.

    Args:
        mesh: Name of this mesh.
        theirs: The message.

    Returns:
        The peer's hello.

    Raises:
        HandshakeError: It is not a hello of this mesh and protocol version.
    """
    if not isinstance(theirs, Hello):
        raise errors.HandshakeError("the first message is not a hello")
    if theirs.protocol_version != PROTOCOL_VERSION:
        raise errors.HandshakeError(
            f"protocol version {theirs.protocol_version}, "
            f"this node speaks {PROTOCOL_VERSION}"
        )
    if theirs.mesh != mesh or len(theirs.nonce) != NONCE_BYTES:
        raise errors.HandshakeError(f"the peer belongs to {theirs.mesh!r}")
    return theirs


def check_proof(
    secret: bytes, theirs: Hello, ours: Hello, proof: object
) -> None:
    """Check the peer's signature in constant time.

    Raises:
        HandshakeError: The peer does not know the secret.
    """
    expected = sign_hello(secret, ours, theirs)
    if not isinstance(proof, Proof) or not hmac.compare_digest(
        proof.signature, expected.signature
    ):
        raise errors.HandshakeError("the peer did not prove its membership")


@codec.register(3)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Envelope:
    """A datagram: its sender and one encoded message."""

    sender: address_lib.Address
    payload: bytes


def seal_datagram(
    secret: bytes, sender: address_lib.Address, message: object
) -> bytes:
    """Encode and sign a datagram.

    Args:
        secret: The mesh's shared secret.
        sender: This node.
        message: A registered message.

    Returns:
        The datagram's bytes.

    Raises:
        FrameTooLargeError: It is longer than the bound.
    """
    envelope = Envelope(sender=sender, payload=codec.encode(message))
    data = codec.encode(envelope)
    if len(data) + DATAGRAM_PROOF_BYTES > DATAGRAM_MAX_BYTES:
        raise errors.FrameTooLargeError(f"a datagram of {len(data)} bytes")
    return _mac(secret, data)[:DATAGRAM_PROOF_BYTES] + data


def open_datagram(
    secret: bytes, data: bytes
) -> tuple[address_lib.Address, object]:
    """Check and decode a datagram.

    Args:
        secret: The mesh's shared secret.
        data: The datagram's bytes.

    Returns:
        The sender and the message.

    Raises:
        FrameTooLargeError: It is longer than the bound.
        HandshakeError: It is not signed with the secret.
        ProtocolError: It is not a valid message.
    """
    if len(data) > DATAGRAM_MAX_BYTES:
        raise errors.FrameTooLargeError(f"a datagram of {len(data)} bytes")
    proof, body = data[:DATAGRAM_PROOF_BYTES], data[DATAGRAM_PROOF_BYTES:]
    expected = _mac(secret, body)[:DATAGRAM_PROOF_BYTES]
    if not hmac.compare_digest(proof, expected):
        raise errors.HandshakeError("a datagram is not signed")
    envelope = codec.decode(body)
    if not isinstance(envelope, Envelope):
        raise errors.BadFrameError("a datagram has no envelope")
    return envelope.sender, codec.decode(envelope.payload)


def _mac(secret: bytes, data: bytes) -> bytes:
    return hmac.new(secret, data, hashlib.sha256).digest()
