"""Tests of request bodies: what is passed on, and the messages of refusals."""

import json

import pytest

from tanagerwalk.api.payloads import read_body
from tanagerwalk.outcomes import Interface, RefusalReason

MESSAGES = [{"role": "user", "content": "deed book", "name": "clerk"}]

FAULTS = [
    (b"", "not a valid request"),
    (b"[]", "not a valid request"),
    (b'{"messages": []}', "missing required field `model`"),
    (b'{"model": "label", "messages": []}', '"messages" is empty'),
    (b'{"model": "label", "messages": "hi"}', "Expected `array`"),
    (b'{"model": "label", "messages": ["hi"]}', "Expected `object`"),
]

UNSUPPORTED = [
    ({"tools": [{}]}, 'parameter "tools" is not supported'),
    ({"tools": []}, 'parameter "tools" is not supported'),
    ({"logprobs": True}, 'parameter "logprobs" is not supported'),
    ({"priority": 1}, 'parameter "priority" is not supported'),
    ({"n": 2}, 'parameter "n" must be 1'),
    ({"max_tokens": 0}, 'parameter "max_tokens" must be at least 1'),
]


@pytest.mark.parametrize(("content", "message"), FAULTS)
def test_malformed_body_is_refused(content, message):
    refusal = read_body(content, Interface.CHAT).error
    assert refusal.reason is RefusalReason.INVALID_REQUEST
    assert message in refusal.message


@pytest.mark.parametrize(("more", "message"), UNSUPPORTED)
def test_unsupported_parameter_is_refused(more, message):
    body = {"model": "label", "messages": MESSAGES, **more}
    refusal = read_body(json.dumps(body).encode(), Interface.CHAT).error
    assert refusal.message == message


def test_other_parameters_pass_through():
    body = {"model": "label", "messages": MESSAGES, "stream": True, "seed": 4}
    checked = read_body(json.dumps(body).encode(), Interface.CHAT).ok
    assert checked.payload == {"messages": MESSAGES, "seed": 4}
    assert (checked.class_name, checked.stream) == ("label", True)


def test_service_body_is_any_object():
    checked = read_body(b'{"slot": 1}', Interface.SERVICE, "booking").ok
    assert checked.payload == {"slot": 1}
    assert checked.class_name == "booking"
