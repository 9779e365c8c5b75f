"""What servers say of themselves in their answers, as the fleet last heard it."""

import math
from dataclasses import dataclass

from ..number_ranges import NumberRange

# Requests or rejections a second; more than any fleet sends to a server.
MAX_RATE_PER_S = 1e6
LIMIT_RANGE = NumberRange("limit of a server", "requests/s", 0.0, MAX_RATE_PER_S)
BRITTLENESS_RANGE = NumberRange(
    "brittleness of a server", "rejections/s", 0.0, MAX_RATE_PER_S
)
NEWS_LIFETIME_S = 3.0
ENDED_LIFETIME_S = 30.0
MAX_NEWS = 60


@dataclass(frozen=True, slots=True)
class Statement:
    """What an instance tells the others of a server's word.

    Parameters
    ----------
    value : float or None
        The number that the server named; None if it names none any more.
    heard_ago : float
        Seconds since the server said so.
    """

    value: float | None
    heard_ago: float


@dataclass(slots=True)
class _Heard:
    value: float | None = None
    heard_at: float = -math.inf


class ServerStatements:
    """The newest Statement of each server, by `hash_life`."""

    def __init__(self):
        self._heard = {}

    @property
    def is_empty(self):
        """Whether no server has named a number, nor ended to do so a while ago."""
        return not self._heard

    def record(self, life, value, now):
        """Record what an answer of a server says.

        Parameters
        ----------
        life : int
            `hash_life` of the server.
        value : float or None
            The number that it names; None if it names none.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether this was not known.
        """
        if value is None and life not in self._heard:
            return False
        return self.merge(life, Statement(value, 0.0), now)

    def merge(self, life, statement, now):
        """Merge the Statement of another instance; return whether it was not known."""
        heard_at = now - statement.heard_ago
        known = self._heard.setdefault(life, _Heard())
        if heard_at <= known.heard_at:
            return False
        is_news = known.value != statement.value
        known.value = statement.value
        known.heard_at = heard_at
        return is_news

    def list_news(self, now):
        """Return the newest Statement by `hash_life`, and drop what is outdated."""
        self._heard = {
            life: heard
            for life, heard in self._heard.items()
            if heard.value is not None or now - heard.heard_at <= ENDED_LIFETIME_S
        }
        recent = [
            (heard.heard_at, life)
            for life, heard in self._heard.items()
            if now - heard.heard_at <= NEWS_LIFETIME_S
        ]
        newest = sorted(recent, reverse=True)[:MAX_NEWS]
        return {
            life: Statement(self._heard[life].value, now - heard_at)
            for heard_at, life in newest
        }

    def drop_value(self, life):
        """Forget the number that a server named, but not when it did."""
        self._heard[life].value = None

    def forget(self, life):
        """Forget what a server has said that has ended."""
        self._heard.pop(life, None)

    def get(self, life):
        """Return the number that a server names, or None."""
        heard = self._heard.get(life)
        return None if heard is None else heard.value

    def find_heard_at(self, life):
        """Return the monotonic time of a server's last word, or minus infinity."""
        heard = self._heard.get(life)
        return -math.inf if heard is None else heard.heard_at
