"""Memory for requests and answers: what is refused, what waits, and in which order."""

import resource

from tanagerwalk.gateway.answer_queue import LARGE_ANSWER_SPARE_SHARE, MAX_READ_BYTES
from tanagerwalk.gateway.memory import (
    MIN_CAPACITY_BYTES,
    MIN_REMAINING_BYTES,
    MemoryBudget,
    find_capacity,
)
from tanagerwalk.gateway.request_memory import SMALL_REQUEST_BYTES
from tanagerwalk.process_memory import MemorySizes, find_room, read_sizes

CAPACITY = 10_000_000
LARGE_BYTES = 1_000_000


def build_budget():
    return MemoryBudget(CAPACITY, lambda: 0.0)


def fill(budget, size):
    memory = budget.create_request_memory()
    memory.hold(size)
    return memory


def test_large_requests_leave_room_for_small_ones():
    budget = build_budget()
    large = [budget.create_request_memory() for _ in range(10)]
    admitted = [memory.try_grow(LARGE_BYTES) for memory in large]
    assert admitted == [True] * 5 + [False] * 5
    small = [budget.create_request_memory() for _ in range(200)]
    assert sum(memory.try_grow(SMALL_REQUEST_BYTES) for memory in small) >= 40
    for memory in large + small:
        memory.release()
        memory.release()
    assert budget.used == 0


def test_request_that_grows_is_large_once_it_has_grown():
    budget = build_budget()
    filler = fill(budget, int(0.7 * CAPACITY))
    memory = budget.create_request_memory()
    assert memory.try_grow(SMALL_REQUEST_BYTES)
    assert not memory.try_grow(1)
    memory.release()
    filler.release()
    assert budget.used == 0


# Guards against answers that wait for one another for ever.
def test_one_answer_goes_on_beyond_the_capacity_and_the_others_follow_in_order():
    budget = build_budget()
    filler = fill(budget, CAPACITY)
    answers = [budget.create_request_memory() for _ in range(3)]
    resumed = []
    assert answers[0].may_read_on(lambda: resumed.append(0))
    # The later one asks first.
    assert not answers[2].may_read_on(lambda: resumed.append(2))
    assert not answers[1].may_read_on(lambda: resumed.append(1))
    assert answers[0].may_read_on(lambda: resumed.append(0))
    assert budget.answers.waiting_count == 2
    answers[0].release()
    assert resumed == [1]
    assert answers[1].may_read_on(lambda: resumed.append(1))
    answers[1].release()
    assert resumed == [1, 2]
    answers[2].release()
    filler.release()
    assert budget.used == 0


# Guards against answers that wait for as long as one client leaves its answer unread.
def test_next_answer_goes_on_once_the_one_beyond_the_capacity_has_been_read():
    budget = build_budget()
    filler = fill(budget, int(0.55 * CAPACITY))
    answers = [budget.create_request_memory() for _ in range(4)]
    resumed = []
    for number, answer in enumerate(answers):
        can_go_on = answer.may_read_on(lambda n=number: resumed.append(n), LARGE_BYTES)
        assert can_go_on == (number == 0)
    answers[0].hold(LARGE_BYTES)
    assert resumed == []
    answers[0].end_reading()
    assert resumed == [1]
    answers[2].end_reading()
    assert resumed == [1]
    answers[1].hold(LARGE_BYTES)
    answers[1].end_reading()
    # One more would take the room of small requests.
    assert resumed == [1]
    small = budget.create_request_memory()
    assert small.try_grow(SMALL_REQUEST_BYTES)
    small.release()
    answers[0].release()
    assert resumed == [1, 2]
    for memory in [*answers, filler]:
        memory.release()
    assert budget.used == 0


def test_answers_go_on_when_there_is_room_again():
    budget = build_budget()
    filler = fill(budget, CAPACITY)
    answers = [budget.create_request_memory() for _ in range(4)]
    resumed = []
    for number, answer in enumerate(answers):
        answer.may_read_on(lambda number=number: resumed.append(number))
    # Room for two reads.
    filler.shrink_to(
        int((1.0 - LARGE_ANSWER_SPARE_SHARE) * CAPACITY) - 2 * MAX_READ_BYTES
    )
    assert resumed == [1, 2]
    answers[3].stop_waiting()
    filler.release()
    assert resumed == [1, 2]


def test_released_memory_counts_nothing_more():
    budget = build_budget()
    memory = fill(budget, 1000)
    memory.release()
    memory.hold(500)
    memory.hold(-500)
    assert budget.used == 0
    assert memory.may_read_on(None)


def test_peak_is_told_once_it_is_over():
    budget = build_budget()
    peaks = []
    budget.on_peak_over = lambda: peaks.append(budget.used)
    fill(budget, 1000).release()
    assert peaks == []
    memory = fill(budget, CAPACITY)
    memory.shrink_to(CAPACITY // 2)
    assert peaks == []
    memory.release()
    fill(budget, 1000).release()
    assert peaks == [0]


def test_capacity_follows_the_limit_and_never_vanishes():
    assert find_capacity(None) > MIN_CAPACITY_BYTES
    assert find_capacity(100_000_000) == 60_000_000
    assert find_capacity(-5) == MIN_CAPACITY_BYTES


def test_sizes_are_read_where_the_system_tells_them(tmp_path):
    sizes = read_sizes()
    assert 1_000_000 < sizes.resident < sizes.address_space
    assert read_sizes(tmp_path / "missing") == MemorySizes()
    odd = tmp_path / "odd"
    odd.write_text("VmRSS: many kB\nVmSize:\n")
    assert read_sizes(odd) == MemorySizes()


# Guards against a limit of the address space that is tighter than the settings'.
def test_room_is_that_of_the_tighter_limit(monkeypatch):
    sizes = MemorySizes(40_000_000, 100_000_000)
    unlimited = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
    monkeypatch.setattr(resource, "getrlimit", lambda kind: unlimited)
    assert find_room(150_000_000, sizes) == 110_000_000
    monkeypatch.setattr(resource, "getrlimit", lambda kind: (150_000_000, -1))
    assert find_room(150_000_000, sizes) == 50_000_000


# Guards against memory of other writers' entries that bodies and answers take, too.
def test_what_is_set_aside_reduces_the_capacity_and_is_not_in_use():
    budget = build_budget()
    budget.set_aside(CAPACITY // 2)
    assert (budget.used, budget.capacity) == (0, CAPACITY // 2)
    budget.set_aside(2 * CAPACITY)
    assert budget.capacity == MIN_REMAINING_BYTES
    budget.set_aside(0)
    assert budget.capacity == CAPACITY
