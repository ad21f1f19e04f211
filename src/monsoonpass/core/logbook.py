"""The catalogue of numbered log events."""

import enum


class Code(enum.Enum):
    """A numbered log event: its number, its level and its meaning."""

    NODE_STARTED = (100, "info", "The node started.")
    NODE_STOPPING = (101, "info", "A planned stop began.")
    NODE_STOPPED = (102, "info", "No call was in progress; the node ended.")
    SETTINGS_CHANGED = (103, "info", "Changed settings were read.")
    SETTINGS_REFUSED = (
        104,
        "error",
        "Changed settings are wrong; those in force stay.",
    )
    LINES_DROPPED = (105, "warning", "Log lines were dropped, by the bound.")
    DISK_FAILED = (110, "error", "A write to the journal failed.")
    DISK_RECOVERED = (113, "info", "The write that had failed succeeded.")
    JOURNAL_RECOVERED = (111, "info", "The journal was read at start.")
    JOURNAL_DAMAGED = (
        112,
        "error",
        "The journal is damaged; the replica rejoins as a learner.",
    )
    LINK_UP = (120, "info", "A stream to a peer is established.")
    LINK_LOST = (121, "info", "The last stream to a peer ended.")
    PEER_REFUSED = (122, "warning", "A peer broke the protocol.")
    DATAGRAM_REFUSED = (123, "warning", "A datagram was not valid.")
    TRAFFIC = (
        124,
        "info",
        "What was sent to peers since the last such line: messages and bytes.",
    )
    GROUP_FORMED = (200, "info", "The control group was formed.")
    LEADER_ELECTED = (201, "info", "This replica became the leader.")
    LEADER_RESIGNED = (202, "info", "This replica is no longer the leader.")
    VOTERS_CHANGED = (203, "info", "The control group's members changed.")
    VERSION_ACCEPTED = (300, "info", "A configuration version was accepted.")
    VERSION_IN_FORCE = (301, "info", "A version came into force here.")
    VERSION_REFUSED = (302, "warning", "A submitted version was refused.")
    CONFIGURATION_REJECTED = (
        303,
        "error",
        "A received configuration was not valid and was not applied.",
    )
    COLD_START_READ = (304, "info", "The first version was read.")
    BRANCH_TAKEN_OVER = (
        305,
        "info",
        "A member did not acknowledge a version; those below get it from here.",
    )
    MEMBER_JOINED = (400, "info", "A member joined the data centre's table.")
    MEMBER_SUSPECTED = (401, "warning", "A member missed its probes.")
    MEMBER_FAILED = (402, "warning", "A suspected member did not refute.")
    MEMBER_LEFT = (403, "info", "A member left gracefully.")
    PARTITION_SUSPECTED = (
        404,
        "warning",
        "Many members were lost at once; their records are kept.",
    )
    PARTITION_HEALED = (405, "info", "Most lost members answer again.")
    UPSTREAM_ANNOUNCED = (500, "info", "The upstream announced itself.")
    UPSTREAM_DRAINING = (501, "info", "The upstream is leaving.")
    UPSTREAM_WITHDRAWN = (
        502,
        "warning",
        "The upstream could not be reached and is withdrawn for a while.",
    )
    UPSTREAM_SILENT = (
        503,
        "warning",
        "The upstream has not announced itself for too long.",
    )
    ANNOUNCEMENT_IGNORED = (
        504,
        "info",
        "An announcement is older than what is known, or not usable.",
    )
    UPSTREAM_NOTICE = (505, "info", "A notice of leaving was taken.")
    ANNOUNCEMENT_WAITS = (
        506,
        "info",
        "An announcement waits for what members remember of its upstream.",
    )
    CALL_FAILED = (510, "warning", "A call got a failure as its answer.")

    def __init__(self, number: int, level: str, meaning: str):
        self.number = number
        self.level = level
        self.meaning = meaning
