"""What a run records for the checks: arrivals, and times of special states."""

import time
from dataclasses import dataclass


@dataclass
class Arrival:
    """A request that reached a backend server, with the time of its arrival."""

    received_at: float
    server_id: str
    request: object


class ArrivalRecorder(list):
    """List of received requests that stamps each with the time and the server's id."""

    def __init__(self, server_id):
        super().__init__()
        self.server_id = server_id

    def append(self, request):
        """Append a request as an Arrival."""
        super().append(Arrival(time.monotonic(), self.server_id, request))


@dataclass(frozen=True)
class BrittleTime:
    """Monotonic times between which the servers of a service were brittle."""

    service: str
    begin: float
    end: float


@dataclass(frozen=True)
class EvacuationTime:
    """Monotonic times between which a failure domain was evacuated."""

    failure_domain: str
    begin: float
    end: float


@dataclass(frozen=True)
class ColdTime:
    """Monotonic times between which a server was cold.

    Parameters
    ----------
    server_id : str
        Id of the server.
    begin, end : float
        Monotonic times in seconds.
    listed_at : float
        When its entry said so.
    is_start : bool
        Whether the server had started, which gateways may find out without its entry.
    """

    server_id: str
    begin: float
    end: float
    listed_at: float
    is_start: bool = True


@dataclass(frozen=True)
class SlowTime:
    """Monotonic times between which a server reported that it was slow, and was."""

    server_id: str
    begin: float
    end: float
