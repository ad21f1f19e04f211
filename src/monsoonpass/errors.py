"""The exception tree: every failure of monsoonpass has a type here."""

from collections.abc import Sequence
import dataclasses


class MonsoonpassError(Exception):
    """Base of every error that this package raises."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Issue:
    """One fault found in an input, with the place where it stands.

    Attributes:
        place: Where the fault is, such as "line 12" or "[node] region".
        message: What is wrong and what is allowed.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


class InputError(MonsoonpassError):
    """An input has one or more faults, all reported at once.

    Attributes:
        issues: The faults, in the order of the input.
    """

    def __init__(self, *, issues: Sequence[Issue]):
        self.issues = tuple(issues)
        super().__init__("\n".join(str(issue) for issue in self.issues))


class SettingsError(InputError):
    """The daemon's INI settings are wrong."""


class TextError(InputError):
    """The operator text is wrong."""


class ProtocolError(MonsoonpassError):
    """A peer sent something outside the protocol."""


class FrameTooLargeError(ProtocolError):
    """A frame or datagram is longer than the bound."""


class BadFrameError(ProtocolError):
    """A frame is not a valid message."""


class UnknownMessageError(ProtocolError):
    """A frame carries a message tag that this version does not know."""


class HandshakeError(ProtocolError):
    """The peer did not prove that it belongs to this mesh."""


class DiskError(MonsoonpassError):
    """Durable state cannot be read or written."""


class JournalDamagedError(DiskError):
    """A record before the end of the journal fails its checksum."""


class ForeignFolderError(DiskError):
    """The data folder belongs to another instance."""


class DiskFullError(DiskError):
    """The disk has no room for another record."""


class CatalogError(MonsoonpassError):
    """A configuration cannot be built or changed as asked."""


class BaseMismatchError(CatalogError):
    """A delta was applied to a base other than the one it was made for."""


class BadContentError(CatalogError):
    """Packed content cannot be read."""


class BadArrangementError(CatalogError):
    """A delta's order of routes does not fit its base."""


class DigestMismatchError(CatalogError):
    """A configuration's content differs from its digest."""


class NotClosedError(CatalogError):
    """A configuration names a service that it does not contain."""


class TransportError(MonsoonpassError):
    """An exchange over the network failed."""


class UpstreamConnectError(TransportError):
    """No connection to the upstream: the request was not sent."""


class UpstreamBrokenError(TransportError):
    """The upstream's answer broke off or was malformed."""


class CallerGoneError(TransportError):
    """The caller closed the connection before its answer was complete."""


class AnswerBrokenError(TransportError):
    """An answer failed after its head was sent, so it must be aborted."""


class OperatorApiError(MonsoonpassError):
    """The operator endpoint refused a request or could not be reached."""
