"""What an attempt holds for as long as it runs."""

from dataclasses import dataclass

from ..decisions.demands import SentRequest
from ..registry import RegisteredServer
from .permits import Hold


@dataclass(frozen=True, slots=True)
class HeldResources:
    """What one attempt holds.

    Parameters
    ----------
    server : RegisteredServer
        The server to which the request is sent.
    began_at : float
        Monotonic time at which the retry budget has counted it, in seconds.
    is_retry : bool
        As what it was counted there.
    hold : Hold or None
        The permit.
    contestant : SentRequest or None
        The place in the competition for servers.
    """

    server: RegisteredServer
    began_at: float
    is_retry: bool
    hold: Hold | None
    contestant: SentRequest | None


class AttemptResources:
    """The parts of shared resources that the attempts of one request take.

    Parameters
    ----------
    budget : SlidingRetryBudget
        The retry budget of the service.
    tokens : RequestTokens
        The memory that the request takes on a server.
    permit_wait : PermitWait
        The permits of the request.
    place_contest : PlaceContest
        Its part in the competition for places.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, budget, tokens, permit_wait, place_contest, clock):
        self._budget = budget
        self._tokens = tokens
        self._permit_wait = permit_wait
        self._place_contest = place_contest
        self._clock = clock

    def begin(self, attempt, is_retry, hold):
        """Take what an attempt needs, before it is sent, so that others see it.

        Parameters
        ----------
        attempt : Attempt
            The attempt.
        is_retry : bool
            Whether the request was sent to a server before.
        hold : Hold or None
            The permit that was got for it; None if it needs none.

        Returns
        -------
        HeldResources
        """
        now = self._clock()
        self._budget.record_attempt(now, is_retry)
        self._tokens.begin(attempt.server)
        hold = hold or self._permit_wait.begin(attempt.server)
        contestant = self._place_contest.begin(attempt)
        return HeldResources(attempt.server, now, is_retry, hold, contestant)

    def end(self, held, result, is_sent):
        """Give back what an attempt held.

        Parameters
        ----------
        held : HeldResources
            What `begin` has returned.
        result : AttemptResult or None
            How the attempt ended; None if it was aborted.
        is_sent : bool
            Whether the request was sent; if not, it takes nothing of the retry budget.
        """
        self._tokens.end(held.server)
        self._permit_wait.end(held.hold, result)
        self._place_contest.end(held.contestant, result)
        if not is_sent:
            self._budget.withdraw_attempt(held.began_at, held.is_retry)
