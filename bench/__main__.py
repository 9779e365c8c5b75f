"""Run every benchmark of this folder, one after the other."""

import importlib
import pkgutil

from . import __path__ as folder

HELPERS = {"__main__", "measuring", "policies", "traffic", "instances"}


def main():
    """Run the `main` function of every benchmark module."""
    for module in pkgutil.iter_modules(folder):
        if module.name in HELPERS:
            continue
        print(f"== {module.name}", flush=True)
        importlib.import_module(f"{__package__}.{module.name}").main()


if __name__ == "__main__":
    main()
