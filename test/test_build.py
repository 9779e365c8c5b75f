"""Test of the build of the deploy file, with a pip that installs one small library."""

import importlib.util
import json
import shutil
import sys
from pathlib import Path

import pytest

PATH = Path(__file__).parent.parent / "deploy" / "build.py"
FAKE_PIP = """
import sys, pathlib
count = pathlib.Path(sys.argv[1])
count.write_text(str(int(count.read_text() or 0) + 1))
folder = pathlib.Path(sys.argv[sys.argv.index("--target") + 1])
folder.mkdir()
(folder / "littlelib.py").write_text("value = 1")
sys.exit(int(sys.argv[2]))
"""


class Repository:
    """A repository with a fake pip that counts its installs."""

    def __init__(self, folder):
        self.module = self.load_module()
        self.root = folder
        self.deps = folder / "target" / "deps"
        self.requirements = folder / "requirements.txt"
        self.requirements.write_text("littlelib==1")
        self.count = folder / "count"
        self.count.write_text("0")
        (folder / "pip.py").write_text(FAKE_PIP)

    @staticmethod
    def load_module():
        spec = importlib.util.spec_from_file_location("build", PATH)
        module = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(module)
        return module

    def build(self, pip_status=0, module="littlelib"):
        pip = (sys.executable, str(self.root / "pip.py"), str(self.count))
        command = (*pip, str(pip_status))
        return self.module.build(self.root, command, (module,))

    @property
    def installs(self):
        return int(self.count.read_text())

    def change_stamp(self, **changes):
        path = self.deps / self.module.STAMP
        path.write_text(json.dumps(json.loads(path.read_text()) | changes))


@pytest.fixture
def repository(tmp_path):
    return Repository(tmp_path)


def test_whole_install_is_kept(repository):
    assert repository.build()
    assert repository.build()
    assert repository.installs == 1


@pytest.mark.parametrize(
    "change", [{"machine": "other"}, {"python": "3.1.0"}, {"abi": "other"}]
)
def test_install_of_another_machine_is_replaced(repository, change):
    """An install of another machine or Python counted as built."""
    assert repository.build()
    repository.change_stamp(**change)
    assert repository.build()
    assert repository.installs == 2


def test_broken_library_is_replaced(repository):
    """A library that can't be imported counted as built, if it was newer."""
    assert repository.build()
    (repository.deps / "littlelib.py").write_text("import no_such_library")
    assert repository.build()
    assert repository.installs == 2
    assert (repository.deps / "littlelib.py").read_text() == "value = 1"


def test_changed_requirements_are_installed(repository):
    assert repository.build()
    repository.requirements.write_text("littlelib==2")
    assert repository.build()
    assert repository.installs == 2


def test_folder_without_a_stamp_is_replaced(repository):
    """What an install left that was broken off counted as built."""
    repository.deps.mkdir(parents=True)
    (repository.deps / "littlelib.py").write_text("value = 0")
    assert repository.build()
    assert repository.installs == 1
    assert (repository.deps / "littlelib.py").read_text() == "value = 1"


def test_install_that_fails_leaves_nothing_that_counts_as_built(repository):
    """The folder of an install that failed counted as built the next time."""
    assert not repository.build(pip_status=1)
    assert not repository.deps.exists()
    assert repository.build()
    assert repository.installs == 2


def test_deploy_file_runs_this_build():
    text = (PATH.parent / "system.toml").read_text()
    assert 'build = "python3 deploy/build.py"' in text


# Guards against an install that counts as whole although a part of a library that the
# gateway imports is cut short: the process then ends at its start.
def test_install_with_a_broken_part_of_a_library_is_not_whole(repository):
    package = Path(importlib.util.find_spec("thrift").origin).parent
    shutil.copytree(package, repository.deps / "thrift")
    part = repository.deps / "thrift" / "protocol" / "TBinaryProtocol.py"
    part.write_text(part.read_text()[:1000])
    stamp = repository.module.make_stamp(repository.root)
    (repository.deps / repository.module.STAMP).write_text(json.dumps(stamp))
    modules = [name for name in repository.module.MODULES if name.startswith("thrift")]
    assert not repository.module.is_whole(repository.deps, repository.root, modules)


def copy_thrift(repository):
    """Copy a library with a valid stamp; return its folder and its listed modules."""
    package = Path(importlib.util.find_spec("thrift").origin).parent
    shutil.copytree(package, repository.deps / "thrift")
    stamp = repository.module.make_stamp(repository.root)
    (repository.deps / repository.module.STAMP).write_text(json.dumps(stamp))
    modules = [name for name in repository.module.MODULES if name.startswith("thrift")]
    return repository.deps / "thrift", modules


# Guards against a check that finds every install broken, the whole ones too.
def test_install_with_a_whole_library_is_whole(repository):
    _, modules = copy_thrift(repository)
    assert modules
    assert repository.module.is_whole(repository.deps, repository.root, modules)


# Guards against an install that counts as whole although the programs can't start.
def test_install_without_a_part_that_a_program_imports_is_replaced(repository):
    (repository.root / "program.py").write_text("from littlelib import value")
    assert repository.build(module="program")
    assert repository.build(module="program")
    assert repository.installs == 1
    (repository.deps / "littlelib.py").write_text("")
    assert repository.build(module="program")
    assert repository.installs == 2


# Guards against a list of modules that can't be imported where all libraries are.
def test_programs_are_imported_from_the_repository():
    repository = Repository.load_module()
    libraries = Path(importlib.util.find_spec("msgspec").origin).parent.parent
    assert {"tanagerwalk.ui.gateway", "tanagerwalk.ui.serve"} <= set(repository.MODULES)
    assert repository._can_import(libraries, PATH.parent.parent, repository.MODULES)
