"""Recovery and replacement of the journal, on real files."""

import errno
import io
import os
import zlib

import hypothesis
from hypothesis import strategies as st
import pytest

from monsoonpass import codec
from monsoonpass import errors
from monsoonpass.core.agreement import consensus_records as records
from monsoonpass.formats import journal as journal_lib


def entry(index: int, tail: bytes = b"") -> records.Entry:
    """Return a small record."""
    return records.Entry(
        index=index,
        term=1,
        kind=records.EntryKind.NOOP,
        data=b"x" * 20 + tail,
    )


def find_tail_of_checksum_in_zero() -> bytes:
    """Return a tail with which the header of the first entry ends in zero."""
    for number in range(10_000):
        tail = str(number).encode()
        payload = codec.encode(entry(1, tail))
        if not zlib.crc32(payload) & 0xFF:
            return tail
    raise AssertionError("no such tail")


def open_journal(folder) -> journal_lib.Journal:
    """Open the journal of instance n1."""
    return journal_lib.Journal(folder=folder, instance="n1")


def write_three_records(folder, *, synced: bool = True):
    """Write three records in one batch and return the file's path."""
    journal = open_journal(folder)
    journal.append([entry(1), entry(2), entry(3)])
    if synced:
        journal.sync()
    journal.close()
    return next(folder.glob("journal-*.log"))


MARK_BYTES = len(journal_lib._pack(journal_lib._MARK_PAYLOAD, 1))


