"""Runs all benchmarks of this package in sequence: `python -m bench`."""

import importlib
import pkgutil

from . import __path__ as folder

HELPERS = {"__main__", "measuring", "policies", "traffic", "instances"}


def main():
    """Call `main()` of every module that is not a helper."""
    for module in pkgutil.iter_modules(folder):
        if module.name in HELPERS:
            continue
        print(f"== {module.name}", flush=True)
        importlib.import_module(f"{__package__}.{module.name}").main()


if __name__ == "__main__":
    main()
