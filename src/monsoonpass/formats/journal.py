"""A journal of durable records, replaced by a new file when it grows.

Each record is a header and a payload. The header holds the payload's length,
the number of the record's batch, a checksum of both numbers and a checksum of
the payload. A batch holds the records that one sync makes durable; the next
batch is written only after that sync.

After a sync, a mark is appended: a record that holds no message, the first one
of the next batch. It is not synced itself. If a power failure loses it, what it
vouches for is on the disk already.

A power failure may lose any part of the last batch: the file then ends early
or has zeros in place of the lost bytes. No record of that batch was confirmed,
so opening the journal truncates it there. Any other checksum mismatch is
corruption, which is reported and never truncated, and so is every mismatch
before a mark.
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
_MARK_PAYLOAD = b"synced"
_UNWRITTEN_RUN = bytes(16)  # A run of zeros that no record contains.
_PREFIX_STRUCT = struct.Struct(">II")  # Payload length and batch number.
_CHECKSUMS_STRUCT = struct.Struct(">II")  # CRC-32 of prefix and of payload.
_HEADER_STRUCT = struct.Struct(">IIII")  # The prefix and the checksums.
_FILE_PREFIX = "journal-"
_FILE_SUFFIX = ".log"


class Journal:
    """The open journal of one node.

    Attributes:
        records: Records read when the journal was opened.
        truncated_bytes: Length of the incomplete end that was truncated.
    """

    def __init__(self, *, folder: pathlib.Path, instance: str):
        """Open the journal in a folder; create both if they are missing.

        Args:
            folder: The data folder.
            instance: Name of this instance.

        Raises:
            JournalDamagedError: The journal is corrupt.
            DataFolderOwnerError: The folder belongs to another instance.
            DiskError: The folder or the file cannot be read or written.
        """
        self._folder = folder
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._number = _newest_number(folder)
            self._file = _open_for_append(self._path(self._number))
            data = self._path(self._number).read_bytes()
        except OSError as error:
            raise _disk_error(error) from error
        found, valid_bytes, last_batch = _read_records(data)
        # The sync below ends the last batch.
        self._batch = last_batch - 1
        self.records = tuple(found)
        _check_owner(self.records, instance)
        self.truncated_bytes = len(data) - valid_bytes
        self._synced_bytes = valid_bytes
        self._written_bytes = valid_bytes
        self._is_mark_missing = False
        if self.truncated_bytes:
            self.truncate_to_last_sync()
        # Records that a killed process wrote may not be on the disk yet.
        self.sync()
        try:
            _remove_other_files(folder, self._path(self._number))
            _sync_folder(folder)
        except OSError as error:
            raise _disk_error(error) from error

    def append(self, new_records: Iterable[Any]) -> None:
        """Append records to the file, without syncing it.

        Args:
            new_records: Registered messages.

        Raises:
            DiskFullError: The disk is full.
            DiskError: The write failed.
        """
        if self._is_mark_missing:
            # The file may end in a part of the mark.
            self.truncate_to_last_sync()
        batch = self._batch + 1
        data = b"".join(_pack_record(record, batch) for record in new_records)
        try:
            _write_all(self._file, data)
        except OSError as error:
            raise _disk_error(error) from error
        self._written_bytes += len(data)

    def sync(self) -> None:
        """Make all records written so far durable.

        Raises:
            DiskError: The sync failed; records since the last successful sync
                may or may not be durable.
        """
        try:
            os.fsync(self._file.fileno())
        except OSError as error:
            raise _disk_error(error) from error
        self._synced_bytes = self._written_bytes
        self._batch += 1
        self._append_mark()

    def _append_mark(self) -> None:
        """Mark all records so far as synced.

        A mark that cannot be written is left out: the records are durable
        without it, and the next write to the disk reports its fault.
        """
        mark = _pack(_MARK_PAYLOAD, self._batch + 1)
        try:
            _write_all(self._file, mark)
        except OSError:
            self._is_mark_missing = True
            return
        self._written_bytes += len(mark)
        self._synced_bytes = self._written_bytes

    def truncate_to_last_sync(self) -> None:
        """Remove all records since the last sync, after a failed write.

        Raises:
            DiskError: The file cannot be truncated.
        """
        try:
            self._file.truncate(self._synced_bytes)
        except OSError as error:
            raise _disk_error(error) from error
        self._written_bytes = self._synced_bytes
        self._is_mark_missing = False

    def replace(self, new_records: Iterable[Any]) -> None:
        """Replace all records atomically and durably.

        Args:
            new_records: Registered messages that supersede all earlier records.

        Raises:
            DiskFullError: The disk is full.
            DiskError: The write failed; the old journal is still in place.
        """
        target = self._path(self._number + 1)
        temporary = target.with_suffix(".tmp")
        try:
            with open(temporary, "wb") as file:
                data = b"".join(
                    _pack_record(record, 1) for record in new_records
                )
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.rename(temporary, target)
            _sync_folder(self._folder)
            new_file = _open_for_append(target)
        except OSError as error:
            raise _disk_error(error) from error
        old = self._path(self._number)
        self._file.close()
        self._file = new_file
        self._number += 1
        self._batch = 1
        self._synced_bytes = self._written_bytes = len(data)
        self._append_mark()
        # An old file that cannot be removed now is removed at the next start.
        with contextlib.suppress(OSError):
            old.unlink()

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def _path(self, number: int) -> pathlib.Path:
        return self._folder / f"{_FILE_PREFIX}{number:08d}{_FILE_SUFFIX}"


def rename_damaged(folder: pathlib.Path) -> pathlib.Path:
    """Rename a corrupt journal, so that a new one can be created.

    Args:
        folder: The data folder.

    Returns:
        The new path of the corrupt file.
    """
    path = folder / f"{_FILE_PREFIX}{_newest_number(folder):08d}{_FILE_SUFFIX}"
    target = path.with_suffix(".damaged")
    os.rename(path, target)
    _sync_folder(folder)
    return target


def _open_for_append(path: pathlib.Path) -> io.FileIO:
    return open(path, "ab", buffering=0)


def _write_all(file: io.FileIO, data: bytes) -> None:
    """Write all bytes; one call writes only a part if the disk fills up."""
    view = memoryview(data)
    while view:
        view = view[file.write(view) :]


def _pack_record(record: Any, batch: int) -> bytes:
    payload = codec.encode(record)
    if len(payload) > RECORD_MAX_BYTES:
        raise errors.DiskError(f"a record of {len(payload)} bytes is too long")
    return _pack(payload, batch)


def _pack(payload: bytes, batch: int) -> bytes:
    prefix = _PREFIX_STRUCT.pack(len(payload), batch)
    return (
        prefix
        + _CHECKSUMS_STRUCT.pack(zlib.crc32(prefix), zlib.crc32(payload))
        + payload
    )


def _read_records(data: bytes) -> tuple[list[Any], int, int]:
    """Return the records, the length of the valid part and its last batch."""
    found = []
    position = 0
    batch = 0
    while position < len(data):
        payload_start = position + _HEADER_STRUCT.size
        if payload_start > len(data):
            break
        header = _read_header(data, position)
        if header is None:
            # The record may also be the first one of the next batch.
            _check_incomplete_write(
                data, position, data[position:payload_start], batch + 1
            )
            break
        size_bytes, batch, payload_checksum = header
        payload = data[payload_start : payload_start + size_bytes]
        if len(payload) < size_bytes:
            break
        if zlib.crc32(payload) != payload_checksum:
            _check_incomplete_write(data, position, payload, batch)
            break
        position_after = payload_start + size_bytes
        if payload == _MARK_PAYLOAD:
            position = position_after
            continue
        try:
            found.append(codec.decode(payload))
        except errors.ProtocolError as error:
            raise _damaged_error(position) from error
        position = position_after
    return found, position, batch


def _read_header(data: bytes, position: int) -> tuple[int, int, int] | None:
    """Return the payload's length, batch and checksum; None if invalid."""
    header = data[position : position + _HEADER_STRUCT.size]
    if len(header) < _HEADER_STRUCT.size:
        return None
    size_bytes, batch, prefix_checksum, payload_checksum = (
        _HEADER_STRUCT.unpack(header)
    )
    if (
        zlib.crc32(header[: _PREFIX_STRUCT.size]) != prefix_checksum
        or not batch
    ):
        return None
    return size_bytes, batch, payload_checksum


