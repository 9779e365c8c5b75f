"""Installs the libraries into target/deps, unless a whole install is there already.

Run by `python3 deploy/build.py` at the repository root. An install counts as whole if
it was finished, for the same requirements, Python and kind of machine, and if its
libraries can be imported.
"""

import contextlib
import fcntl
import hashlib
import json
import os
import platform
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PIP = (sys.executable, "-m", "pip")
STAMP = "installed.json"
# The programs, which import all that they need at their start, and at least one module
# of each library with compiled parts.
MODULES = (
    "aiohttp",
    "cachetools",
    "click",
    "expression",
    "httptools",
    "itsdangerous",
    "msgspec",
    "prometheus_client",
    "sanic",
    "sortedcontainers",
    "structlog",
    "tanagerwalk.ui.gateway",
    "tanagerwalk.ui.serve",
    "thrift.TSerialization",
    "thrift.protocol.TCompactProtocol",
    "uvloop",
    "yarl",
)


def build(root=ROOT, pip=PIP, modules=MODULES):
    """Install the libraries if that is needed.

    Parameters
    ----------
    root : Path
        The repository.
    pip : tuple of str
        Command that runs pip.
    modules : tuple of str
        Modules that have to be importable from the folder and the repository alone.

    Returns
    -------
    bool
        Whether a whole install is in place.
    """
    target = root / "target"
    target.mkdir(exist_ok=True)
    with _lock(target):
        if is_whole(target / "deps", root, modules):
            return True
        return _install(target, root, pip, modules)


def is_whole(folder, root, modules):
    """Return whether a folder holds a finished install that works here."""
    try:
        stamp = json.loads((folder / STAMP).read_text())
    except (OSError, ValueError):
        return False
    return stamp == make_stamp(root) and _can_import(folder, root, modules)


def make_stamp(root):
    """Return what an install depends on, as a dict."""
    requirements = (root / "requirements.txt").read_bytes()
    return {
        "requirements": hashlib.sha256(requirements).hexdigest(),
        "python": platform.python_version(),
        "abi": sysconfig.get_config_var("SOABI"),
        "machine": platform.machine(),
    }


def _install(target, root, pip, modules):
    """Install into a folder of its own, which takes its place when it is whole."""
    new, old = target / "deps.new", target / "deps.old"
    for leftover in (new, old):
        _remove(leftover)
    requirements = str(root / "requirements.txt")
    command = [*pip, "install", "-q", "-U", "--target", str(new), "-r", requirements]
    if subprocess.run(command, check=False).returncode != 0:
        print("build: pip failed", file=sys.stderr)
        return False
    if not _can_import(new, root, modules):
        print("build: a library can't be imported", file=sys.stderr)
        return False
    (new / STAMP).write_text(json.dumps(make_stamp(root)))
    deps = target / "deps"
    if deps.exists() or deps.is_symlink():
        deps.rename(old)
    new.rename(deps)
    _remove(old)
    return True


def _can_import(folder, root, modules):
    """Return whether a new Python can import the modules with a folder of libraries.

    The modules may be of the repository too.
    """
    # -S leaves out the libraries of the machine, -B writes nothing.
    command = [sys.executable, "-S", "-B", "-c", f"import {', '.join(modules)}"]
    environment = os.environ | {"PYTHONPATH": f"{folder}{os.pathsep}{root}"}
    result = subprocess.run(
        command, env=environment, cwd=folder, capture_output=True, check=False
    )
    if result.returncode != 0:
        print(result.stderr.decode(errors="replace"), file=sys.stderr)
    return result.returncode == 0


def _remove(path):
    if path.is_symlink() or path.is_file():
        path.unlink()
        return
    with contextlib.suppress(FileNotFoundError):
        shutil.rmtree(path)


@contextlib.contextmanager
def _lock(target):
    """Let a second build at the same time wait for the first."""
    with (target / "build.lock").open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


if __name__ == "__main__":
    sys.exit(0 if build() else 1)
