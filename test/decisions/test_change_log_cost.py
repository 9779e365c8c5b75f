"""Cost of the log of store changes when another writer makes very many of them."""

import time

from tanagerwalk.changes import Changes
from tanagerwalk.decisions.change_log import ChangeLog
from tanagerwalk.ids import Revision

CHANGES = 20000
# The log took over 5 s when its work grew with the square of the changes.
MAX_PROCESSOR_TIME_S = 1.0


# Guards against a process that records changes for seconds, is not ready meanwhile and
# refuses requests because its copy is too old.
def test_work_does_not_grow_with_the_square_of_the_changes():
    log = ChangeLog()
    log.start(Revision(0))
    deleted = tuple((f"servers/{n}", Revision(n)) for n in range(1, CHANGES + 1))
    started_at = time.process_time()
    log.record(Changes((), deleted, Revision(CHANGES)))
    assert time.process_time() - started_at < MAX_PROCESSOR_TIME_S
