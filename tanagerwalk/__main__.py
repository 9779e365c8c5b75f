"""Entry point of the command line."""

import signal
import sys

# The platform may ask a gateway to reload while the imports below still run; until
# there is a handler, that would end the process.
if sys.argv[1:2] == ["gateway"]:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from .ui.commands import cli  # noqa: E402


def main():
    """Run the command line."""
    cli.main(prog_name="tanagerwalk")


if __name__ == "__main__":
    main()
