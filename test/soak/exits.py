"""How gateway processes ended, and what memory they used, against their limits."""

import math
import resource
import signal
from dataclasses import dataclass
from pathlib import Path

MEMORY_MB = 150
MAX_DESCRIPTORS = 4200
# Until the interpreter has read the package's first line.
INTERPRETER_START_S = 0.1
BYTES_PER_KB = 1024
BYTES_PER_MB = 1_000_000
LIMITS_SETTINGS = f"""
[limits]
memory_mb = {MEMORY_MB}
max_fds = {MAX_DESCRIPTORS}
"""


@dataclass(frozen=True)
class Exit:
    """The end of a process.

    Parameters
    ----------
    process : str
        Name and number of the start.
    status : int
        Exit status; the negative number of the signal that ended it.
    sent : int or None
        Signal that was sent to stop it; None if it ended by itself.
    age : float
        Seconds between its start and the signal.
    has_logged : bool
        Whether it had written a line.
    """

    process: str
    status: int
    sent: int | None
    age: float = math.inf
    has_logged: bool = True


def limit_descriptors():
    """Set the limit of descriptors; to be called in the process."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS))


def read_peak_mb(pid):
    """Return the largest resident memory of a process in MB, 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    sizes = [int(line.split()[1]) for line in lines if line.startswith("VmHWM:")]
    return sum(sizes) * BYTES_PER_KB / BYTES_PER_MB


def find_exit_violations(exits, peaks_mb):
    """Return one line for each process that ended, or grew, as it must not.

    Parameters
    ----------
    exits : list of Exit
        Ends of the processes.
    peaks_mb : dict of str to float
        Largest resident memory by process, in MB.
    """
    violations = [
        f"{process} used {peak:.0f} MB of {MEMORY_MB}"
        for process, peak in peaks_mb.items()
        if peak > MEMORY_MB
    ]
    return [*filter(None, map(_describe_violation, exits)), *violations]


def _describe_violation(ended):
    how = f"{ended.process} ended with status {ended.status}"
    if ended.sent is None and ended.status == -signal.SIGHUP:
        return f"{how}: by the signal to reload"
    if ended.sent is None:
        return f"{how}: by itself"
    expected = 0 if ended.sent == signal.SIGTERM else -ended.sent
    if ended.status == expected or _is_before_first_line(ended):
        return None
    return f"{how} after {signal.Signals(ended.sent).name}, {ended.age:.3f} s old"


def _is_before_first_line(ended):
    """Return whether SIGTERM ended a process that had not run a line of the package.

    Until then the signal has its default action, and the process holds nothing.
    """
    is_new = ended.age < INTERPRETER_START_S and not ended.has_logged
    return is_new and ended.sent == signal.SIGTERM and ended.status == -ended.sent
