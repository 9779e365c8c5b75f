"""Bills: one for each request, however often it is recorded."""

import msgspec

from ..ids import ClassName, ClientAccountId, RequestId, VersionName


class Bill(msgspec.Struct, frozen=True):
    """What one request cost.

    Parameters
    ----------
    account : ClientAccountId
        Who pays.
    request_id : RequestId
        Unique within the account.
    work_class : ClassName
        The class of work.
    version : VersionName or None
        The version that answered.
    prompt_tokens, completion_tokens : int
        Tokens of all attempts.
    cost : float
        Cost of all attempts.
    """

    account: ClientAccountId
    request_id: RequestId
    work_class: ClassName
    version: VersionName | None
    prompt_tokens: int
    completion_tokens: int
    cost: float


def fold_bills(bills):
    """Keep one bill for each request.

    Parameters
    ----------
    bills : iterable of Bill
        Bills in the order in which the store took them.

    Returns
    -------
    dict of (ClientAccountId, RequestId) to Bill
        The first bill of each request.
    """
    folded = {}
    for bill in bills:
        folded.setdefault((bill.account, bill.request_id), bill)
    return folded
