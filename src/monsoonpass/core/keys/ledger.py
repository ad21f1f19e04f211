"""The ledger of idempotency keys, a part of the replicated state machine.

A key is claimed, durably on a majority, before its call is dispatched. A call
with a key is therefore dispatched at most once until the key expires, even if
it is resent to other nodes or data centres and even if nodes restart.
"""

import dataclasses
import enum

from monsoonpass import codec
from monsoonpass import immutable
from monsoonpass.core import address as address_lib

CLAIM_LEASE_MS = 120_000  # Then the outcome of an unsettled claim is unknown.
RECORD_TTL_MS = 24 * 3600 * 1000
KEYS_MAX = 20_000
STORED_BODY_MAX_BYTES = 8 * 1024
STORED_TOTAL_MAX_BYTES = 8 * 1024 * 1024  # Headers and bodies of all answers.
KEY_MAX_CHARS = 255

Headers = tuple[tuple[bytes, bytes], ...]


class KeyState(enum.IntEnum):
    """State of the call that claimed a key."""

    CLAIMED = 0
    FINISHED = 1
    UNKNOWN = 2


class Verdict(enum.IntEnum):
    """Result of a claim.

    GRANTED: The key is claimed for this call, which may be dispatched.
    IN_PROGRESS: Another call holds the key and has not ended.
    FINISHED: An earlier call with the key was run; its answer is included if
        it was stored.
    UNKNOWN: An earlier call with the key may have run; it is not repeated.
    MISMATCH: The key was used for a different request.
    FULL: The ledger is full; the key was not claimed.
    NOT_LEADER: The node asked is not the leader; not a result of the ledger.
    """

    GRANTED = 0
    IN_PROGRESS = 1
    FINISHED = 2
    UNKNOWN = 3
    MISMATCH = 4
    FULL = 5
    NOT_LEADER = 6


@immutable.dataclass
class Claimant:
    """A call that claims a key: its entry node and its number there."""

    instance: str
    call_id: int


@codec.register(72)
@immutable.dataclass
class ClaimKey:
    """Command that claims a key.

    Attributes:
        service: Service called.
        key: The caller's idempotency key.
        fingerprint: Digest of the request.
        claimant: The call that claims the key.
        now_ms: The leader's wall clock.
    """

    service: str
    key: str
    fingerprint: bytes
    claimant: Claimant
    now_ms: int


@codec.register(73)
@immutable.dataclass
class SettleKey:
    """Command that records the outcome of the call that claimed a key.

    Attributes:
        service: Service called.
        key: The caller's idempotency key.
        claimant: The call that holds the claim.
        released: Whether the call never ran, which makes the key free again.
        status: HTTP status of the complete answer; 0 if the outcome is
            unknown.
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


@immutable.dataclass
class KeyRecord:
    """Record of a key in the ledger."""

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

    @property
    def answer_bytes(self) -> int:
        """Length of the stored answer."""
        return _answer_bytes(self.headers, self.body)


@immutable.dataclass
class ClaimResult:
    """The verdict on a claim, and the record of an earlier call or None."""

    verdict: Verdict
    record: KeyRecord | None


@codec.register(110)
@immutable.dataclass
class ClaimRequest:
    """Asks the leader to claim a key for a call at the sender."""

    call_id: int
    service: str
    key: str
    fingerprint: bytes


@codec.register(111)
@immutable.dataclass
class ClaimReply:
    """Answers a `ClaimRequest`."""

    call_id: int
    verdict: Verdict
    record: KeyRecord | None
    leader: address_lib.Address | None


@codec.register(112)
@immutable.dataclass
class SettleRequest:
    """Asks the leader to settle a key claimed by a call at the sender."""

    call_id: int
    service: str
    key: str
    released: bool
    status: int
    headers: Headers
    body: bytes
    stored: bool


@codec.register(113)
@immutable.dataclass
class SettleReply:
    """Confirms that a settlement is durable, or names the leader to ask."""

    call_id: int
    done: bool
    leader: address_lib.Address | None


class Ledger:
    """Deterministic store of keys, bounded by count, body size and time."""

    def __init__(self) -> None:
        self._records: dict[tuple[str, str], KeyRecord] = {}
        self._stored_bytes = 0
        self._now_ms = 0

    def records(self) -> tuple[KeyRecord, ...]:
        """Return all records, oldest claim first."""
        return tuple(self._records.values())

    def restore(self, records: tuple[KeyRecord, ...]) -> None:
        """Replace all records."""
        self._records = {(r.service, r.key): r for r in records}
        self._stored_bytes = sum(r.answer_bytes for r in records)

    def claim(self, command: ClaimKey) -> ClaimResult:
        """Claim a key, or return the outcome of the call that holds it."""
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
            # The reply was lost, so the call has not been dispatched yet.
            return ClaimResult(verdict=Verdict.GRANTED, record=None)
        return ClaimResult(verdict=Verdict.IN_PROGRESS, record=None)

    def settle(self, command: SettleKey) -> None:
        """Record the outcome of a call, if the call still holds the claim."""
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
        answer_bytes = _answer_bytes(command.headers, command.body)
        stored = command.stored and answer_bytes <= free_bytes
        record = dataclasses.replace(
            existing,
            state=KeyState.FINISHED if command.status else KeyState.UNKNOWN,
            status=command.status,
            headers=command.headers if stored else (),
            body=command.body if stored else b"",
            stored=stored,
        )
        self._stored_bytes += record.answer_bytes
        self._records[record_key] = record

    def _advance_clock(self, now_ms: int) -> None:
        """Advance the clock, never backwards, and drop expired keys."""
        self._now_ms = max(self._now_ms, now_ms)
        while self._records:
            record_key, oldest = next(iter(self._records.items()))
            if oldest.expires_ms > self._now_ms:
                return
            self._stored_bytes -= oldest.answer_bytes
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


def _answer_bytes(headers: Headers, body: bytes) -> int:
    return len(body) + sum(len(name) + len(value) for name, value in headers)
