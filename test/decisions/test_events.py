"""Splitting of a stream into events, however its bytes are cut into pieces."""

from hypothesis import example, given
from hypothesis import strategies as st

from tanagerwalk.decisions.events import MAX_EVENT_BYTES, EventSplitter

STREAM = st.lists(
    st.sampled_from(
        [b"id: 1", b"id: 2", b"data: a", b":", b"\n", b"\r\n", b"\r", b"x" * 9]
    ),
    max_size=40,
).map(b"".join)
BLANK_LINES = (b"\n\n", b"\r\n\r\n")


def split_naively(data):
    """Return the events of a whole stream, and the rest.

    Pieces decide which of two events blank lines between them belong to.
    """
    events = []
    while any(mark in data for mark in BLANK_LINES):
        end = min(data.find(m) + len(m) for m in BLANK_LINES if m in data)
        events.append(data[:end])
        data = data[end:]
    return [event.strip(b"\r\n") for event in events], data


@given(STREAM, st.integers(1, 9))
@example(b"data: a\r\n\r\ndata: b\n\n", 1)
def test_pieces_give_the_events_of_the_whole_stream(data, size):
    splitter = EventSplitter()
    events = []
    for start in range(0, len(data), size):
        events += splitter.feed(data[start : start + size])
    expected, rest = split_naively(data)
    texts = [event.data.strip(b"\r\n") for event in events]
    assert [text for text in texts if text] == [text for text in expected if text]
    received = b"".join(event.data for event in events)
    assert data.startswith(received)
    assert data[len(received) :].strip(b"\r\n") == rest.strip(b"\r\n")
    assert splitter.has_partial == (len(received) < len(data))


@given(st.binary())
def test_any_bytes_are_split_without_an_exception(data):
    EventSplitter().feed(data + b"\n\n")


# Guards against an id that `int` does not take, which closed the client's connection.
def test_id_of_thousands_of_digits_is_no_number():
    (event,) = EventSplitter().feed(b"id: " + b"9" * 5000 + b"\n\n")
    assert event.number is None


def test_event_without_end_is_overlong():
    splitter = EventSplitter()
    piece = b"x" * 60
    fed = 0
    while not splitter.is_overlong:
        assert splitter.feed(piece) == []
        fed += len(piece)
    assert fed <= MAX_EVENT_BYTES + len(piece)
