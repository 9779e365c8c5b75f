"""Model-aware request router driven by operator declarations."""

import os

# uvloop reads this on first import. Instances are not permitted to use io_uring.
os.environ["UV_USE_IO_URING"] = "0"

__version__ = "0.1.0"
