"""The catalogue of numbered log events."""

import enum


class Code(enum.Enum):
    """A log event, with its number, level and description."""

    NODE_STARTED = (100, "info", "The node started.")
    NODE_STOPPING = (101, "info", "A planned stop began.")
    NODE_STOPPED = (102, "info", "A planned stop is complete; the node exits.")
    SETTINGS_CHANGED = (103, "info", "Changed settings were loaded.")
    SETTINGS_REFUSED = (
        104,
        "error",
        "Changed settings are invalid; the previous settings stay in force.",
    )
    LINES_DROPPED = (
        105,
        "warning",
        "Log lines were dropped by the rate limit.",
    )
    DISK_FAILED = (110, "error", "A write to the journal failed.")
    DISK_RECOVERED = (113, "info", "A write that had failed before succeeded.")
    JOURNAL_RECOVERED = (111, "info", "The journal was read at startup.")
    JOURNAL_DAMAGED = (
        112,
        "error",
        "The journal is damaged; the replica rejoins as a learner.",
    )
    CONFINED_FAILURE = (
        114,
        "error",
        "An unexpected error ended one call, message, link or connection.",
    )
    LINK_UP = (120, "info", "A stream to a peer is established.")
    LINK_LOST = (121, "info", "The last stream to a peer ended.")
    PEER_REFUSED = (122, "warning", "A peer broke the protocol.")
    MESSAGE_SKIPPED = (
        126,
        "warning",
        "A peer sent a message of a type that this build does not know.",
    )
    DATAGRAM_REFUSED = (123, "warning", "A datagram was not valid.")
    TRAFFIC = (
        124,
        "info",
        "Messages and bytes sent to peers since the last such event.",
    )
    MESSAGE_DROPPED = (
        125,
        "warning",
        "Too many messages wait for a stream to a peer; this one was dropped.",
    )
    GROUP_FORMED = (200, "info", "The control group was formed.")
    LEADER_ELECTED = (201, "info", "This replica became the leader.")
    LEADER_RESIGNED = (202, "info", "This replica stopped being the leader.")
    VOTERS_CHANGED = (203, "info", "The control group's members changed.")
    VERSION_ACCEPTED = (300, "info", "A configuration version was accepted.")
    VERSION_IN_FORCE = (
        301,
        "info",
        "This node applied a configuration version.",
    )
    VERSION_REFUSED = (302, "warning", "A submitted version was refused.")
    CONFIGURATION_REJECTED = (
        303,
        "error",
        "A received configuration was not valid and was not applied.",
    )
    COLD_START_READ = (304, "info", "The first version since startup was read.")
    BRANCH_TAKEN_OVER = (
        305,
        "info",
        "A branch's head did not acknowledge; this node serves the branch.",
    )
    MEMBER_JOINED = (400, "info", "A member joined the data centre's table.")
    MEMBER_SUSPECTED = (401, "warning", "A member did not answer its probes.")
    MEMBER_FAILED = (402, "warning", "A suspected member was declared dead.")
    MEMBER_LEFT = (403, "info", "A member left gracefully.")
    PARTITION_SUSPECTED = (
        404,
        "warning",
        "Too many members are silent at once; their records are kept.",
    )
    PARTITION_HEALED = (405, "info", "The suspected partition is over.")
    UPSTREAM_ANNOUNCED = (500, "info", "The upstream announced itself.")
    UPSTREAM_DRAINING = (501, "info", "The upstream is draining.")
    UPSTREAM_WITHDRAWN = (
        502,
        "warning",
        "The upstream is withdrawn, for the reason in the event.",
    )
    UPSTREAM_SILENT = (
        503,
        "warning",
        "The upstream has neither announced itself nor answered for too long.",
    )
    ANNOUNCEMENT_IGNORED = (
        504,
        "info",
        "An announcement was outdated, or its upstream cannot be offered.",
    )
    UPSTREAM_NOTICE = (505, "info", "An upstream gave notice of leaving.")
    ANNOUNCEMENT_WAITS = (
        506,
        "info",
        "The upstream waits until any notice of leaving would be known.",
    )
    NOTICE_NOT_STORED = (
        507,
        "warning",
        "The control group has not stored a notice of leaving in time.",
    )
    CALLERS_SHED = (
        160,
        "warning",
        "Connections or requests of callers were refused or closed, because "
        "of a limit on what all callers together may use.",
    )
    ROLLOUT_ORDERED = (600, "info", "A rollout of a service was ordered.")
    ROLLOUT_STEP = (
        601,
        "info",
        "A rollout's share or its canaries changed.",
    )
    ROLLOUT_PROMOTED = (
        602,
        "info",
        "The target of a rollout was found good; its share grows.",
    )
    ROLLOUT_COMPLETED = (
        603,
        "info",
        "A rollout is completed: no call is left at other versions.",
    )
    ROLLOUT_ROLLED_BACK = (
        604,
        "warning",
        "A rollout was rolled back: its target was bad, or not proven in time.",
    )
    ROLLOUT_REFUSED = (605, "warning", "An order of a rollout was refused.")
    CALL_FAILED = (510, "warning", "A call was answered with a failure.")

    QUOTA_ALLOCATOR_STARTED = (
        520,
        "info",
        "This leader started to allocate the tokens of limited workspaces.",
    )
    QUOTA_OWN_SHARE_USED = (
        521,
        "warning",
        "No allocator answers; this node admits calls from its own share.",
    )
    QUOTA_CONTACT_RESTORED = (
        522,
        "info",
        "An allocator answers again; the own share is no longer used.",
    )

    def __init__(self, number: int, level: str, meaning: str):
        self.number = number
        self.level = level
        self.meaning = meaning
