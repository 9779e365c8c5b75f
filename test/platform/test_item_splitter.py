"""Items of a response of the store that are taken out while it arrives."""

import json

from hypothesis import given
from hypothesis import strategies as st

from tanagerwalk.platform.item_splitter import MAX_ITEM_BYTES, ItemSplitter

TEXTS = st.text('ab"\\{}[],:\n\u00e9', max_size=8)
VALUES = st.recursive(
    st.none() | st.integers() | TEXTS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXTS, inner),
    max_leaves=8,
)
ITEMS = st.lists(st.dictionaries(TEXTS, VALUES, max_size=3), max_size=5)


def split(document, part_size):
    splitter = ItemSplitter()
    items = []
    for start in range(0, len(document), part_size):
        items += splitter.feed(document[start : start + part_size])
    return items, splitter


@given(ITEMS, TEXTS, st.integers(1, 9), st.booleans())
def test_items_and_envelope_are_those_of_the_document(items, text, size, is_ascii):
    document = {"more_pages": True, "items": items, "note": text, "current_rev": 7}
    encoded = json.dumps(document, ensure_ascii=is_ascii).encode()
    raws, splitter = split(encoded, size)
    assert [json.loads(raw) for raw in raws] == items
    assert json.loads(splitter.envelope) == document | {"items": []}


@given(st.binary(max_size=200), st.integers(1, 9))
def test_any_bytes_are_split_without_an_exception(data, size):
    split(data, size)


# Guards against an item without end that fills the memory.
def test_overlong_item_is_left_out_and_the_others_hold():
    long = b'{"value": "%s"}' % (b"x" * MAX_ITEM_BYTES)
    document = b'{"items": [{"a": 1}, %s, {"a": 2}], "current_rev": 7}' % long
    raws, splitter = split(document, 65536)
    assert [json.loads(raw) for raw in raws] == [{"a": 1}, {"a": 2}]
    assert splitter.overlong_count == 1
    assert json.loads(splitter.envelope) == {"items": [], "current_rev": 7}


def test_endless_envelope_is_noticed():
    _, splitter = split(b'{"note": "' + b"x" * 100_000, 16384)
    assert not splitter.is_plausible
