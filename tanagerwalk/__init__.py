"""Model-aware request router driven by operator declarations."""

import _signal
import os
import sys

# The platform may send SIGHUP (reload) and SIGTERM at any time after the start, and
# nothing of this package runs earlier. Until the event loop has its handlers, a reload
# has no effect, and there is nothing to finish before a planned stop. The module
# `signal` would first import the enumerations, which takes milliseconds.
if sys.argv[1:2] == ["gateway"]:
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
    for _number in (_signal.SIGTERM, _signal.SIGINT):
        _signal.signal(_number, lambda *_: os._exit(0))

# uvloop reads this on first import. Instances are not permitted to use io_uring.
os.environ["UV_USE_IO_URING"] = "0"

__version__ = "0.1.0"
