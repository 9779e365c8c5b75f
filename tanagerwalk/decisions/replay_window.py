"""Recognition of datagrams that have been received before."""

from collections import OrderedDict
from dataclasses import dataclass, field

from ..ids import Incarnation

# Datagrams remembered of each sender; the newer half is kept when there are more.
MAX_REMEMBERED = 256
# The sender that was silent for longest is forgotten when there are more.
MAX_SENDERS = 1024


@dataclass(slots=True)
class _Received:
    """The digests remembered of one sender.

    Parameters
    ----------
    highest : int
        Highest sequence number received.
    lowest : int
        Lower sequence numbers are refused.
    sequences : dict of bytes to int
        Sequence number of each digest.
    """

    highest: int
    lowest: int
    sequences: dict[bytes, int] = field(default_factory=dict)


class ReplayWindow:
    """Remembers the newest datagrams of each sender, which may arrive in any order.

    Datagrams older than those are refused, whether new or not. Instances of an earlier
    version give several datagrams one sequence number, so that a number alone does not
    identify a datagram.
    """

    def __init__(self):
        self._received = OrderedDict()

    def accept(self, sender, sequence, digest):
        """Remember a datagram; return whether it is new.

        Parameters
        ----------
        sender : Incarnation
            The instance that sent it.
        sequence : int
            Its number; that of a later datagram is not lower.
        digest : bytes
            Identifies its content, such as its MAC.

        Returns
        -------
        bool
            False if it was received before, or is too old to tell.
        """
        received = self._find_or_add(sender, sequence)
        if sequence < received.lowest or digest in received.sequences:
            return False
        received.highest = max(received.highest, sequence)
        received.sequences[digest] = sequence
        if len(received.sequences) > MAX_REMEMBERED:
            _forget_older_half(received)
        return True

    def _find_or_add(self, sender: Incarnation, sequence):
        received = self._received.get(sender)
        if received is None:
            lowest = sequence - MAX_REMEMBERED
            received = self._received[sender] = _Received(sequence, lowest)
            if len(self._received) > MAX_SENDERS:
                self._received.popitem(last=False)
        self._received.move_to_end(sender)
        return received


def _forget_older_half(received):
    by_number = sorted(received.sequences.items(), key=lambda item: item[1])
    newest = by_number[-(MAX_REMEMBERED // 2) :]
    _, highest_forgotten = by_number[-len(newest) - 1]
    received.sequences = dict(newest)
    # The newest number may be that of datagrams that are still to come.
    received.lowest = min(highest_forgotten + 1, received.highest)
