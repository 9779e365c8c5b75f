"""Relays, which sum up what the instances of a failure domain tell the others.

In a small fleet each instance tells every other one. In a large one that would be too
many messages, or too rare ones, so the first instances of a rendezvous order act as
relays: the members of their failure domain tell only them, and they tell the sum to
the relays of the other domains and to their own members. Nobody is elected; members
that do not hear a relay go on to the next in order.
"""

from enum import Enum

from .peers import rank_domains

RELAYS_PER_DOMAIN = 2
# Fleets up to this size exchange messages between all instances.
MAX_FLAT_FLEET = 24
RELAY_PERIOD_S = 0.4
# Messages may be lost, so several have to be missing.
MAX_SILENCE_S = 1.6
SUSPICION_S = 6.0
RELAYS_KEY = b"load relays"


class Scope(Enum):
    """Whose data a message holds."""

    INSTANCE = 0
    DOMAIN = 1
    FLEET = 2


class Role(Enum):
    """How an instance takes part in the exchange of messages."""

    FLAT = "flat"
    MEMBER = "member"
    RELAY = "relay"


class RelaySelection:
    """Tells to which instances this one sends its messages.

    Parameters
    ----------
    own_id : str
        Incarnation of this instance.
    failure_domain : FailureDomain
        Where this instance runs.
    """

    def __init__(self, own_id, failure_domain):
        self._own_id = own_id
        self._failure_domain = failure_domain
        self._heard_at = {}
        self._remote_heard_at = {}
        self._asked_since = {}
        self._suspected_until = {}
        self.set_peers({})

    def set_peers(self, peers):
        """Replace the known instances.

        Parameters
        ----------
        peers : dict of str to Peer
            The other instances, by incarnation.
        """
        self._domains = rank_domains(
            RELAYS_KEY, self._own_id, self._failure_domain, peers
        )
        self._peers = peers
        for times in (
            self._heard_at,
            self._remote_heard_at,
            self._asked_since,
            self._suspected_until,
        ):
            for peer_id in times.keys() - peers.keys():
                del times[peer_id]

    def record_heard(self, peer_id, now):
        """Record a message of another instance at monotonic time `now`."""
        self._heard_at[peer_id] = now
        self._suspected_until.pop(peer_id, None)

    def record_remote_relay(self, peer_id, now):
        """Record a message of a relay of another failure domain."""
        self._remote_heard_at[peer_id] = now

    def find_role(self, now):
        """Return the Role of this instance."""
        if len(self._peers) < MAX_FLAT_FLEET:
            return Role.FLAT
        if self._own_id in self._list_own_relays(now):
            return Role.RELAY
        return Role.MEMBER

    def list_relays(self, now):
        """Return the relays of the own failure domain without this instance."""
        return [r for r in self._list_own_relays(now) if r != self._own_id]

    def list_members(self):
        """Return the other instances of the own failure domain."""
        members = self._domains[self._failure_domain]
        return [member for member in members if member != self._own_id]

    def list_remote_relays(self, now):
        """Return the instances that may be relays of the other failure domains.

        The first ones of each domain may be lost; those that took over make
        themselves known by their own messages.
        """
        first = {
            member
            for domain, members in self._domains.items()
            if domain != self._failure_domain
            for member in members[:RELAYS_PER_DOMAIN]
        }
        heard = {
            member
            for member, heard_at in self._remote_heard_at.items()
            if now - heard_at <= MAX_SILENCE_S
        }
        return sorted(first | heard)

    def _list_own_relays(self, now):
        relays = []
        for member in self._domains[self._failure_domain]:
            if member != self._own_id and self._is_silent(member, now):
                continue
            relays.append(member)
            if len(relays) == RELAYS_PER_DOMAIN:
                break
        return relays

    def _is_silent(self, member, now):
        """Return whether an instance should have been heard as a relay, but was not."""
        if self._suspected_until.get(member, now) > now:
            return True
        expected_since = self._asked_since.setdefault(member, now)
        heard_at = max(expected_since, self._heard_at.get(member, expected_since))
        if now - heard_at <= MAX_SILENCE_S:
            return False
        self._suspected_until[member] = now + SUSPICION_S
        del self._asked_since[member]
        return True
