"""Session tokens: secret rotation, forged and expired tokens, id limits."""

import pytest

from tanagerwalk.decisions.sessions import (
    MAX_ID_LENGTH,
    SessionClaims,
    SessionTokens,
    check_id,
    is_token,
)

CLAIMS = SessionClaims("wren:1", "desk", "label", 1, 1000)
LIFETIME_S = 100.0


def issue(secrets):
    return SessionTokens(secrets, LIFETIME_S).issue(CLAIMS).token


@pytest.mark.parametrize(
    ("signed", "accepted", "valid"),
    [
        ("a", "a", True),
        ("a", "b a", True),
        ("b a", "a b", True),
        ("b a", "b", True),
        ("a b", "b", False),
        ("a", "b", False),
    ],
)
def test_secrets_can_be_rotated(signed, accepted, valid):
    tokens = SessionTokens(accepted, LIFETIME_S)
    verified = tokens.verify(issue(signed), "desk", "label", 1000.0)
    assert verified.is_ok() is valid


@pytest.mark.parametrize(
    ("change", "account", "work_class", "now"),
    [
        ("", "desk", "label", 1000.0 + LIFETIME_S + 1),
        ("", "other", "label", 1000.0),
        ("", "desk", "plan", 1000.0),
        ("0", "desk", "label", 1000.0),
    ],
)
def test_bad_token_is_refused(change, account, work_class, now):
    token = issue("a") + change
    assert is_token(token)
    refused = SessionTokens("a", LIFETIME_S).verify(token, account, work_class, now)
    assert refused.is_error()


@pytest.mark.parametrize(
    ("name", "usable"),
    [("x", True), ("x" * MAX_ID_LENGTH, True), ("x" * 129, False), ("a\nb", False)],
)
def test_session_id_limits(name, usable):
    assert (check_id(name) is None) is usable
