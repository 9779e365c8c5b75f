"""Max-min fair shares of the client accounts in what a service can do."""

from dataclasses import dataclass

# Multiple of its share from which an account exceeds it: reports arrive with a delay,
# and requests in bursts.
SHARE_TOLERANCE = 1.1


def find_fair_share(demand, accounts):
    """Return the most work that an account gets done within the window.

    Accounts that ask for less get all of it; what they leave is shared equally by the
    others.

    Parameters
    ----------
    demand : Demand
        Demand of the fleet. Accounts that it doesn't list ask for little.
    accounts : int
        Number of accounts that may send requests, at least 1.

    Returns
    -------
    float
        In prompt tokens; infinite if nothing was done that would show the capacity.
    """
    done = sum(demand.done)
    if done <= 0.0:
        return float("inf")
    listed = sorted(demand.accounts.values())
    equal_share = done / accounts
    left = done - max(0.0, demand.offered - sum(listed))
    for position, offered in enumerate(listed):
        share = left / (len(listed) - position)
        if offered > share:
            return max(share, equal_share)
        left -= offered
    return float("inf")


@dataclass(frozen=True, slots=True)
class Standing:
    """How an account stands among those that use a service.

    Parameters
    ----------
    excess : float
        The part of its work that is beyond its fair share, 0 to 1.
    is_crowded_out : bool
        Whether it stays within its share, and others don't.
    """

    excess: float = 0.0
    is_crowded_out: bool = False


def find_standing(demand, account, accounts):
    """Return the Standing of an account.

    Parameters
    ----------
    demand : Demand
        Demand of the fleet.
    account : int
        The account, by `hash_account`.
    accounts : int
        Number of accounts that may send requests, at least 1.
    """
    offered = demand.accounts.get(account, 0.0)
    share = find_fair_share(demand, accounts)
    if offered <= SHARE_TOLERANCE * share:
        heaviest = max(demand.accounts.values(), default=0.0)
        return Standing(is_crowded_out=heaviest > SHARE_TOLERANCE * share)
    return Standing(1.0 - share / offered)
