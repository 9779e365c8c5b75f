"""Entries of servers in the metadata store that name no server."""

import json

NESTING_DEPTH = 2000
NESTED = "[" * NESTING_DEPTH + "]" * NESTING_DEPTH
SERVER = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "a-1",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 1,
    "born": 1,
}


MAX_PORT = 65535
ODD_ADDRESSES = [
    "",
    "127.0.0.1",
    "127.0.0.1:",
    ":9",
    "127.0.0.1:\u00b2",
    "127.0.0.1:\u0663",
    "127.0.0.1:0",
    "127.0.0.1:-9",
    "127.0.0.1:+9",
    "127.0.0.1: 9",
    f"127.0.0.1:{MAX_PORT + 1}",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1\x00:9",
    "127.0.0.1\r\n:9",
    "127.1:9",
    "256.0.0.1:9",
    "0.0.0.0:9",
    "224.0.0.1:9",
    "255.255.255.255:9",
    "[::]:9",
    "fe80::1%lo:9",
    "h" * 70 + ":9",
    "h" * 5000 + ":9",
    "..:9",
    "localhost:9",
    "xn--:9",
    "\u00e9ngine.example:9",
]


# A field, its value.
ODD_FIELDS = [
    ("slots", 10**30),
    ("slots", 10**400),
    ("slots", 2**63),
    ("slots", 1e300),
    ("slots", 0),
    ("slots", -1),
    ("slots", None),
    ("born", 10**30),
    ("born", 10**400),
    ("born", -1),
    ("born", 1.5),
    ("born", "1"),
    ("sequence", "4"),
    ("sequence", None),
    ("cold_left_ms", "soon"),
    ("cold_left_ms", {}),
    ("stage", 7),
    ("models", 7),
    ("state", "READY"),
    ("state", ""),
    ("service", ""),
    ("service", ["desk"]),
    ("zone", ""),
    ("zone", None),
    ("version", ""),
    ("version", 1),
]


REQUIRED_FIELDS = tuple(name for name in SERVER if name != "born")
ODD_BYTES = [
    b"",
    b"\xff\xfe",
    b"null",
    b"[]",
    b"7",
    b'"desk"',
    b"{",
    b"{}",
    NESTED.encode(),
    NESTED[:-1].encode(),
    b"[" * NESTING_DEPTH,
    b'{"service": "\xff"}',
    b'{"service": "\\ud800"}',
]
ODD_IDS = [
    "",
    "a\r\nX-Tanagerwalk-Tenant: other",
    "a\nb",
    "a\tb",
    "a b",
    "\x00",
    "\u00e9",
    "\u2028",
    "x" * 300,
]


def encode_server(**changes):
    """Return the value of a server's entry with changed fields."""
    return json.dumps(SERVER | changes).encode()


def nest(name, document=SERVER):
    """Return a document in which one field is a deeply nested list."""
    fields = [f'"{key}": {json.dumps(document[key])}' for key in document]
    fields = [field for field in fields if not field.startswith(f'"{name}"')]
    return ("{" + ", ".join([*fields, f'"{name}": {NESTED}']) + "}").encode()


def list_odd_entries():
    """Return (key, value) of each kind of entry that names no server."""
    odd = [encode_server(address=address) for address in ODD_ADDRESSES]
    odd += [encode_server(**{field: value}) for field, value in ODD_FIELDS]
    odd += [nest(field) for field in (*SERVER, "stage", "unknown")]
    for field in REQUIRED_FIELDS:
        odd.append(json.dumps({k: v for k, v in SERVER.items() if k != field}).encode())
    odd += ODD_BYTES
    entries = [(f"servers/odd-{number}", value) for number, value in enumerate(odd)]
    return entries + [(f"servers/{name}", encode_server()) for name in ODD_IDS]
