"""How far ahead an instance grants slots of its parts of limits to others."""

# A slot that begins later is of no use to most requests.
MAX_BOOKING_S = 2.0


class BookingHorizon:
    """Bounds how far ahead slots are granted, per service.

    Others that may wait for longer than the requests of this instance would otherwise
    take each slot before one of these could.
    """

    def __init__(self):
        # Patience of the last request that was turned away, and until when it counts.
        self._patience = {}

    def record_turned_away(self, service, patience, now):
        """Record that a request of this instance found no slot in time.

        Parameters
        ----------
        service : ServiceName
            The service of the request.
        patience : float
            Seconds for which the request could have waited.
        now : float
            Monotonic time in seconds.
        """
        self._patience[service] = max(0.0, patience), now + MAX_BOOKING_S

    def find(self, service, now):
        """Return the seconds in which a slot that is granted has to begin."""
        patience, until = self._patience.get(service, (MAX_BOOKING_S, now))
        if until <= now:
            return MAX_BOOKING_S
        return min(MAX_BOOKING_S, patience)
