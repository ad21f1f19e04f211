"""The journal: durable records in one file, replaced whole when it grows.

Each record is a header (length, number of its group, checksums of both and of
the content) and its content. A group is what one sync confirms; the next one
is written only after that. A loss of power may leave any part of the last
group unwritten, as the end of the file or as zeros within it, and nothing of
it was confirmed, so it is cut. Any other wrong checksum is damage, never cut
silently.
"""

from collections.abc import Iterable
import contextlib
import errno
import io
import os
import pathlib
import struct
from typing import Any
import zlib

from monsoonpass import codec
from monsoonpass import errors
from monsoonpass.core.agreement import consensus_records as records

RECORD_MAX_BYTES = 32 * 1024 * 1024
UNWRITTEN = bytes(16)  # Zeros in a row that no record holds by itself.
_LENGTH = struct.Struct(">II")
_SUMS = struct.Struct(">II")
_HEADER = struct.Struct(">IIII")
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
            self._file = _open(self._path(self._number))
            data = self._path(self._number).read_bytes()
        except OSError as error:
            raise _disk_error(error) from error
        found, valid_bytes, self._group = _read_records(data)
        self.records = tuple(found)
        _check_owner(self.records, instance)
        self.cut_bytes = len(data) - valid_bytes
        self._synced_bytes = valid_bytes
        self._written_bytes = valid_bytes
        if self.cut_bytes:
            os.truncate(self._path(self._number), valid_bytes)
        # Records of a process that was killed may not be on the disk yet.
        self.sync()
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
        group = self._group + 1
        data = b"".join(_pack(record, group) for record in new)
        try:
            _write(self._file, data)
        except OSError as error:
            raise _disk_error(error) from error
        self._written_bytes += len(data)

    def sync(self) -> None:
        """Make everything written so far durable.

        Raises:
            DiskError: The sync failed; nothing since the last is certain.
        """
        try:
            os.fsync(self._file.fileno())
        except OSError as error:
            raise _disk_error(error) from error
        self._synced_bytes = self._written_bytes
        self._group += 1

    def undo(self) -> None:
        """Take back everything since the last sync, after a failed write.

        Raises:
            DiskError: The disk does not allow that now.
        """
        try:
            self._file.truncate(self._synced_bytes)
        except OSError as error:
            raise _disk_error(error) from error
        self._written_bytes = self._synced_bytes

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
                data = b"".join(_pack(record, 1) for record in new)
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.rename(temporary, target)
            _sync_folder(self._folder)
            newer = _open(target)
        except OSError as error:
            raise _disk_error(error) from error
        old = self._path(self._number)
        self._file.close()
        self._file = newer
        self._number += 1
        self._group = 1
        self._synced_bytes = self._written_bytes = len(data)
        # What stays of the old file is removed at the next start.
        with contextlib.suppress(OSError):
            old.unlink()

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


def _open(path: pathlib.Path) -> io.FileIO:
    return open(path, "ab", buffering=0)


def _write(file: io.FileIO, data: bytes) -> None:
    """Write all bytes; a disk that is nearly full takes only some."""
    view = memoryview(data)
    while view:
        view = view[file.write(view) :]


def _pack(record: Any, group: int) -> bytes:
    payload = codec.encode(record)
    if len(payload) > RECORD_MAX_BYTES:
        raise errors.DiskError(f"a record of {len(payload)} bytes is too long")
    start = _LENGTH.pack(len(payload), group)
    return start + _SUMS.pack(zlib.crc32(start), zlib.crc32(payload)) + payload


def _read_records(data: bytes) -> tuple[list[Any], int, int]:
    """Return the records, the length of the valid part and its last group."""
    found = []
    position = 0
    group = 0
    while position < len(data):
        start = position + _HEADER.size
        if start > len(data):
            break
        header = _read_header(data, position)
        if header is None:
            # It may also be the first record of the next group.
            _check_unwritten(data, position, data[position:start], group + 1)
            break
        size_bytes, group, checksum = header
        payload = data[start : start + size_bytes]
        if len(payload) < size_bytes:
            break
        if zlib.crc32(payload) != checksum:
            _check_unwritten(data, position, payload, group)
            break
        try:
            found.append(codec.decode(payload))
        except errors.ProtocolError as error:
            raise _damaged(position) from error
        position = start + size_bytes
    return found, position, group


def _read_header(data: bytes, position: int) -> tuple[int, int, int] | None:
    """Return length, group and checksum of a record, or None if not valid."""
    start = data[position : position + _HEADER.size]
    if len(start) < _HEADER.size:
        return None
    size_bytes, group, start_sum, checksum = _HEADER.unpack(start)
    if zlib.crc32(start[: _LENGTH.size]) != start_sum or not group:
        return None
    return size_bytes, group, checksum


def _check_unwritten(
    data: bytes, position: int, bad: bytes, group: int
) -> None:
    """Check that bad bytes are the unwritten part of the last group.

    Args:
        data: The whole file.
        position: Where the bad record begins.
        bad: Its bad bytes.
        group: The last group that it may belong to.

    Raises:
        JournalDamagedError: They are something else.
    """
    if not bad.endswith(b"\0") and UNWRITTEN not in bad:
        raise _damaged(position)
    for later in range(position + 1, len(data) - _HEADER.size):
        header = _read_header(data, later)
        if header is not None and header[1] > group:
            raise _damaged(position)


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
