"""The timeout of a client connection, of which one runs at a time."""

import asyncio

# After a pause of the process, timers may come before what has been received meanwhile.
# It is read in this time, before an idle connection is closed.
LAST_READ_S = 0.02


class ConnectionTimer:
    """Calls a function unless it is started anew or cancelled before."""

    def __init__(self):
        self._handle = None

    @property
    def is_set(self):
        """Whether it has been started and not cancelled since."""
        return self._handle is not None

    def start(self, seconds, action):
        """Call a function without arguments after so many seconds."""
        self.cancel()
        self._handle = asyncio.get_running_loop().call_later(seconds, action)

    def cancel(self):
        """Call nothing."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def start_idle(self, get_timeout, close):
        """Close a connection that has become idle, after the idle timeout.

        Clients keep to the timeout in force: if it is raised meanwhile, the connection
        stays open for the rest of it. A lowered one holds from the next request on.

        Parameters
        ----------
        get_timeout : callable
            Returns the idle timeout in force, in seconds.
        close : callable
            Closes the connection if it is still idle.
        """
        idle_since = asyncio.get_running_loop().time()

        def expire():
            idle_for = asyncio.get_running_loop().time() - idle_since
            left = get_timeout() - idle_for
            if left > 0.0:
                self.start(left, expire)
            else:
                self.start(LAST_READ_S, close)

        self.start(get_timeout(), expire)
