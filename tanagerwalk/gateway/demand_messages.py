"""Conversion of demands to messages between instances."""

from ..decisions.demands import PRIORITY_COUNT, Demand
from ..ids import ServiceName
from ..number_ranges import NumberRange
from ..peers.gen.loads.ttypes import AccountDemand, ServiceDemand

# More than any fleet gets in some seconds, and little enough for the sum over all
# instances to fit a message.
MAX_DEMAND_TOKENS = 10**13
DEMAND_RANGE = NumberRange("demand told by an instance", "tokens", 0, MAX_DEMAND_TOKENS)


def encode_demand(service, demand):
    """Convert the Demand for a service to a ServiceDemand message."""
    return ServiceDemand(
        service,
        int(demand.offered),
        list(map(int, demand.done)),
        list(map(int, demand.waiting)),
        [
            AccountDemand(account, int(offered))
            for account, offered in demand.accounts.items()
        ],
    )


def decode_demand(encoded):
    """Convert a ServiceDemand message to the service and a Demand."""
    accounts = {
        account.account: _decode_tokens(account.offered) for account in encoded.accounts
    }
    demand = Demand(
        _decode_tokens(encoded.offered),
        _decode_work(encoded.done),
        _decode_work(encoded.waiting),
        accounts,
    )
    return ServiceName(encoded.service_name), demand


def _decode_work(encoded):
    """Return the work by priority; a list of another length is cut or filled up."""
    work = [_decode_tokens(amount) for amount in encoded[:PRIORITY_COUNT]]
    return tuple(work + [0.0] * (PRIORITY_COUNT - len(work)))


def _decode_tokens(tokens):
    return float(DEMAND_RANGE.take(tokens) or 0)
