"""Demand at the other instances, as last reported by them."""

from dataclasses import dataclass

from ..ids import ServiceName
from .demands import Demand
from .relays import Role, Scope

# Longer than a message takes through both relays, with one of them lost.
DEMAND_LIFETIME_S = 2.0
NO_DEMAND = Demand()
# Scopes of the reports that a message of each scope adds to the own demand.
SUMMED_SCOPES = {
    Scope.INSTANCE: frozenset(),
    Scope.DOMAIN: frozenset({Scope.INSTANCE}),
    Scope.FLEET: frozenset({Scope.INSTANCE, Scope.DOMAIN}),
}


@dataclass(frozen=True, slots=True)
class DemandSource:
    """Whose demand for which service a report holds.

    Parameters
    ----------
    scope : Scope
        Instance, failure domain or fleet.
    name : str
        Incarnation of the instance or name of the failure domain.
    service : ServiceName
        The service.
    """

    scope: Scope
    name: str
    service: ServiceName


@dataclass(frozen=True, slots=True)
class _Report:
    sender: str
    sequence: int
    received_at: float
    demand: Demand


class SharedDemandTable:
    """Sums up the demand of the fleet.

    Attributes
    ----------
    list_own : callable
        Returns the Demand of this instance for each service that needs it.
    """

    def __init__(self):
        self.list_own = dict
        self._reports = {}
        self._role = Role.FLAT
        self._own_reported = {}

    def set_role(self, role):
        """Adapt to the way in which messages are exchanged."""
        if role is not self._role:
            self._role = role
            self._reports.clear()
            self._own_reported = {}

    def update(self, source, sender, sequence, demand, now):
        """Store a demand, unless a newer one of the same sender is known.

        Parameters
        ----------
        source : DemandSource
            Whose demand it is.
        sender : str
            Incarnation of the instance that sent the report.
        sequence : int
            Sequence number of the message; datagrams may arrive out of order.
        demand : Demand
            The demand.
        now : float
            Monotonic time in seconds.
        """
        known = self._reports.get(source)
        if known is None or known.sender != sender or known.sequence < sequence:
            self._reports[source] = _Report(sender, sequence, now, demand)

    def sum_all(self, scopes, now):
        """Return the demand by service over the recent reports of some scopes."""
        self._reports = {
            source: report
            for source, report in self._reports.items()
            if now - report.received_at <= DEMAND_LIFETIME_S
        }
        totals = {}
        for source, report in self._reports.items():
            if source.scope in scopes:
                known = totals.get(source.service, NO_DEMAND)
                totals[source.service] = known.add(report.demand)
        return totals

    def find_others(self, service, now):
        """Return the demand of all other instances for a service."""
        total = self.sum_all(frozenset(Scope), now).get(service, NO_DEMAND)
        own = self._own_reported.get(service)
        return total if own is None else total.subtract(own)

    def list_told(self, scope, now):
        """Return the Demand of a scope for each service that needs it."""
        totals = self.sum_all(SUMMED_SCOPES[scope], now)
        own = self.list_own()
        if self._role is Role.MEMBER:
            # What was told, which leaves out the lighter accounts.
            self._own_reported = {
                service: demand.select_heaviest() for service, demand in own.items()
            }
        for service, demand in own.items():
            totals[service] = totals.get(service, NO_DEMAND).add(demand)
        return {service: demand.select_heaviest() for service, demand in totals.items()}
