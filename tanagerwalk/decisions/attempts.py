"""Decision about the next action after an attempt that gave no complete answer."""

from dataclasses import dataclass
from enum import Enum

from ..gateway.attempts import Outcome

MIN_TIME_FOR_ATTEMPT_S = 0.02
# Share of a client's time for which a request that was not sent yet waits for a path to
# any server; the client's next attempt reaches another instance.
MAX_PATH_WAIT_SHARE = 1.0 / 16.0
# The same for a request that was sent before and can't be refused as not run.
MAX_RESUME_WAIT_S = 2.0
MEAN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_SHARE = 1.0 / 3.0
MAX_HOLD_SPREAD_S = 0.5
# A server at its limit of connections resets each new one.
MAX_CLOSED_ATTEMPTS = 3
# Each has found a server that takes no request once it was connected.
MAX_WITHHELD_ATTEMPTS = 3
UNSENT_OUTCOMES = frozenset({Outcome.NOT_SENT, Outcome.CLOSED, Outcome.WITHHELD})
NOT_RUN_OUTCOMES = UNSENT_OUTCOMES | {Outcome.REJECTED, Outcome.MISDIRECTED}
# Fraction of the retry budget that may be used after each outcome.
BUDGET_SHARES = {
    Outcome.DECLINED: 0.75,
    Outcome.REJECTED: 0.85,
    Outcome.MISDIRECTED: 0.9,
    Outcome.FAILED: 0.85,
    Outcome.LOST: 0.95,
    Outcome.SILENT: 0.9,
}


class NextAction(Enum):
    """Next action for a request."""

    ANOTHER = "another"
    DELIVER_KEPT = "deliver_kept"
    REFUSE_NOT_RUN = "refuse_not_run"
    REFUSE_UNKNOWN = "refuse_unknown"
    BREAK_OFF = "break_off"


@dataclass(slots=True)
class AttemptHistory:
    """Attempts of one request so far.

    Parameters
    ----------
    repeatable : bool
        Whether the request may run more than once.
    max_attempts : int
        Maximum number of backend servers that it may be sent to.
    sent : int
        Number of attempts that reached a backend server.
    closed : int
        Number of attempts whose connection was lost before the request was written.
    withheld : int
        Number of attempts that were not sent though there was a connection.
    may_have_run : bool
        Whether a backend server may have run the request.
    started : bool
        Whether the client has received part of an answer.
    has_kept_answer : bool
        Whether an error response is kept to be delivered if no attempt succeeds.
    """

    repeatable: bool
    max_attempts: int
    sent: int = 0
    closed: int = 0
    withheld: int = 0
    may_have_run: bool = False
    started: bool = False
    has_kept_answer: bool = False

    def record(self, outcome):
        """Record the outcome of an attempt."""
        if outcome not in UNSENT_OUTCOMES:
            self.sent += 1
        if outcome is Outcome.CLOSED:
            self.closed += 1
        if outcome is Outcome.WITHHELD:
            self.withheld += 1
        if outcome not in NOT_RUN_OUTCOMES:
            self.may_have_run = True


def decide_next_action(history, outcome, time_left, budget_allows):
    """Return the next action after an attempt that delivered no complete answer.

    Parameters
    ----------
    history : AttemptHistory
        Attempts so far, including this one.
    outcome : Outcome
        How the attempt ended.
    time_left : float
        Seconds until the deadline.
    budget_allows : bool
        Whether the retry budget allows another attempt.
    """
    may_repeat = history.repeatable or not history.may_have_run
    within_limits = (
        history.sent < history.max_attempts
        and history.closed < MAX_CLOSED_ATTEMPTS
        and history.withheld < MAX_WITHHELD_ATTEMPTS
        and time_left > MIN_TIME_FOR_ATTEMPT_S
    )
    needs_budget = outcome not in UNSENT_OUTCOMES
    if may_repeat and within_limits and (budget_allows or not needs_budget):
        return NextAction.ANOTHER
    if history.started:
        return NextAction.BREAK_OFF
    if history.has_kept_answer:
        return NextAction.DELIVER_KEPT
    if history.may_have_run:
        return NextAction.REFUSE_UNKNOWN
    return NextAction.REFUSE_NOT_RUN


def find_path_wait(history, client_timeout):
    """Return how long to wait for a path if all servers are unreachable, in seconds.

    Parameters
    ----------
    history : AttemptHistory
        Attempts so far.
    client_timeout : float
        Seconds that the client waits for its answer.
    """
    if history.may_have_run:
        return MAX_RESUME_WAIT_S
    return MAX_PATH_WAIT_SHARE * client_timeout


def find_retry_after(time_left, random, hold=0.0):
    """Return when a refused client should come back, in seconds.

    Parameters
    ----------
    time_left : float
        Seconds until the client's deadline.
    random : random.Random
        Spreads the clients that are refused at the same time.
    hold : float
        Seconds until a server takes requests again.
    """
    if hold > 0.0:
        return hold + MAX_HOLD_SPREAD_S * random.random()
    spread = MEAN_RETRY_AFTER_S * (0.5 + random.random())
    return min(spread, max(0.0, MAX_RETRY_AFTER_SHARE * time_left))
