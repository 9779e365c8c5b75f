"""Messages of other instances with missing fields and impossible numbers."""

import zlib

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from thrift.Thrift import TType

from tanagerwalk.controllers.loop import poll_until
from tanagerwalk.decisions.replay_window import ReplayWindow
from tanagerwalk.decisions.shared_loads import hash_server
from tanagerwalk.gateway.change_feed import read_changes
from tanagerwalk.gateway.load_messages import sign
from tanagerwalk.peers import codec
from tanagerwalk.peers.codec import decode, encode
from tanagerwalk.peers.gen.changes import ttypes as changes
from tanagerwalk.peers.gen.loads import ttypes as loads
from tanagerwalk.standins.gateway_cluster import GatewayCluster

WAIT_S = 5.0
KINDS = [
    changes.ChangesRequest,
    changes.ChangesResponse,
    changes.ManifestRequest,
    changes.ManifestResponse,
    loads.LoadMessage,
    loads.TunnelNotice,
]
BITS = {TType.BYTE: 8, TType.I16: 16, TType.I32: 32, TType.I64: 64}
# Of a server that the instance knows: by its id, and by its life.
SERVER_HASHES = [
    hash_server("draft-0"),
    zlib.crc32(b"draft-0|1"),
    hash_server("desk-0"),
    zlib.crc32(b"desk-0|1"),
]
TEXTS = st.sampled_from(["", "a-1", "desk", "drafts", "/x", "draft-0", "part:x"])


def build_field(ttype, spec):
    """Return a strategy for a field: absent, usual or at the limits of its type."""
    if ttype is TType.BOOL:
        return st.booleans()
    if ttype in BITS:
        limit = 2 ** (BITS[ttype] - 1)
        odd = [-limit, -1, 0, 1, 3, limit - 1]
        if ttype is TType.I64:
            odd += SERVER_HASHES
        return st.sampled_from(odd)
    if ttype is TType.DOUBLE:
        return st.floats()
    if ttype is TType.STRING:
        return st.binary(max_size=9) if spec == "BINARY" else TEXTS
    if ttype is TType.STRUCT:
        return build_message(spec[0])
    if ttype is TType.LIST:
        return st.lists(build_field(spec[0], spec[1]), max_size=3)
    keys, values = build_field(spec[0], None), build_field(spec[2], None)
    return st.dictionaries(keys, values, max_size=3)


def build_message(kind):
    """Return a strategy for a generated struct, any of whose fields may be absent."""
    # Numbers that no field has are None.
    fields = {
        name: st.none() | build_field(ttype, spec)
        for _, ttype, name, spec, _ in filter(None, kind.thrift_spec)
    }
    return st.builds(kind, **fields)


def build_heard_message():
    """Return a strategy for a load message whose head is valid."""
    heads = st.tuples(st.integers(0, 2**40), st.sampled_from([0, 1, 2]), st.booleans())
    return st.builds(complete_head, build_message(loads.LoadMessage), heads)


def complete_head(message, head):
    message.sequence, message.scope, has_notes = head
    message.sender, message.domain = "other.1", "a-1"
    message.part, message.parts = 0, 1
    # A message with notes holds nothing else.
    message.notes = message.notes if has_notes else None
    return message


# Guards against a message that closes the socket for load messages, or ends the task
# that sends them, and with it the process.
async def test_any_load_message_is_processed():
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=1, desks=1)
        (instance,) = cluster.instances
        sharing = instance.sharing
        await cluster.wait_until_connected()

        @settings(
            max_examples=300,
            suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
        )
        @given(build_heard_message())
        def process(message):
            # A kept window would refuse most examples, as their numbers are arbitrary.
            sharing._replays = ReplayWindow()
            datagram = sign(sharing._secret, encode(message))
            sharing.datagram_received(datagram, ("127.0.0.1", 1))
            sharing._send_round(instance.clock())
            contents = sharing._collect_own(instance.clock())
            for service in ("desk", "drafts"):
                instance.servers.choose(service, instance.clock())
                instance.servers.estimate_wait(service, instance.clock())
            for collect in (sharing._collect_domain, sharing._collect_fleet):
                told = collect(contents, instance.clock())
                for built in sharing._builder.build(told):
                    encode(built)

        process()
        # The store was not read meanwhile.
        assert await poll_until(instance.is_ready, 0.02, WAIT_S)
        for path in ("/jobs/1", "/bookings/1"):
            reply = await cluster.send(cluster.encode("POST", path, b"slot"))
            assert reply.status == 200
        assert not instance.count_defects()


# Guards against an answer of another instance that ends the copy of the store.
@given(build_message(changes.ChangesResponse))
def test_any_changes_of_a_peer_are_read(message):
    decoded = decode(changes.ChangesResponse, encode(message)).ok
    result = read_changes(decoded, 100.0)
    if result.is_ok():
        assert result.ok.confirmed_at <= 100.0
        written = result.ok.changes.written
        assert all(isinstance(entry.value, bytes) for entry in written)


@given(st.sampled_from(KINDS), st.binary(max_size=200))
def test_any_payload_is_decoded_without_an_exception(kind, payload):
    for flag in (b"", codec._UNCOMPRESSED, codec._COMPRESSED):
        decode(kind, flag + payload)


# Guards against a client's impossible token count that ended the sending of loads.
async def test_huge_token_count_of_a_client_is_told():
    async with GatewayCluster() as cluster:
        await cluster.build(drafts=1, desks=0)
        (instance,) = cluster.instances
        cluster.servers["draft-0"].behaviour.delay = 0.1
        _, writer = await cluster.connect()
        writer.write(cluster.encode_plan(X_Tanagerwalk_Token_Count="9" * 15 + ",80"))
        sent = cluster.servers["draft-0"]
        while not sent.requests:
            await cluster.send(cluster.encode("GET", "/nowhere"))
        contents = instance.sharing._collect_own(instance.clock())
        for message in instance.sharing._builder.build(contents):
            encode(message)
        writer.transport.abort()
