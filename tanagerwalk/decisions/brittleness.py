"""Services whose servers fall over if they have to reject too many requests."""

from .server_statements import ServerStatements

# Time for which a service counts as brittle whose servers have all fallen over.
LAST_WORD_LIFETIME_S = 10.0


class BrittleServices:
    """Which services are brittle, by the word of their servers.

    Attributes
    ----------
    statements : ServerStatements
        Rejections per second that each server bears; None from a sound one.
    """

    def __init__(self):
        self.statements = ServerStatements()
        self._last_bearable = {}

    @property
    def is_empty(self):
        """Whether no service is brittle, nor has been a while ago."""
        return self.statements.is_empty and not self._last_bearable

    def find_bearable(self, service, lives, now):
        """Return the rejections per second that each server of a service bears.

        Parameters
        ----------
        service : ServiceName
            The service.
        lives : collection of int
            `hash_life` of its servers.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float or None
            None if the service isn't brittle.
        """
        named = [self.statements.get(life) for life in lives]
        bearable = min((n for n in named if n is not None), default=None)
        if bearable is not None:
            self._last_bearable[service] = (bearable, now)
            return bearable
        return self._find_last(service, lives, now)

    def _find_last(self, service, lives, now):
        """Return the last word, unless it is old or a server has taken it back."""
        last = self._last_bearable.get(service)
        if last is None:
            return None
        bearable, known_at = last
        is_ended = any(
            self.statements.find_heard_at(life) >= known_at for life in lives
        )
        if is_ended or now - known_at > LAST_WORD_LIFETIME_S:
            del self._last_bearable[service]
            return None
        return bearable
