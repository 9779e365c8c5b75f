"""Max-min fair shares of the client accounts in what a service can do."""

# Accounts are told of with a delay, and requests come in lumps.
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
    if demand.done <= 0.0:
        return float("inf")
    listed = sorted(demand.accounts.values())
    equal_share = demand.done / accounts
    left = demand.done - max(0.0, demand.offered - sum(listed))
    for position, offered in enumerate(listed):
        share = left / (len(listed) - position)
        if offered > share:
            return max(share, equal_share)
        left -= offered
    return float("inf")


def find_excess(demand, account, accounts):
    """Return the part of an account's work that is beyond its fair share, 0 to 1.

    Parameters
    ----------
    demand : Demand
        Demand of the fleet.
    account : int or None
        The account, by `hash_account`; None without accounts.
    accounts : int
        Number of accounts that may send requests, at least 1.
    """
    offered = demand.accounts.get(account, 0.0)
    share = find_fair_share(demand, accounts)
    if offered <= SHARE_TOLERANCE * share:
        return 0.0
    return 1.0 - share / offered
