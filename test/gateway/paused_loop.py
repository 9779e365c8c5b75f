"""An event loop that stands still, as for a large manifest on a slow core."""

import asyncio
import socket
import time


class PausedLoop:
    """Blocks the event loop in a callback for something that it has received."""

    def __init__(self, seconds):
        self._seconds = seconds
        self._receiver, self._sender = socket.socketpair()
        asyncio.get_running_loop().add_reader(self._receiver, self._pause)

    def begin(self):
        self._sender.send(b"x")

    def _pause(self):
        asyncio.get_running_loop().remove_reader(self._receiver)
        time.sleep(self._seconds)
        self._receiver.close()
        self._sender.close()