def _check_incomplete_write(
    data: bytes, position: int, invalid_bytes: bytes, batch: int
) -> None:
    """Check that a mismatch is due to an incomplete write of the last batch.

    Args:
        data: The content of the file.
        position: Offset of the record that fails a checksum.
        invalid_bytes: The record's header or payload, whichever fails.
        batch: The last batch that the record may belong to.

    Raises:
        JournalDamagedError: The bytes have no run of zeros and do not end in
            zero, or a mark or a later batch follows them.
    """
    if (
        not invalid_bytes.endswith(b"\0")
        and _UNWRITTEN_RUN not in invalid_bytes
    ):
        raise _damaged_error(position)
    for offset in range(position + 1, len(data) - _HEADER_STRUCT.size + 1):
        header = _read_header(data, offset)
        if header is None:
            continue
        payload_start = offset + _HEADER_STRUCT.size
        is_mark = data.startswith(_MARK_PAYLOAD, payload_start)
        if header[1] > batch or is_mark:
            raise _damaged_error(position)


def _damaged_error(position: int) -> errors.JournalDamagedError:
    return errors.JournalDamagedError(
        f"the record at byte {position} fails its checksum"
    )


def _check_owner(found: tuple[Any, ...], instance: str) -> None:
    for record in found:
        if isinstance(record, records.Identity) and (
            record.instance != instance
        ):
            raise errors.DataFolderOwnerError(
                f"the data folder belongs to {record.instance}, "
                f"not to {instance}"
            )


def _newest_number(folder: pathlib.Path) -> int:
    numbers = [
        int(path.stem.removeprefix(_FILE_PREFIX))
        for path in folder.glob(f"{_FILE_PREFIX}*{_FILE_SUFFIX}")
    ]
    return max(numbers, default=1)


def _remove_other_files(folder: pathlib.Path, kept_path: pathlib.Path) -> None:
    candidates = [
        *folder.glob(f"{_FILE_PREFIX}*{_FILE_SUFFIX}"),
        *folder.glob(f"{_FILE_PREFIX}*.tmp"),
    ]
    for path in candidates:
        if path != kept_path:
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
