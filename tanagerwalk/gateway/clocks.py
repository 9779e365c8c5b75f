"""Clock that is not stopped by a suspension of the machine."""

import time


def read_boot_clock():
    """Return the seconds since boot, including the time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
