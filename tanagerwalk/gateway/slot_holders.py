"""Which instances with parts of limits may be asked for a slot at present."""

# Time for which an instance that has no slot is not asked again, at most.
MAX_ASK_PAUSE_S = 1.0
# Times for which an instance without a usable answer is not asked again.
MIN_PAUSE_S = 1.0
MAX_PAUSE_S = 8.0


class SlotHolders:
    """Remembers when the instances that hold parts of limits may be asked again.

    One that is slow or gone costs the time of a request, and a slot if its answer comes
    late. It is paused, for twice as long each time.
    """

    def __init__(self):
        # When an instance may have a slot, by it and the `hash_life` of the server.
        self._ask_again_at = {}
        # The length and the end of the last pause of each instance.
        self._pauses = {}

    def retain(self, holders):
        """Forget all but some instances, and who has had no slot."""
        self._ask_again_at.clear()
        self._pauses = {h: p for h, p in self._pauses.items() if h in holders}

    def record_denied(self, holder, lives, wait, now):
        """Record that an instance has no slot for any of some servers.

        Parameters
        ----------
        holder : str
            Incarnation of the instance.
        lives : sequence of int
            `hash_life` of the servers.
        wait : float
            Seconds until it expects to have one.
        now : float
            Monotonic time in seconds.
        """
        self._pauses.pop(holder, None)
        ask_again_at = now + min(wait, MAX_ASK_PAUSE_S)
        self._ask_again_at |= {(holder, life): ask_again_at for life in lives}

    def record_granted(self, holder):
        """Record that an instance has granted a slot that can be used."""
        self._pauses.pop(holder, None)

    def record_failure(self, holder, asked_at, now):
        """Pause an instance that didn't give a usable answer in time.

        Questions that were sent at the same time count once.

        Parameters
        ----------
        holder : str
            Incarnation of the instance.
        asked_at, now : float
            Monotonic times in seconds.
        """
        length, ends_at = self._pauses.get(holder, (0.0, asked_at))
        if asked_at < ends_at:
            return
        length = min(max(MIN_PAUSE_S, 2.0 * length), MAX_PAUSE_S)
        self._pauses[holder] = length, now + length

    def may_ask(self, holder, lives, latest_at, now):
        """Return whether an instance may have a slot that begins by a certain time.

        Parameters
        ----------
        holder : str
            Incarnation of the instance.
        lives : sequence of int
            `hash_life` of the servers, of which one is enough.
        latest_at, now : float
            Monotonic times in seconds.
        """
        _, paused_until = self._pauses.get(holder, (0.0, now))
        if paused_until > now:
            return False
        return any(
            self._ask_again_at.get((holder, life), now) < latest_at for life in lives
        )
