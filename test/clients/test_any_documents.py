"""Documents of any content that `serve` reads from callers and from the store."""

import json

from hypothesis import given
from hypothesis import strategies as st

from tanagerwalk.api.payloads import UNSUPPORTED_PARAMETERS, read_body
from tanagerwalk.clients.keyvalue_messages import (
    KeepAliveResponse,
    LeaseResponse,
    RangeResponse,
    TxnResponse,
    WatchResponse,
    convert_readable,
)
from tanagerwalk.controllers.billing import _decode_bills
from tanagerwalk.decisions.patches import Patch, apply_patch, hash_text
from tanagerwalk.decisions.sessions import TOKEN_PREFIX, SessionTokens
from tanagerwalk.documents import decode_json
from tanagerwalk.outcomes import Interface
from tanagerwalk.writes import Entry

NUMBERS = st.sampled_from(["-1", "0", "7", "1e999", "9" * 30, "9" * 5000, "x", ""])
TEXTS = st.text(max_size=8) | st.sampled_from(["eA==", "====", "/w==", "PUT"]) | NUMBERS
NAMES = st.sampled_from(
    ["header", "kvs", "key", "value", "mod_revision", "revision", "result", "events"]
    + ["kv", "responses", "response_range", "succeeded", "ID", "TTL", "model"]
    + ["messages", "role", "content", "stream", "n", "max_tokens", "at", "edits"]
    + list(UNSUPPORTED_PARAMETERS)
)
DOCUMENTS = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | TEXTS,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(NAMES, inner, max_size=4)
    ),
    max_leaves=8,
)
# Some are no JSON, as `json` writes nan and infinite numbers in words.
CONTENTS = st.binary(max_size=60) | DOCUMENTS.map(json.dumps).map(str.encode)
KINDS = [
    KeepAliveResponse,
    LeaseResponse,
    RangeResponse,
    TxnResponse,
    WatchResponse,
]


@given(CONTENTS, st.sampled_from(Interface))
def test_any_body_of_a_caller_is_read_or_refused(content, interface):
    result = read_body(content, interface, "booking")
    if result.is_ok():
        assert isinstance(result.ok.payload, dict)


@given(CONTENTS, st.sampled_from(KINDS))
def test_any_response_of_the_store_is_read_or_an_error(content, kind):
    decoded = decode_json(content, kind)
    if decoded.is_ok() and kind is RangeResponse:
        assert all(entry.revision >= 0 for entry in convert_readable(decoded.ok.kvs))


@given(CONTENTS)
def test_any_stored_bills_without_fields_are_skipped(content):
    good = Entry("bills/b", b"[]", 2)
    assert _decode_bills([Entry("bills/a", content, 1), good]) == []


@given(st.integers(), st.integers(), st.text(max_size=5), st.booleans())
def test_any_patch_gives_its_result_or_an_error(prefix, suffix, middle, is_for_it):
    text = "[class a]\n"
    base = hash_text(text if is_for_it else "")
    result = apply_patch(text, Patch(base, hash_text("x"), prefix, suffix, middle))
    assert result.is_error() or result.ok == "x"


@given(st.text(max_size=60) | st.binary(max_size=40).map(bytes.hex))
def test_any_session_token_is_refused(text):
    tokens = SessionTokens("secret", 60.0)
    for token in (text, TOKEN_PREFIX + text):
        result = tokens.verify(token, "desk", "label", 0.0)
        assert result.is_error()
