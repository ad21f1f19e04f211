"""The table of member records."""

from collections.abc import Iterable
import hashlib

from monsoonpass.core.membership import member as member_lib

BUCKETS = 32
TOMBSTONE_S = 300.0


class MemberTable:
    """Member records by instance, with digests for comparing two tables.

    The digests cover present members only. Records of members that died or
    left are kept for `TOMBSTONE_S`, so that outdated updates cannot make them
    present again.

    Attributes:
        by_service: Present members by service, then by instance.
        versions: Number of present members by service, then by version.
        present_count: Number of members that are alive or suspected.
        suspect_count: Number of members that are suspected.
        present_by_data_centre: Number of present members by data centre.
        revisions: Changes of the present members, by service.
    """

    def __init__(self) -> None:
        self.present_count = 0
        self.suspect_count = 0
        self.present_by_data_centre: dict[str, int] = {}
        self.revisions: dict[str, int] = {}
        self._members: dict[str, member_lib.Member] = {}
        self._absent_since_s: dict[str, float] = {}
        self._buckets = [0] * BUCKETS
        self.by_service: dict[str, dict[str, member_lib.Member]] = {}
        self.versions: dict[str, dict[str, int]] = {}

    def get(self, instance: str) -> member_lib.Member | None:
        """Return a record by instance name, or None."""
        return self._members.get(instance)

    def present(self) -> list[member_lib.Member]:
        """Return all members that are alive or suspected."""
        return [m for m in self._members.values() if m.is_present]

    def alive(self) -> list[member_lib.Member]:
        """Return all members that are alive and not suspected."""
        alive = member_lib.MemberState.ALIVE
        return [m for m in self._members.values() if m.state is alive]

    def put(self, member: member_lib.Member, now_s: float) -> None:
        """Insert a record, replacing an older one of the instance."""
        old = self._members.get(member.instance)
        if old is not None:
            self._index(old, adds=False)
        self._members[member.instance] = member
        self._index(member, adds=True)
        if member.is_present:
            self._absent_since_s.pop(member.instance, None)
        else:
            self._absent_since_s.setdefault(member.instance, now_s)

    def purge(self, now_s: float) -> None:
        """Remove records of members that died or left `TOMBSTONE_S` ago."""
        for instance, absent_since_s in list(self._absent_since_s.items()):
            if now_s - absent_since_s > TOMBSTONE_S:
                del self._absent_since_s[instance]
                del self._members[instance]

    @property
    def buckets(self) -> tuple[int, ...]:
        """Digests of the buckets."""
        return tuple(self._buckets)

    @property
    def digest(self) -> int:
        """Digest of all present members."""
        digest = 0
        for position, value in enumerate(self._buckets):
            digest ^= (value * (2 * position + 1)) & 0xFFFFFFFFFFFFFFFF
        return digest

    def in_buckets(self, numbers: Iterable[int]) -> list[member_lib.Member]:
        """Return all records in the given buckets, present members or not."""
        wanted = set(numbers)
        return [
            member
            for member in self._members.values()
            if _bucket(member.instance) in wanted
        ]

    def _index(self, member: member_lib.Member, *, adds: bool) -> None:
        if not member.is_present:
            return
        step = 1 if adds else -1
        self.present_count += step
        data_centre = member.data_centre
        count = self.present_by_data_centre.get(data_centre, 0) + step
        self.present_by_data_centre[data_centre] = count
        if not count:
            del self.present_by_data_centre[data_centre]
        if member.state is member_lib.MemberState.SUSPECT:
            self.suspect_count += step
        # The digest excludes the state, since suspicion is a local opinion and
        # must not make two tables differ.
        self._buckets[_bucket(member.instance)] ^= _digest(member)
        if not member.service:
            return
        service = member.service
        self.revisions[service] = self.revisions.get(service, 0) + 1
        group = self.by_service.setdefault(service, {})
        if adds:
            group[member.instance] = member
        else:
            group.pop(member.instance, None)
        versions = self.versions.setdefault(member.service, {})
        count = versions.get(member.version, 0) + step
        versions[member.version] = count
        if not count:
            del versions[member.version]


def rank(instance: str, salt: str) -> int:
    """Return the rendezvous hashing rank of an instance.

    Args:
        instance: Name of the instance.
        salt: Purpose of the ranking; each purpose has its own order.

    Returns:
        A number, the same on every node; the lowest rank comes first.
    """
    digest = hashlib.blake2b(f"{salt}/{instance}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def _bucket(instance: str) -> int:
    return rank(instance, "bucket") % BUCKETS


def _digest(member: member_lib.Member) -> int:
    text = f"{member.instance}/{member.incarnation}"
    return int.from_bytes(
        hashlib.blake2b(text.encode(), digest_size=8).digest(), "big"
    )