class TestRecovery:
    def test_records_are_read_in_order(self, tmp_path):
        write_three_records(tmp_path)
        assert open_journal(tmp_path).records == (entry(1), entry(2), entry(3))

    def test_torn_tail_of_any_length_is_truncated(self, tmp_path):
        path = write_three_records(tmp_path, synced=False)
        content = path.read_bytes()
        start = MARK_BYTES
        record_bytes = (len(content) - start) // 3
        kept_start = start + 2 * record_bytes
        for kept_bytes in range(kept_start + 1, len(content)):
            path.write_bytes(content[:kept_bytes])
            journal = open_journal(tmp_path)
            assert journal.records == (entry(1), entry(2))
            assert journal.truncated_bytes == kept_bytes - kept_start
            journal.close()
            assert path.stat().st_size == kept_start + start

    def test_zeros_after_the_last_record_are_a_torn_tail(self, tmp_path):
        path = write_three_records(tmp_path)
        path.write_bytes(path.read_bytes() + bytes(100))
        assert len(open_journal(tmp_path).records) == 3

    @hypothesis.given(position=st.integers(0, 10_000))
    def test_damage_in_a_complete_record_is_never_truncated(
        self, tmp_path, position
    ):
        for old in tmp_path.iterdir():
            old.unlink()
        path = write_three_records(tmp_path)
        data = bytearray(path.read_bytes())
        position %= len(data)
        data[position] ^= 0x55
        path.write_bytes(bytes(data))
        with pytest.raises(errors.JournalDamagedError):
            open_journal(tmp_path)

    def test_gap_in_the_last_batch_is_truncated(self, tmp_path):
        """A power failure may lose any part of the records not yet synced."""
        path = write_three_records(tmp_path, synced=False)
        content = path.read_bytes()
        mark = MARK_BYTES
        record_bytes = (len(content) - mark) // 3
        second = mark + record_bytes
        for start in range(second, second + record_bytes):
            for end in (second + record_bytes, len(content) - 5):
                gap = bytes(end - start)
                path.write_bytes(content[:start] + gap + content[end:])
                journal = open_journal(tmp_path)
                assert journal.records[0] == entry(1)
                assert len(journal.records) < 3
                journal.close()

    def test_gap_before_a_synced_batch_is_damage(self, tmp_path):
        """Guard: the search for later batches in _check_incomplete_write."""
        path = write_three_records(tmp_path)
        mark = MARK_BYTES
        record_bytes = (path.stat().st_size - 2 * mark) // 3
        journal = open_journal(tmp_path)
        for index in (4, 5):
            journal.append([entry(index)])
            journal.sync()
        journal.close()
        data = bytearray(path.read_bytes())
        third = mark + 2 * record_bytes
        data[third : third + record_bytes] = bytes(record_bytes)
        path.write_bytes(bytes(data))
        with pytest.raises(errors.JournalDamagedError):
            open_journal(tmp_path)

    def test_damage_in_a_short_last_record_is_never_truncated(self, tmp_path):
        """Guard: `payload_start > len(data)` in _read_records."""
        journal = open_journal(tmp_path)
        journal.append([records.HardState(term=3, voted_for=7)])
        journal.sync()
        journal.close()
        path = next(tmp_path.glob("journal-*.log"))
        data = bytearray(path.read_bytes())
        data[-1] ^= 0x55
        path.write_bytes(bytes(data))
        with pytest.raises(errors.JournalDamagedError):
            open_journal(tmp_path)

    def test_unwritten_payload_before_the_next_batch_is_damage(self, tmp_path):
        """Guard: the `batch` of a valid header in _read_records."""
        journal = open_journal(tmp_path)
        for index in (1, 2):
            journal.append([entry(index)])
            journal.sync()
        journal.close()
        path = next(tmp_path.glob("journal-*.log"))
        mark = MARK_BYTES
        record_bytes = (path.stat().st_size - 3 * mark) // 2
        data = bytearray(path.read_bytes())
        end = mark + record_bytes
        data[end - 10 : end] = bytes(10)
        path.write_bytes(bytes(data))
        with pytest.raises(errors.JournalDamagedError):
            open_journal(tmp_path)

    @pytest.mark.parametrize(
        "tail", [b"\0", bytes(16) + b"x", find_tail_of_checksum_in_zero()]
    )
    def test_damage_at_any_byte_of_the_last_synced_batch_is_reported(
        self, tmp_path, tail
    ):
        """A payload that ends in zero, or holds many, looks like a torn one.

        Guard: `is_mark` in _check_incomplete_write.
        """
        journal = open_journal(tmp_path)
        journal.append([entry(1, tail), entry(2, tail)])
        journal.sync()
        journal.close()
        path = next(tmp_path.glob("journal-*.log"))
        content = path.read_bytes()
        mark = MARK_BYTES
        for position in range(mark, len(content) - mark):
            for flipped in (content[position] ^ 0x55, 0):
                if flipped == content[position]:
                    continue
                data = bytearray(content)
                data[position] = flipped
                path.write_bytes(bytes(data))
                with pytest.raises(errors.JournalDamagedError):
                    open_journal(tmp_path)

    @hypothesis.given(data=st.data())
    def test_power_failure_loses_no_synced_record(self, tmp_path, data):
        """Any part of what was written after the last sync may be lost."""
        for old in tmp_path.glob("journal-*"):
            old.unlink()
        journal = open_journal(tmp_path)
        journal.append([entry(1), entry(2)])
        journal.sync()
        path = next(tmp_path.glob("journal-*.log"))
        synced_bytes = path.stat().st_size - MARK_BYTES
        journal.append([entry(3), entry(4)])
        journal.close()
        content = bytearray(path.read_bytes())
        start = data.draw(st.integers(synced_bytes, len(content)))
        end = data.draw(st.integers(start, len(content)))
        content[start:end] = bytes(end - start)
        kept = data.draw(st.integers(synced_bytes, len(content)))
        path.write_bytes(bytes(content[:kept]))
        journal = open_journal(tmp_path)
        assert journal.records[:2] == (entry(1), entry(2))
        journal.append([entry(5)])
        journal.sync()
        journal.close()
        assert open_journal(tmp_path).records[-1] == entry(5)

    def test_truncated_records_can_be_appended_again(self, tmp_path):
        """Guard: the truncation in Journal.truncate_to_last_sync."""
        write_three_records(tmp_path)
        journal = open_journal(tmp_path)
        journal.append([entry(4)])
        journal.truncate_to_last_sync()
        journal.append([entry(4)])
        journal.sync()
        journal.close()
        found = open_journal(tmp_path).records
        assert [record.index for record in found] == [1, 2, 3, 4]

    def test_folder_of_another_instance_is_refused(self, tmp_path):
        journal = open_journal(tmp_path)
        journal.append([records.Identity(instance="n1", replica_id=1, group=0)])
        journal.sync()
        journal.close()
        with pytest.raises(errors.DataFolderOwnerError):
            journal_lib.Journal(folder=tmp_path, instance="n2")

    def test_damaged_journal_is_set_aside(self, tmp_path):
        path = write_three_records(tmp_path)
        data = bytearray(path.read_bytes())
        data[20] ^= 1
        path.write_bytes(bytes(data))
        moved = journal_lib.rename_damaged(tmp_path)
        assert moved.read_bytes() == bytes(data)
        assert open_journal(tmp_path).records == ()


