"""Entry point of the command line."""

from .ui.commands import cli


def main():
    """Run the command line."""
    cli.main(prog_name="tanagerwalk")


if __name__ == "__main__":
    main()
