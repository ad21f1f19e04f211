"""State of quotas at one node."""

import dataclasses

from monsoonpass.core.distribution import catalog as catalog_lib
from monsoonpass.core.quotas import allocator as allocator_lib
from monsoonpass.core.quotas import limits as limits_lib
from monsoonpass.core.quotas import token_holder


@dataclasses.dataclass(kw_only=True, slots=True)
class QuotaState:
    """State of quotas at one node.

    Attributes:
        holder: Tokens of this node, as an entry node.
        allocator: Allocator of this node's term as the leader, or None.
        catalog: Configuration that `limits` are taken from.
        limits: Limits of the limited workspaces in force, by name.
        timer_due_s: When the timer fires; infinite if it is not set.
    """

    holder: token_holder.TokenHolder = dataclasses.field(
        default_factory=token_holder.TokenHolder
    )
    allocator: allocator_lib.Allocator | None = None
    catalog: catalog_lib.Catalog = catalog_lib.EMPTY_CATALOG
    limits: dict[str, limits_lib.Limit] = dataclasses.field(
        default_factory=dict
    )
    timer_due_s: float = float("inf")
