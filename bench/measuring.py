"""Reads the CPU time and memory use of a process from `/proc`."""

import os
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
USER_TICKS_FIELD = 11
SYSTEM_TICKS_FIELD = 12


@dataclass(frozen=True)
class ProcessUsage:
    """CPU time in seconds and resident memory in megabytes."""

    cpu_s: float
    resident_mb: float


def read_process_usage(pid):
    """Return the CPU time and resident memory of a process.

    Parameters
    ----------
    pid : int
        Process ID.
    """
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return ProcessUsage(ticks / TICKS_PER_S, pages * PAGE_BYTES / 1e6)