class TestReplace:
    def test_replacement_holds_only_the_new_records(self, tmp_path):
        write_three_records(tmp_path)
        journal = open_journal(tmp_path)
        journal.replace([entry(9)])
        journal.append([entry(10)])
        journal.sync()
        journal.close()
        assert open_journal(tmp_path).records == (entry(9), entry(10))
        assert len(list(tmp_path.iterdir())) == 1

    def test_crash_before_the_rename_keeps_the_old_records(
        self, tmp_path, monkeypatch
    ):
        write_three_records(tmp_path)
        journal = open_journal(tmp_path)

        def fail(*unused):
            raise OSError(errno.EIO, "no rename")

        with monkeypatch.context() as patch:
            patch.setattr(os, "rename", fail)
            with pytest.raises(errors.DiskError):
                journal.replace([entry(9)])
        journal.close()
        assert len(open_journal(tmp_path).records) == 3

    def test_crash_after_the_rename_has_the_new_records(
        self, tmp_path, monkeypatch
    ):
        path = write_three_records(tmp_path)
        old = path.read_bytes()
        journal = open_journal(tmp_path)
        journal.replace([entry(9)])
        journal.close()
        path.write_bytes(old)
        assert open_journal(tmp_path).records == (entry(9),)


class TestMark:
    def test_part_of_a_mark_is_removed_before_the_next_write(
        self, tmp_path, monkeypatch
    ):
        """The disk fills up while the mark is written.

        Guard: `_is_mark_missing` in Journal.append.
        """
        journal = open_journal(tmp_path)
        journal.append([entry(1)])
        write_all = journal_lib._write_all

        def write_half(file, data):
            file.write(data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "full")

        monkeypatch.setattr(journal_lib, "_write_all", write_half)
        journal.sync()
        monkeypatch.setattr(journal_lib, "_write_all", write_all)
        journal.append([entry(2)])
        journal.sync()
        journal.close()
        assert open_journal(tmp_path).records == (entry(1), entry(2))

    def test_failed_truncation_at_the_start_is_a_disk_error(
        self, tmp_path, monkeypatch
    ):
        """Guard: `truncate_to_last_sync` in Journal.__init__."""
        path = write_three_records(tmp_path)
        path.write_bytes(path.read_bytes() + bytes(100))

        class BrokenFile(io.FileIO):
            def truncate(self, *unused):
                raise OSError(errno.EIO, "broken")

        monkeypatch.setattr(
            journal_lib, "_open_for_append", lambda p: BrokenFile(p, "ab")
        )
        with pytest.raises(errors.DiskError):
            open_journal(tmp_path)


class TestFullDisk:
    def test_full_disk_raises_disk_full_error(self, tmp_path, monkeypatch):
        journal = open_journal(tmp_path)

        def fail(*unused):
            raise OSError(errno.ENOSPC, "no space")

        monkeypatch.setattr(os, "fsync", fail)
        with pytest.raises(errors.DiskFullError):
            journal.replace([entry(1)])
