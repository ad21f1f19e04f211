"""Mutual authentication of nodes, on streams and for datagrams."""

import hashlib
import hmac

from monsoonpass import codec
from monsoonpass import errors
from monsoonpass import immutable
from monsoonpass.core import address as address_lib

PROTOCOL_VERSION = 3
NONCE_BYTES = 16
DATAGRAM_PROOF_BYTES = 16
DATAGRAM_MAX_BYTES = 8192


@codec.register(1)
@immutable.dataclass
class Hello:
    """The first message that each side of a stream sends.

    Attributes:
        protocol_version: Version of the protocol between nodes.
        mesh: Name of the mesh.
        sender: The sender, with the address at which it listens.
        data_centre: The sender's data centre.
        incarnation: Differs with each start of the sender's process.
        nonce: Random bytes for the peer to sign.
    """

    protocol_version: int
    mesh: str
    sender: address_lib.Address
    data_centre: str
    incarnation: int
    nonce: bytes


@codec.register(2)
@immutable.dataclass
class Proof:
    """The second message of each side, signed as in `sign_hello`."""

    signature: bytes


def sign_hello(secret: bytes, verifier: Hello, signer: Hello) -> Proof:
    """Sign the nonces and instance names of both sides.

    Args:
        secret: The mesh's shared secret.
        verifier: The hello of the side that checks the signature.
        signer: The hello of the signing side.

    Returns:
        The proof that the signing side sends.
    """
    signed_bytes = b"/".join(
        (
            verifier.nonce,
            signer.nonce,
            verifier.sender.instance.encode(),
            signer.sender.instance.encode(),
        )
    )
    return Proof(signature=_mac(secret, b"hello/" + signed_bytes))


def check_hello(mesh: str, message: object) -> Hello:
    """Validate the first message of a peer.

    Args:
        mesh: Name of this mesh.
        message: The first message received from the peer.

    Returns:
        The peer's hello.

    Raises:
        HandshakeError: The message is not a hello, or is one of another mesh
            or protocol version.
    """
    if not isinstance(message, Hello):
        raise errors.HandshakeError("the first message is not a hello")
    if message.protocol_version != PROTOCOL_VERSION:
        raise errors.HandshakeError(
            f"protocol version {message.protocol_version}, "
            f"this node requires {PROTOCOL_VERSION}"
        )
    if message.mesh != mesh or len(message.nonce) != NONCE_BYTES:
        raise errors.HandshakeError(
            f"wrong mesh {message.mesh!r} or nonce length in a hello"
        )
    return message


def check_proof(
    secret: bytes, peer: Hello, own: Hello, message: object
) -> None:
    """Check the peer's signature in constant time.

    Args:
        secret: The mesh's shared secret.
        peer: The peer's hello.
        own: This node's hello.
        message: The second message received from the peer.

    Raises:
        HandshakeError: The message is not a proof signed with the secret.
    """
    expected = sign_hello(secret, own, peer)
    if not isinstance(message, Proof) or not hmac.compare_digest(
        message.signature, expected.signature
    ):
        raise errors.HandshakeError(
            "the peer did not prove that it belongs to this mesh"
        )


@codec.register(3)
@immutable.dataclass
class Envelope:
    """The content of a datagram: its sender and one encoded message."""

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
        FrameTooLargeError: The datagram is longer than `DATAGRAM_MAX_BYTES`.
    """
    envelope = Envelope(sender=sender, payload=codec.encode(message))
    data = codec.encode(envelope)
    if len(data) + DATAGRAM_PROOF_BYTES > DATAGRAM_MAX_BYTES:
        raise errors.FrameTooLargeError(f"a datagram of {len(data)} bytes")
    return _mac(secret, data)[:DATAGRAM_PROOF_BYTES] + data


def open_datagram(
    secret: bytes, data: bytes
) -> tuple[address_lib.Address, object]:
    """Authenticate and decode a datagram.

    Args:
        secret: The mesh's shared secret.
        data: The datagram's bytes.

    Returns:
        The sender and the message.

    Raises:
        FrameTooLargeError: The datagram is longer than `DATAGRAM_MAX_BYTES`.
        HandshakeError: The datagram is not signed with the secret.
        ProtocolError: The datagram does not hold a valid message.
    """
    if len(data) > DATAGRAM_MAX_BYTES:
        raise errors.FrameTooLargeError(f"a datagram of {len(data)} bytes")
    signature, body = data[:DATAGRAM_PROOF_BYTES], data[DATAGRAM_PROOF_BYTES:]
    expected = _mac(secret, body)[:DATAGRAM_PROOF_BYTES]
    if not hmac.compare_digest(signature, expected):
        raise errors.HandshakeError(
            "a datagram is not signed with the mesh's secret"
        )
    envelope = codec.decode(body)
    if not isinstance(envelope, Envelope):
        raise errors.FrameDecodeError("a datagram does not hold an envelope")
    return envelope.sender, codec.decode(envelope.payload)


def _mac(secret: bytes, data: bytes) -> bytes:
    return hmac.new(secret, data, hashlib.sha256).digest()
