"""Conversion of demands to messages between instances."""

from ..decisions.demands import PRIORITY_COUNT, Demand
from ..ids import ServiceName
from ..peers.gen.loads.ttypes import AccountDemand, ServiceDemand


def encode_demand(service, demand):
    """Convert the Demand for a service to a ServiceDemand message."""
    return ServiceDemand(
        service,
        int(demand.offered),
        int(demand.done),
        list(map(int, demand.waiting)),
        [
            AccountDemand(account, int(offered))
            for account, offered in demand.accounts.items()
        ],
    )


def decode_demand(encoded):
    """Convert a ServiceDemand message to the service and a Demand."""
    waiting = [float(max(0, work)) for work in encoded.waiting[:PRIORITY_COUNT]]
    waiting += [0.0] * (PRIORITY_COUNT - len(waiting))
    accounts = {
        account.account: float(max(0, account.offered)) for account in encoded.accounts
    }
    offered, done = max(0, encoded.offered), max(0, encoded.done)
    demand = Demand(float(offered), float(done), tuple(waiting), accounts)
    return ServiceName(encoded.service_name), demand
