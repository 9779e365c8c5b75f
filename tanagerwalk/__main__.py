"""Command-line entry point."""

from .ui.commands import cli


def main():
    """Run the command-line interface."""
    cli.main(prog_name="tanagerwalk")


if __name__ == "__main__":
    main()
