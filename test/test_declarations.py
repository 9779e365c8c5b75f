"""Parsing of declarations and the messages for invalid ones."""

import pytest

from tanagerwalk.declarations import parse_declaration
from tanagerwalk.outcomes import VersionState

VALID = """
[class label]
quality = 0.7
lateness = 300 ms
[account desk]
key_sha256 = ab
classes = label
versions = m1
[version m1]
state = released
cost = 0.1
evaluated = label:0.9
"""

PROBLEMS = [
    ("versions = m1", "versions = m2", 'account "desk" names unknown version "m2"'),
    ("classes = label", "classes = x", 'account "desk" names unknown class "x"'),
    ("evaluated = label", "evaluated = x", 'version "m1" names unknown class "x"'),
    ("300 ms", "300", 'lateness = "300" is not a duration such as "300 ms"'),
    ("quality = 0.7", "quality = 7", "quality = 7 is not between 0 and 1"),
    ("released", "new", 'state = "new" is not one of'),
    ("cost = 0.1", "weight = 0.1", 'has unknown key "weight"'),
    ("cost = 0.1", "weight = 0.1", 'lacks key "cost"'),
    ("[version m1]", "[versions m1]", "unknown section [versions m1]"),
    ("[class label]", "class", "declaration is not INI"),
]


def test_valid_declaration_is_parsed():
    declaration = parse_declaration(VALID).ok
    assert declaration.classes["label"].lateness == 0.3
    assert declaration.versions["m1"].state is VersionState.RELEASED
    assert declaration.client_accounts["desk"].versions == {"m1"}


@pytest.mark.parametrize(("old", "new", "message"), PROBLEMS)
def test_problem_is_reported(old, new, message):
    problems = parse_declaration(VALID.replace(old, new, 1)).error
    assert any(message in problem for problem in problems)
