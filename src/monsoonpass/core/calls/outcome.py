"""Outcomes of calls that did not get an answer from an upstream."""

import dataclasses
import enum


class Outcome(enum.StrEnum):
    """What is known about the effect of a failed call.

    NOT_RUN: no upstream has run the call and none ever will.
    UNKNOWN: an upstream may have run the call.
    FAILED: an upstream ran the call and its answer was lost or incomplete.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class Reason(enum.StrEnum):
    """Why a call failed."""

    NO_CONFIGURATION = "no-configuration"
    NO_ROUTE = "no-route"
    NO_UPSTREAM = "no-upstream"
    OVERLOADED = "overloaded"
    BUSY = "busy"
    DEADLINE = "deadline"
    DRAINING = "draining"
    UPSTREAM_UNREACHABLE = "upstream-unreachable"
    UPSTREAM_BROKE_OFF = "upstream-broke-off"
    UPSTREAM_SHED = "upstream-shed"
    UPSTREAM_REPLACED = "upstream-replaced"
    LINK_LOST = "link-lost"
    CANCELLED = "cancelled"
    TOO_LARGE = "too-large"
    DUPLICATE_KEY = "duplicate-key"
    LEDGER_UNAVAILABLE = "ledger-unavailable"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Failure:
    """The final failure of a call.

    Attributes:
        outcome: What is known about the call's effect.
        reason: Why it failed.
        retry_after_s: When asking again may help, or None.
    """

    outcome: Outcome
    reason: Reason
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """How busy an upstream is, as its own node counts it.

    Attributes:
        slots: Calls that the upstream may run at once.
        in_progress: Calls that it is running.
        queued: Calls that wait for a slot.
        service_time_s: Smoothed time that a call takes.
    """

    slots: int
    in_progress: int
    queued: int
    service_time_s: float
