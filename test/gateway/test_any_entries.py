"""Entries of any content under any key that a controller or a subscriber reads."""

import itertools
import json

from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from tanagerwalk.changes import Changes
from tanagerwalk.ids import Revision
from tanagerwalk.platform.settings import parse_settings
from tanagerwalk.standins.gateway_cluster import GatewayCluster, build_manifest
from tanagerwalk.writes import Entry

KEYS = [
    "op/config",
    "op/rollout/desk",
    "op/rollout/",
    "status/rollout/desk",
    "tanagerwalk/fleet-key",
    "tanagerwalk/instance/other.1",
    "tanagerwalk/instance/",
    "tanagerwalk/rollout/desk",
    "tanagerwalk/rollout/",
    "servers/desk-0",
    "servers/",
]
ODD = st.sampled_from(
    [
        None,
        True,
        -1,
        0,
        1,
        2**31,
        2**63,
        10**30,
        1e308,
        -0.5,
        "",
        "v1",
        "\x00",
        "\ud800",
    ]
) | st.recursive(
    st.none() | st.text(max_size=3),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(st.text(max_size=3), inner, max_size=2)
    ),
    max_leaves=4,
)
DOCUMENTS = {
    "op/config": json.loads(build_manifest(2)),
    "op/rollout/desk": {"service": "desk", "target": "v2", "duration_s": 20},
    "tanagerwalk/rollout/desk": {
        "target": "v2",
        "order": 5,
        "phase": "canary",
        "elapsed": 1.5,
    },
    "tanagerwalk/instance/other.1": {
        "address": "127.0.0.1",
        "port": 9,
        "failure_domain": "a-1",
        "changes_port": 9,
        "owns_sessions": True,
    },
    "servers/desk-0": {
        "service": "desk",
        "address": "127.0.0.1:9",
        "zone": "a-1",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 1,
        "born": 1,
    },
}


def list_paths(value, path=()):
    """Return the path of each part of a document."""
    paths = [path] if path else []
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, part in items:
        paths += list_paths(part, (*path, key))
    return paths


def replace_part(document, path, value):
    """Return a copy of a document with another value at a path."""
    copy = json.loads(json.dumps(document))
    parent = copy
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    return copy


@st.composite
def draw_entry(draw):
    """Draw a key, and a value that is nearly right, any JSON or any bytes."""
    key = draw(st.sampled_from(KEYS))
    form = draw(st.sampled_from(["near", "near", "near", "json", "bytes"]))
    if form == "bytes":
        return key, draw(st.binary(max_size=40))
    if form == "json" or key not in DOCUMENTS:
        return key, json.dumps(draw(ODD)).encode()
    document = DOCUMENTS[key]
    path = draw(st.sampled_from(list_paths(document)))
    return key, json.dumps(replace_part(document, path, draw(ODD))).encode()


async def test_any_entry_is_read_without_a_defect():
    """Guards against an entry that ends what follows the store, at all instances."""
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=1, desks=1)
        (instance,) = cluster.instances
        await cluster.wait_until_connected()
        mirror = instance.mirror
        revisions = itertools.count(mirror._revision + 1)

        def apply(key, value=None):
            revision = Revision(next(revisions))
            written = () if value is None else (Entry(key, value, revision),)
            deleted = ((key, revision),) if value is None else ()
            mirror._apply_changes(Changes(written, deleted, revision))

        @settings(
            max_examples=400,
            suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
        )
        @given(st.lists(draw_entry(), min_size=1, max_size=4))
        def process(entries):
            before = instance.count_defects()
            for key, value in entries:
                apply(key, value)
                use(instance)
            for key, _ in entries:
                apply(key)
            use(instance)
            assert instance.count_defects() == before, entries

        process()


def use(instance):
    """Let the controllers, and a request, work on what was read."""
    instance.sharing._update_role()
    instance.sharing._send_round(instance.clock())
    instance.fleet_key._find_write_delay()
    for order in instance.cluster_state.orders.values():
        instance.rollouts.get_state(order)
        instance.rollouts.find_progress(order, instance.clock())
        coroutine = instance.rollouts._advance(order)
        # Up to its first wait.
        coroutine.send(None) if not _is_done(instance, order) else None
        coroutine.close()
    for service in ("desk", "drafts"):
        instance.servers.choose(service, instance.clock())
        instance.servers.estimate_wait(service, instance.clock())


def _is_done(instance, order):
    state = instance.rollouts._states.get(order.service)
    return state is not None and state.order == order.revision


SETTINGS = {
    "node_name": "gateway-0",
    "ip": "127.0.0.1",
    "zone": "a-1",
    "region": "a",
    "port_range": [7340, 7355],
    "zones": {"a-1": "a"},
    "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
    "platform": {"address": "127.0.0.1:3"},
    "limits": {"memory_mb": 150, "max_fds": 4200},
    "bounds": {"drain_ms": 2500, "grace_s": 8, "strict_revoke": True},
}


def encode_toml(value):
    """Return a value as TOML, or as something near it."""
    if isinstance(value, dict):
        parts = (f"{json.dumps(k)} = {encode_toml(v)}" for k, v in value.items())
        return "{" + ", ".join(parts) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(encode_toml, value)) + "]"
    return json.dumps(value)


@settings(max_examples=500)
@example(("limits", "memory_mb"), 1e308)
@given(st.sampled_from(list_paths(SETTINGS)), ODD)
def test_any_settings_are_read(path, value):
    """Guards against a settings file that ends the task that follows it."""
    document = replace_part(SETTINGS, path, value)
    text = "\n".join(f"{name} = {encode_toml(part)}" for name, part in document.items())
    parse_settings(text)


@given(st.text(max_size=30) | st.sampled_from(["[" * 2000, "a = " + "[" * 5000]))
def test_any_text_is_read_as_settings(text):
    """Guards against a settings file that is no TOML."""
    parse_settings(text)
