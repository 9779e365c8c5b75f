"""A model-aware router for versions and cascades, run by declarations."""

import os

# uvloop reads this when it is first imported; instances may not use io_uring.
os.environ["UV_USE_IO_URING"] = "0"

__version__ = "0.1.0"
