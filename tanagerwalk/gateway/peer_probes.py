"""Probes of a peer from which something is awaited."""

import asyncio

from ..socket_options import (
    end_probes,
    has_unacknowledged,
    measure_silence,
    probe_peer,
)

START_DELAY_S = 1.0
# The kernel's own probes go out after one and two seconds of silence.
SILENCE_S = 2.0
PROBE_INTERVAL_S = 0.25


class PeerProbes:
    """Keep-alive probes between those of the kernel, while something is awaited.

    The kernel probes once a second at most. Four probes a second, once a peer has been
    silent for two, find one that is gone 3 s after its last packet, and still let one
    go on that is silent for 1.5 s at any time. While bytes are unacknowledged, each
    look tells anew whether the peer has closed its window.

    Parameters
    ----------
    sock : socket.socket or None
        Socket of the connection; without one, nothing is done.
    """

    def __init__(self, sock):
        self._sock = sock
        self._timer = None
        self._has_probed = False

    def start(self):
        """Begin to probe once something has been awaited for a second."""
        if self._timer is None and self._sock is not None:
            self._schedule(START_DELAY_S)

    def stop(self):
        """Stop, as nothing is awaited any more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._has_probed:
            self._has_probed = False
            end_probes(self._sock)

    def _schedule(self, delay):
        self._timer = asyncio.get_running_loop().call_later(delay, self._probe)

    def _probe(self):
        silence_left = SILENCE_S - measure_silence(self._sock)
        if has_unacknowledged(self._sock):
            silence_left = 0.0
        if not self._has_probed or silence_left <= 0.0:
            self._has_probed = True
            probe_peer(self._sock)
        self._schedule(max(PROBE_INTERVAL_S, silence_left))
