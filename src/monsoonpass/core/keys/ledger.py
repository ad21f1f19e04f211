"""The ledger of idempotency keys, part of the replicated state machine.

A key is claimed, durably on a majority, before its call is dispatched, so a
call with a key is dispatched at most once over all resends, nodes, data
centres and restarts until the key expires.
"""

import dataclasses
import enum

from monsoonpass import codec
from monsoonpass.core import address as address_lib

CLAIM_LEASE_MS = 120_000
RECORD_TTL_MS = 24 * 3600 * 1000
KEYS_MAX = 20_000
STORED_BODY_MAX_BYTES = 8 * 1024
STORED_TOTAL_MAX_BYTES = 4 * 1024 * 1024
KEY_MAX_CHARS = 255

Headers = tuple[tuple[bytes, bytes], ...]


class KeyState(enum.IntEnum):
    """What is known of the call that claimed a key."""

    CLAIMED = 0
    FINISHED = 1
    UNKNOWN = 2


class Verdict(enum.IntEnum):
    """The answer to a claim.

    GRANTED: The key is claimed for this call: dispatch it.
    IN_PROGRESS: Another call holds the key and has not ended.
    FINISHED: The call was run; its answer follows if it was stored.
    UNKNOWN: The call may have run; it is not repeated.
    MISMATCH: The key was used for a different request.
    FULL: The ledger is full: not claimed.
    NOT_LEADER: The node asked does not lead; internal.
    """

    GRANTED = 0
    IN_PROGRESS = 1
    FINISHED = 2
    UNKNOWN = 3
    MISMATCH = 4
    FULL = 5
    NOT_LEADER = 6


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Claimant:
    """The call that claims a key: its entry node and its number there."""

    instance: str
    call_id: int


@codec.register(72)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimKey:
    """Command: claim a key.

    Attributes:
        service: Service called.
        key: The caller's idempotency key.
        fingerprint: Digest of the request.
        claimant: The call.
        now_ms: The leader's wall clock.
    """

    service: str
    key: str
    fingerprint: bytes
    claimant: Claimant
    now_ms: int


@codec.register(73)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SettleKey:
    """Command: say what became of the call that claimed a key.

    Attributes:
        service: Service called.
        key: The caller's idempotency key.
        claimant: The call that holds the claim.
        released: Whether the call never ran, so the key is free again.
        status: HTTP status of the whole answer; 0 if the outcome is unknown.
        headers: Answer headers.
        body: Answer body, if it is stored.
        stored: Whether headers and body are stored.
        now_ms: The leader's wall clock.
    """

    service: str
    key: str
    claimant: Claimant
    released: bool
    status: int
    headers: Headers
    body: bytes
    stored: bool
    now_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyRecord:
    """What the ledger holds of one key."""

    service: str
    key: str
    fingerprint: bytes
    claimant: Claimant
    state: KeyState
    status: int
    headers: Headers
    body: bytes
    stored: bool
    expires_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimResult:
    """The verdict on a claim, with the record of an earlier call."""

    verdict: Verdict
    record: KeyRecord | None


@codec.register(110)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRequest:
    """Asks the leader to claim a key for a call of the sender."""

    call_id: int
    service: str
    key: str
    fingerprint: bytes


@codec.register(111)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimReply:
    """Answers a `ClaimRequest`."""

    call_id: int
    verdict: Verdict
    record: KeyRecord | None
    leader: address_lib.Address | None


@codec.register(112)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SettleRequest:
    """Asks the leader to settle a key that a call of the sender claimed."""

    call_id: int
    service: str
    key: str
    released: bool
    status: int
    headers: Headers
    body: bytes
    stored: bool


@codec.register(113)
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SettleReply:
    """Says that a settlement is durable, or where the leader is."""

    call_id: int
    done: bool
    leader: address_lib.Address | None


class Ledger:
    """The keys, bounded by count, size and time; deterministic."""

    def __init__(self) -> None:
        self._records: dict[tuple[str, str], KeyRecord] = {}
        self._stored_bytes = 0
        self._now_ms = 0

    def records(self) -> tuple[KeyRecord, ...]:
        """Return all records, oldest claim first."""
        return tuple(self._records.values())

    def load(self, records: tuple[KeyRecord, ...]) -> None:
        """Replace all records."""
        self._records = {(r.service, r.key): r for r in records}
        self._stored_bytes = sum(len(r.body) for r in records)

    def claim(self, command: ClaimKey) -> ClaimResult:
        """Claim a key, or tell what became of the call that has it."""
        self._advance_clock(command.now_ms)
        record_key = (command.service, command.key)
        existing = self._records.get(record_key)
        if existing is None:
            if len(self._records) >= KEYS_MAX:
                return ClaimResult(verdict=Verdict.FULL, record=None)
            self._records[record_key] = _new_record(command, self._now_ms)
            return ClaimResult(verdict=Verdict.GRANTED, record=None)
        if existing.fingerprint != command.fingerprint:
            return ClaimResult(verdict=Verdict.MISMATCH, record=None)
        if existing.state is KeyState.FINISHED:
            return ClaimResult(verdict=Verdict.FINISHED, record=existing)
        if existing.state is KeyState.UNKNOWN or self._is_lease_expired(
            existing
        ):
            return ClaimResult(verdict=Verdict.UNKNOWN, record=None)
        if existing.claimant == command.claimant:
            # The first reply was lost; the call has not been dispatched.
            return ClaimResult(verdict=Verdict.GRANTED, record=None)
        return ClaimResult(verdict=Verdict.IN_PROGRESS, record=None)

    def settle(self, command: SettleKey) -> None:
        """Enter what became of a call, if it still holds the claim."""
        self._advance_clock(command.now_ms)
        record_key = (command.service, command.key)
        existing = self._records.get(record_key)
        if existing is None or existing.claimant != command.claimant:
            return
        if existing.state is not KeyState.CLAIMED:
            return
        if command.released:
            del self._records[record_key]
            return
        free_bytes = STORED_TOTAL_MAX_BYTES - self._stored_bytes
        stored = command.stored and len(command.body) <= free_bytes
        body = command.body if stored else b""
        self._stored_bytes += len(body)
        self._records[record_key] = dataclasses.replace(
            existing,
            state=KeyState.FINISHED if command.status else KeyState.UNKNOWN,
            status=command.status,
            headers=command.headers if stored else (),
            body=body,
            stored=stored,
        )

    def _advance_clock(self, now_ms: int) -> None:
        """Move the ledger's time on, never back, and drop expired keys."""
        self._now_ms = max(self._now_ms, now_ms)
        while self._records:
            record_key, oldest = next(iter(self._records.items()))
            if oldest.expires_ms > self._now_ms:
                return
            self._stored_bytes -= len(oldest.body)
            del self._records[record_key]

    def _is_lease_expired(self, record: KeyRecord) -> bool:
        claimed_ms = record.expires_ms - RECORD_TTL_MS
        return self._now_ms - claimed_ms > CLAIM_LEASE_MS


def _new_record(command: ClaimKey, now_ms: int) -> KeyRecord:
    return KeyRecord(
        service=command.service,
        key=command.key,
        fingerprint=command.fingerprint,
        claimant=command.claimant,
        state=KeyState.CLAIMED,
        status=0,
        headers=(),
        body=b"",
        stored=False,
        expires_ms=now_ms + RECORD_TTL_MS,
    )
