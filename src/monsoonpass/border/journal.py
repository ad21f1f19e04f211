"""The journal: durable records in one file, replaced whole when it grows.

Each record is a header (length, checksum of the length, checksum of the
content) and its content. A record that the end of the file cuts off was never
confirmed, so it is dropped. A whole header or record with a wrong checksum is
damage, never cut silently.
"""

from collections.abc import Iterable
import errno
import os
import pathlib
import struct
from typing import Any
import zlib

from monsoonpass import codec
from monsoonpass import errors
from monsoonpass.core import consensus_records as records

RECORD_MAX_BYTES = 32 * 1024 * 1024
_LENGTH = struct.Struct(">I")
_HEADER = struct.Struct(">III")
_PREFIX = "journal-"
_SUFFIX = ".log"


class Journal:
    """The open journal of one node.

    Attributes:
        records: Records found when it was opened.
        cut_bytes: Length of the torn tail that was dropped.
    """

    def __init__(self, *, folder: pathlib.Path, instance: str):
        """Open the journal in a folder, making both if needed.

        Args:
            folder: The data folder.
            instance: Name of this instance.

        Raises:
            JournalDamagedError: A record's checksum is wrong.
            ForeignFolderError: The folder belongs to another instance.
            DiskError: The folder cannot be used.
        """
        self._folder = folder
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._number = _newest_number(folder)
            self._file = open(self._path(self._number), "ab")  # noqa: SIM115
            data = self._path(self._number).read_bytes()
        except OSError as error:
            raise _disk_error(error) from error
        found, valid_bytes = _read_records(data)
        self.records = tuple(found)
        _check_owner(self.records, instance)
        self.cut_bytes = len(data) - valid_bytes
        if self.cut_bytes:
            os.truncate(self._path(self._number), valid_bytes)
        _remove_others(folder, self._path(self._number))
        _sync_folder(folder)

    def append(self, new: Iterable[Any]) -> None:
        """Write records after the last one, without syncing.

        Args:
            new: Registered messages.

        Raises:
            DiskFullError: The disk has no room.
            DiskError: The write failed.
        """
        data = b"".join(_pack(record) for record in new)
        try:
            self._file.write(data)
            self._file.flush()
        except OSError as error:
            raise _disk_error(error) from error

    def sync(self) -> None:
        """Make everything written so far durable.

        Raises:
            DiskError: The sync failed; nothing since the last is certain.
        """
        try:
            os.fsync(self._file.fileno())
        except OSError as error:
            raise _disk_error(error) from error

    def replace(self, new: Iterable[Any]) -> None:
        """Replace all records, durably and in one step.

        Args:
            new: Registered messages that stand for everything before.

        Raises:
            DiskFullError: The disk has no room.
            DiskError: The write failed; the old journal is still in place.
        """
        target = self._path(self._number + 1)
        temporary = target.with_suffix(".tmp")
        try:
            with open(temporary, "wb") as file:
                file.write(b"".join(_pack(record) for record in new))
                file.flush()
                os.fsync(file.fileno())
            os.rename(temporary, target)
            _sync_folder(self._folder)
            self._file.close()
            self._file = open(target, "ab")  # noqa: SIM115
            self._path(self._number).unlink()
        except OSError as error:
            raise _disk_error(error) from error
        self._number += 1

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def _path(self, number: int) -> pathlib.Path:
        return self._folder / f"{_PREFIX}{number:08d}{_SUFFIX}"


def set_aside(folder: pathlib.Path) -> pathlib.Path:
    """Rename a damaged journal, so that a new one can begin.

    Args:
        folder: The data folder.

    Returns:
        The new name of the damaged file.
    """
    path = folder / f"{_PREFIX}{_newest_number(folder):08d}{_SUFFIX}"
    target = path.with_suffix(".damaged")
    os.rename(path, target)
    _sync_folder(folder)
    return target


def _pack(record: Any) -> bytes:
    payload = codec.encode(record)
    if len(payload) > RECORD_MAX_BYTES:
        raise errors.DiskError(f"a record of {len(payload)} bytes is too long")
    length_checksum = zlib.crc32(_LENGTH.pack(len(payload)))
    header = _HEADER.pack(len(payload), length_checksum, zlib.crc32(payload))
    return header + payload


def _read_records(data: bytes) -> tuple[list[Any], int]:
    """Return the records and the length of the valid part."""
    found = []
    position = 0
    while position < len(data):
        start = position + _HEADER.size
        if start > len(data) or not any(data[position:]):
            break
        size_bytes, length_checksum, checksum = _HEADER.unpack_from(
            data, position
        )
        if zlib.crc32(_LENGTH.pack(size_bytes)) != length_checksum:
            raise _damaged(position)
        payload = data[start : start + size_bytes]
        if len(payload) < size_bytes:
            break
        if zlib.crc32(payload) != checksum:
            raise _damaged(position)
        try:
            found.append(codec.decode(payload))
        except errors.ProtocolError as error:
            raise _damaged(position) from error
        position = start + size_bytes
    return found, position


def _damaged(position: int) -> errors.JournalDamagedError:
    return errors.JournalDamagedError(
        f"the record at byte {position} fails its checksum"
    )


def _check_owner(found: tuple[Any, ...], instance: str) -> None:
    for record in found:
        if isinstance(record, records.Identity) and (
            record.instance != instance
        ):
            raise errors.ForeignFolderError(
                f"the data folder belongs to {record.instance}, "
                f"not to {instance}"
            )


def _newest_number(folder: pathlib.Path) -> int:
    numbers = [
        int(path.stem.removeprefix(_PREFIX))
        for path in folder.glob(f"{_PREFIX}*{_SUFFIX}")
    ]
    return max(numbers, default=1)


def _remove_others(folder: pathlib.Path, keep: pathlib.Path) -> None:
    leftovers = [
        *folder.glob(f"{_PREFIX}*{_SUFFIX}"),
        *folder.glob(f"{_PREFIX}*.tmp"),
    ]
    for path in leftovers:
        if path != keep:
            path.unlink()


def _sync_folder(folder: pathlib.Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _disk_error(error: OSError) -> errors.DiskError:
    if error.errno in (errno.ENOSPC, errno.EDQUOT):
        return errors.DiskFullError(str(error))
    return errors.DiskError(str(error))
