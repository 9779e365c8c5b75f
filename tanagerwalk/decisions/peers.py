"""Other instances of the fleet, and their order in each failure domain."""

from dataclasses import dataclass

from ..ids import FailureDomain
from .rendezvous import rank_members


@dataclass(frozen=True, slots=True)
class Peer:
    """Another instance.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port of its load messages.
    failure_domain : FailureDomain
        Where it runs; empty if it did not say.
    changes_port : int
        Port at which it serves changes of the store; 0 if it does not.
    owns_sessions : bool
        Whether it keeps records of sessions for others, as earlier versions do not.
    grants_permits : bool
        Whether it grants permits for brittle servers, as earlier versions do not.
    grants_slots : bool
        Whether it grants slots of its parts of servers' limits, as earlier versions do
        not.
    link_rate : float
        What its machine's link carries in Mbit/s; 0 if it did not say, as earlier
        versions do not.
    """

    address: tuple[str, int]
    failure_domain: FailureDomain = FailureDomain("")
    changes_port: int = 0
    owns_sessions: bool = False
    grants_permits: bool = False
    grants_slots: bool = False
    link_rate: float = 0.0


def rank_domains(key, own_id, own_domain, peers):
    """Return the instances of each failure domain in rendezvous order.

    Parameters
    ----------
    key : bytes
        What the instances are ordered for.
    own_id : str
        Incarnation of this instance.
    own_domain : FailureDomain
        Where this instance runs.
    peers : dict of str to Peer
        The other instances, by incarnation.

    Returns
    -------
    dict of FailureDomain to list of str
    """
    domains = {own_domain: [own_id]}
    for peer_id, peer in peers.items():
        domains.setdefault(peer.failure_domain, []).append(peer_id)
    return {domain: rank_members(key, members) for domain, members in domains.items()}
