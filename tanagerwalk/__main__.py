"""Command-line entry point."""

import signal
import sys

# The platform may send SIGHUP (reload) while the imports below are still running.
# Without a handler, the signal would terminate the process.
if sys.argv[1:2] == ["gateway"]:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from .ui.commands import cli  # noqa: E402


def main():
    """Run the command-line interface."""
    cli.main(prog_name="tanagerwalk")


if __name__ == "__main__":
    main()
