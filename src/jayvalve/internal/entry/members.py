"""Lookups of other processes for an entry: copy holders, entries and configuration versions."""

from jayvalve.errors import PeerUnavailableError
from jayvalve.internal.configuration import ConfigurationFollower
from jayvalve.internal.entry.endpoints import EndpointDirectory
from jayvalve.internal.membership import Member
from jayvalve.internal.runtime import Runtime, holder_name, split_holder_name
from jayvalve.internal.wire.messages import Heartbeat, Hello, Message

__all__ = ["ENTRY_ROLE", "EntryMembers"]

ENTRY_ROLE = "entry"
# Seeds and sidecars that do not answer within this time after the start are assumed to be gone.
SETTLE_LIMIT_S = 6.0
# The design target is about 1,000 instances. When more versions than this are stored, those of
# instances that are no longer members are dropped.
MAX_PEER_VERSIONS = 2048


class EntryMembers:
    """Finds processes and sends messages to them.

    The name of a process consists of its instance and its incarnation, see holder_name.
    """

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._view = runtime.view
        self._created_s = runtime.clock.now()
        self._settled = False
        # Latest incarnation of each instance and the highest configuration version it has sent.
        self._versions: dict[str, tuple[int, int]] = {}

    def entries(self) -> dict[str, str]:
        """Return the addresses of the live entries by instance, this entry included."""
        identity = self._runtime.identity
        found = {member.instance: member.address for member in self._view.live(ENTRY_ROLE)}
        return {**found, identity.instance: identity.address}

    def entry_names(self) -> list[str]:
        """Return the sorted instances of the live entries, this entry included."""
        return sorted(self.entries())

    def holders(self) -> list[tuple[str, str]]:
        """Return the names and data centres of the other processes that may hold copies."""
        return [(_name(member), member.data_centre) for member in self._view.usable()]

    def known_holders(self) -> list[tuple[str, str]]:
        """Return the names and data centres of the other processes, except those that ended."""
        named = [(_name(member), member.data_centre) for member in self._view.members()]
        return [(name, centre) for name, centre in named if not self.has_ended(name)]

    def owners(self) -> list[str]:
        """Return the names of the processes that may own programs, this one included."""
        names = [_name(member) for member in self._view.usable(ENTRY_ROLE)]
        return [*names, self._runtime.holder]

    def has_ended(self, name: str) -> bool:
        """Return whether a process is known to have ended; a suspected death is not enough."""
        instance, incarnation = split_holder_name(name)
        if instance == self._runtime.identity.instance:
            return incarnation < self._runtime.identity.incarnation
        return self._view.incarnation_ended(instance, incarnation)

    def is_believed_dead(self, name: str) -> bool:
        """Return whether a process has ended, has left or is believed to be dead."""
        return self._view.is_believed_dead(*split_holder_name(name))

    async def send(self, name: str, message: Message, timeout_s: float) -> Message:
        """Send a message to one incarnation of a process and return its reply.

        Raises:
            PeerUnavailableError: the process is not known or was replaced.
        """
        instance, incarnation = split_holder_name(name)
        member = self._view.get(instance)
        if member is None or member.incarnation != incarnation:
            raise PeerUnavailableError(f"{name} is not known or was replaced")
        return await self._runtime.pool.call(member.address, message, timeout_s)

    def is_settled(
        self, configuration: ConfigurationFollower, directory: EndpointDirectory
    ) -> bool:
        """Return whether the membership view is complete enough to look up programs.

        The view counts as complete once a configuration is in force and all seeds and sidecars
        are members, or once SETTLE_LIMIT_S has passed since the start, and always after that.
        """
        if not self._settled:
            expected = [*self._runtime.settings.seeds]
            expected += [endpoint.address for endpoint in directory.endpoints]
            complete = configuration.version > 0 and all(map(self._view.by_address, expected))
            waited_s = self._runtime.clock.now() - self._created_s
            self._settled = complete or waited_s > SETTLE_LIMIT_S
        return self._settled

    def observe_version(self, peer: Hello, heartbeat: Heartbeat) -> None:
        """Record the configuration version that a peer has in force."""
        seen = (peer.incarnation, heartbeat.configuration_version)
        self._versions[peer.instance] = max(seen, self._versions.get(peer.instance, seen))
        if len(self._versions) > MAX_PEER_VERSIONS:
            current = {member.instance for member in self._view.members()}
            self._versions = {k: v for k, v in self._versions.items() if k in current}

    def version_of(self, member: Member) -> int:
        """Return the highest configuration version that this incarnation sent, or 0 if none."""
        incarnation, version = self._versions.get(member.instance, (0, 0))
        return version if incarnation == member.incarnation else 0


def _name(member: Member) -> str:
    return holder_name(member.instance, member.incarnation)
