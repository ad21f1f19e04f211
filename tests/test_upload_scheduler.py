"""Tests of the credit for concurrent uploads."""

from monsoonpass.runtime import body as body_lib
from monsoonpass.runtime import upload_scheduler as upload_scheduler_lib

CHUNK_BYTES = body_lib.CHUNK_BYTES
LIMIT_BYTES = 4 * CHUNK_BYTES


class SimulatedUpload:
    """A sender that spends its credit, and a receiver that requests more."""

    def __init__(self, upload_scheduler, size_bytes: int):
        self.remaining_bytes = size_bytes
        self.credit_bytes = 0
        self.upload = upload_scheduler.open_upload(self._on_grant)
        self.upload.request(body_lib.WINDOW_BYTES)

    def _on_grant(self, size_bytes: int) -> None:
        self.credit_bytes += size_bytes

    def send(self) -> int:
        """Send one chunk; return its size."""
        size_bytes = min(CHUNK_BYTES, self.credit_bytes, self.remaining_bytes)
        self.credit_bytes -= size_bytes
        self.remaining_bytes -= size_bytes
        self.upload.count_received(size_bytes)
        if self.remaining_bytes:
            self.upload.request(size_bytes)
        else:
            self.upload.close()
        return size_bytes


class TestConcurrentUploads:
    def test_total_credit_does_not_grow_with_the_number_of_uploads(self):
        """Simulate ten uploads to an instance with a link of 3 Mbit/s.

        Without the limit, the uploads have 2.6 MB of credit in total, which
        takes that link seven seconds.

        Guard: `available_bytes` in UploadScheduler._next_grant_bytes.
        """
        upload_scheduler = upload_scheduler_lib.UploadScheduler(
            limit_bytes=LIMIT_BYTES
        )
        uploads = [
            SimulatedUpload(upload_scheduler, 300_000) for _ in range(10)
        ]
        while any(upload.remaining_bytes for upload in uploads):
            credit = sum(upload.credit_bytes for upload in uploads)
            assert credit <= LIMIT_BYTES + len(uploads) * CHUNK_BYTES
            assert sum(upload.send() for upload in uploads)

    def test_uploads_advance_at_the_same_rate(self):
        upload_scheduler = upload_scheduler_lib.UploadScheduler(
            limit_bytes=LIMIT_BYTES
        )
        uploads = [SimulatedUpload(upload_scheduler, 320_000) for _ in range(8)]
        for _ in range(10):
            for upload in uploads:
                upload.send()
        remaining = [upload.remaining_bytes for upload in uploads]
        assert max(remaining) - min(remaining) <= LIMIT_BYTES + CHUNK_BYTES

    def test_slow_senders_do_not_block_a_fast_one(self):
        upload_scheduler = upload_scheduler_lib.UploadScheduler(
            limit_bytes=LIMIT_BYTES
        )
        for _ in range(12):
            SimulatedUpload(upload_scheduler, 300_000)
        fast = SimulatedUpload(upload_scheduler, 300_000)
        while fast.remaining_bytes:
            assert fast.send()

    def test_closed_upload_frees_its_credit(self):
        """Guard: `release` in Upload.close."""
        upload_scheduler = upload_scheduler_lib.UploadScheduler(
            limit_bytes=LIMIT_BYTES
        )
        first = SimulatedUpload(upload_scheduler, 300_000)
        second = SimulatedUpload(upload_scheduler, 300_000)
        assert (first.credit_bytes, second.credit_bytes) == (
            LIMIT_BYTES,
            CHUNK_BYTES,
        )
        first.upload.close()
        assert second.credit_bytes >= LIMIT_BYTES


class TestLimit:
    def test_limit_scales_with_the_link_rate(self):
        assert upload_scheduler_lib.credit_limit_bytes(3.5) == 65_625
        assert (
            upload_scheduler_lib.credit_limit_bytes(2.0)
            == upload_scheduler_lib.LIMIT_MIN_BYTES
        )
        assert (
            upload_scheduler_lib.credit_limit_bytes(1000.0)
            == upload_scheduler_lib.LIMIT_MAX_BYTES
        )
        assert (
            upload_scheduler_lib.credit_limit_bytes(0.0)
            == upload_scheduler_lib.LIMIT_MAX_BYTES
        )
