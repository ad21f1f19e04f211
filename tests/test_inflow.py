"""Tests of the bound on bodies that come at the same time."""

from monsoonpass.runtime import body as body_lib
from monsoonpass.runtime import inflow as inflow_lib

CHUNK = body_lib.CHUNK_BYTES
LIMIT = 4 * CHUNK


class Upload:
    """A sender that uses its credit, and a receiver that asks for more."""

    def __init__(self, inflow, size_bytes: int):
        self.left_bytes = size_bytes
        self.credit_bytes = 0
        self.ticket = inflow.ticket(self._granted)
        self.ticket.want(body_lib.WINDOW_BYTES)

    def _granted(self, size_bytes: int) -> None:
        self.credit_bytes += size_bytes

    def send(self) -> int:
        """Send one chunk; return its size."""
        size_bytes = min(CHUNK, self.credit_bytes, self.left_bytes)
        self.credit_bytes -= size_bytes
        self.left_bytes -= size_bytes
        self.ticket.arrived(size_bytes)
        if self.left_bytes:
            self.ticket.want(size_bytes)
        else:
            self.ticket.close()
        return size_bytes


class TestManyUploads:
    def test_what_waits_in_front_of_the_link_does_not_grow_with_them(self):
        """Replays ten uploads to an instance with a link of 3 Mbit/s.

        Guard: `left` in inflow._share. Without the bound they had 2.6 MB of
        credit together, seven seconds of that link.
        """
        inflow = inflow_lib.Inflow(limit_bytes=LIMIT)
        uploads = [Upload(inflow, 300_000) for _ in range(10)]
        while any(upload.left_bytes for upload in uploads):
            credit = sum(upload.credit_bytes for upload in uploads)
            assert credit <= LIMIT + len(uploads) * CHUNK
            assert sum(upload.send() for upload in uploads)

    def test_they_advance_in_turns(self):
        inflow = inflow_lib.Inflow(limit_bytes=LIMIT)
        uploads = [Upload(inflow, 320_000) for _ in range(8)]
        for _ in range(10):
            for upload in uploads:
                upload.send()
        left = [upload.left_bytes for upload in uploads]
        assert max(left) - min(left) <= LIMIT + CHUNK

    def test_slow_senders_leave_the_others_a_chunk_each(self):
        inflow = inflow_lib.Inflow(limit_bytes=LIMIT)
        for _ in range(12):
            Upload(inflow, 300_000)
        quick = Upload(inflow, 300_000)
        while quick.left_bytes:
            assert quick.send()

    def test_one_that_ends_early_frees_its_credit(self):
        """Guard: `close`."""
        inflow = inflow_lib.Inflow(limit_bytes=LIMIT)
        first = Upload(inflow, 300_000)
        second = Upload(inflow, 300_000)
        assert (first.credit_bytes, second.credit_bytes) == (LIMIT, CHUNK)
        first.ticket.close()
        assert second.credit_bytes >= LIMIT


class TestLimit:
    def test_limit_follows_the_link(self):
        assert inflow_lib.limit_bytes(3.5) == 65_625
        assert inflow_lib.limit_bytes(2.0) == inflow_lib.LIMIT_MIN_BYTES
        assert inflow_lib.limit_bytes(1000.0) == inflow_lib.LIMIT_MAX_BYTES
        assert inflow_lib.limit_bytes(0.0) == inflow_lib.LIMIT_MAX_BYTES
