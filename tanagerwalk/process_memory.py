"""Memory of this process: its sizes, its limits and what the C library keeps of it."""

import ctypes
import resource
from dataclasses import dataclass
from pathlib import Path

import structlog

log = structlog.get_logger(__name__)

STATUS_FILE = Path("/proc/self/status")
BYTES_PER_KB = 1024
# Sizes that are taken where the system doesn't tell.
DEFAULT_RESIDENT_BYTES = 48 * 1024 * 1024
DEFAULT_ADDRESS_SPACE_BYTES = 352 * 1024 * 1024
# Parameter of `mallopt`: from this size on, blocks are mapped one by one, and given
# back to the system as soon as they are freed.
M_MMAP_THRESHOLD = -3
MAPPED_BLOCK_BYTES = 256 * 1024
# How much free memory at the end of the heap is kept for the next request. The library
# no longer adapts it once the parameter above is set.
M_TRIM_THRESHOLD = -1
# Most heaps that threads get.
M_ARENA_MAX = -8
KEPT_HEAP_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class MemorySizes:
    """Sizes of the process in bytes.

    Parameters
    ----------
    resident : int
        Memory in use.
    address_space : int
        Address space in use, which RLIMIT_AS bounds.
    """

    resident: int = DEFAULT_RESIDENT_BYTES
    address_space: int = DEFAULT_ADDRESS_SPACE_BYTES


def read_sizes(path=STATUS_FILE):
    """Return the MemorySizes of this process; defaults where they can't be read.

    Parameters
    ----------
    path : Path
        File in the format of `/proc/self/status`.
    """
    try:
        lines = path.read_text().splitlines()
        fields = dict(line.split(":", 1) for line in lines if ":" in line)
        return MemorySizes(
            _parse_size(fields["VmRSS"]),
            _parse_size(fields["VmSize"]),
        )
    except (OSError, KeyError, ValueError, IndexError):
        return MemorySizes()


def _parse_size(text):
    return int(text.split()[0]) * BYTES_PER_KB


def find_room(limit, sizes):
    """Return how much the process may grow, in bytes; may be negative.

    Parameters
    ----------
    limit : int
        Most resident memory, in bytes.
    sizes : MemorySizes
        Sizes of the process now.

    Returns
    -------
    int
        Room up to the limit, or up to RLIMIT_AS if that is tighter.
    """
    room = limit - sizes.resident
    address_limit, _ = resource.getrlimit(resource.RLIMIT_AS)
    if address_limit == resource.RLIM_INFINITY:
        return room
    return min(room, address_limit - sizes.address_space)


def map_large_blocks():
    """Have the C library give large blocks back to the system once they are freed."""
    _call_libc("mallopt", M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)
    _call_libc("mallopt", M_TRIM_THRESHOLD, KEPT_HEAP_BYTES)


def share_heap():
    """Have all threads use one heap; each further one takes 64 MB of address space."""
    _call_libc("mallopt", M_ARENA_MAX, 1)


def trim_heap():
    """Give the free memory of the C library back to the system."""
    _call_libc("malloc_trim", 0)


def _call_libc(name, *arguments):
    """Call a function of the C library that not every one has."""
    try:
        function = getattr(ctypes.CDLL(None), name)
    except (OSError, AttributeError) as error:
        log.debug("no such function of the C library", name=name, cause=repr(error))
        return
    function(*arguments)
