"""The exception hierarchy of monsoonpass."""

from collections.abc import Sequence

from monsoonpass import immutable


class MonsoonpassError(Exception):
    """Base class of all errors that this package raises."""


@immutable.dataclass
class Issue:
    """One fault found in an input, with its location.

    Attributes:
        location: Location of the fault, such as "line 12" or "[node] region".
        message: Description of the fault and of the allowed values.
    """

    location: str
    message: str

    def __str__(self) -> str:
        return f"{self.location}: {self.message}"


class InputError(MonsoonpassError):
    """An input has one or more faults, reported together.

    Attributes:
        issues: The faults found.
    """

    def __init__(self, *, issues: Sequence[Issue]):
        self.issues = tuple(issues)
        super().__init__("\n".join(str(issue) for issue in self.issues))


class SettingsError(InputError):
    """The daemon's INI settings are invalid."""


class OperatorTextError(InputError):
    """The operator text or document is invalid."""


class ProtocolError(MonsoonpassError):
    """A peer violated the protocol between nodes."""


class FrameTooLargeError(ProtocolError):
    """A frame or datagram exceeds the maximum length."""


class FrameDecodeError(ProtocolError):
    """A frame cannot be decoded as a message."""


class UnknownMessageError(ProtocolError):
    """A frame has a message tag that this version does not register."""


class HandshakeError(ProtocolError):
    """A peer did not prove that it belongs to this mesh."""


class DiskError(MonsoonpassError):
    """Durable state cannot be read or written."""


class JournalDamagedError(DiskError):
    """The journal is corrupt, beyond an incomplete write at its end."""


class DataFolderOwnerError(DiskError):
    """The data folder belongs to another instance."""


class DiskFullError(DiskError):
    """The disk is full."""


class CatalogError(MonsoonpassError):
    """A configuration cannot be built or changed as requested."""


class BaseMismatchError(CatalogError):
    """A delta was applied to another base than it was computed from."""


class PackedContentError(CatalogError):
    """Packed configuration content cannot be decoded."""


class RouteOrderError(CatalogError):
    """The order of routes in a delta is inconsistent with its base."""


class DigestMismatchError(CatalogError):
    """The content of a configuration does not match its digest."""


class DanglingReferenceError(CatalogError):
    """A configuration refers to a service that it does not define."""


class TransportError(MonsoonpassError):
    """An exchange over the network failed."""


class UpstreamConnectError(TransportError):
    """The connection to the upstream failed; the request was not sent."""


class UpstreamResponseError(TransportError):
    """The upstream's response was cut short or malformed."""


class CallerDisconnectedError(TransportError):
    """The caller closed its connection or sent its body too slowly."""


class ResponseAbortedError(TransportError):
    """A response failed after its head was sent and must be aborted."""


class OperatorApiError(MonsoonpassError):
    """The operator endpoint refused a request or could not be reached."""


def first_leaf(error: BaseException) -> BaseException:
    """Return the first error in a group that is not a group itself."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
