"""What instances tell each other of the servers' speeds, also to an earlier build."""

import random
from types import SimpleNamespace

import earlier_load_types as earlier
import pytest

from tanagerwalk.decisions.engine_load import EngineLoad
from tanagerwalk.decisions.latency_baselines import LatencySample
from tanagerwalk.decisions.relays import RelaySelection, Role, Scope
from tanagerwalk.decisions.server_speed_samples import SpeedSamples
from tanagerwalk.decisions.server_speeds import ServerSpeeds
from tanagerwalk.decisions.shared_loads import SharedLoadTable
from tanagerwalk.gateway.load_message_builder import Contents, LoadMessageBuilder
from tanagerwalk.gateway.load_messages import decode_message, sign
from tanagerwalk.gateway.server_speed_messages import decode_speed, encode_speed
from tanagerwalk.gateway.server_speed_sharing import SpeedSharing
from tanagerwalk.gateway.sharing import LoadSharing
from tanagerwalk.peers.codec import decode, encode
from tanagerwalk.peers.gen.loads.ttypes import LoadMessage, ServerSpeed

SECRET = b"key of the fleet"
LIFE = 3_000_000_001
SAMPLES = SpeedSamples(17.25, -6.5, 17.5, 3.125)


def build_messages(scope, speeds, sender="other", domain="a-1"):
    builder = LoadMessageBuilder(sender, domain, random.Random(1))
    contents = Contents(scope, {}, {}, {}, {}, speeds=speeds)
    return [m for m in builder.build(contents) if m.speeds is not None]


def build_sharing(domain="a-1"):
    speeds = ServerSpeeds()
    speeds.set_servers({"drafts": [LIFE]})
    sharing = LoadSharing(
        "own",
        domain,
        SimpleNamespace(speeds=speeds),
        SharedLoadTable(),
        RelaySelection("own", domain),
        SimpleNamespace(merge_records=lambda records, passes_on: None),
        SimpleNamespace(record_peer_tally=lambda *tally: None),
        SimpleNamespace(receive=lambda sender, notes: None),
        dict,
        lambda: 10.0,
        random.Random(1),
    )
    sharing.authenticate(SECRET.decode())
    return sharing, speeds


def receive(sharing, messages):
    for message in messages:
        sharing.datagram_received(sign(SECRET, encode(message)), ("10.0.0.1", 1))


@pytest.mark.parametrize("slowdown", [None, 1.0])
def test_speeds_are_told_only_where_servers_report_slowdowns(slowdown):
    speeds = ServerSpeeds()
    speeds.set_servers({"drafts": [LIFE]})
    load = EngineLoad(1, 0, 6, slowdown)
    for number in range(20):
        now = 0.1 * number
        speeds.record_report(LIFE, load, now)
        speeds.record_duration(LIFE, "jobs", LatencySample(0.1), load, now)
    told = SpeedSharing(speeds)
    told.begin_round(2.0)
    messages = build_messages(Scope.INSTANCE, told.list_totals((), 2.0))
    assert len(messages) == (0 if slowdown is None else 1)


def test_samples_survive_encoding():
    assert decode_speed(encode_speed(LIFE, SAMPLES)) == (LIFE, SAMPLES)


def test_samples_of_another_instance_are_added():
    sharing, speeds = build_sharing()
    receive(sharing, build_messages(Scope.INSTANCE, {LIFE: SAMPLES}))
    assert speeds.shared.sum_by_key(10.0) == {LIFE: SAMPLES}
    assert speeds.estimate(LIFE, 10.0) > 1.1


def test_sum_of_the_own_domain_by_its_other_relay_is_not_added():
    sharing, speeds = build_sharing()
    speeds.shared.set_role(Role.RELAY, 68)
    sharing._shared.set_role(Role.RELAY, 68)
    receive(sharing, build_messages(Scope.DOMAIN, {LIFE: SAMPLES}))
    assert speeds.shared.sum_by_key(10.0) == {}
    receive(sharing, build_messages(Scope.DOMAIN, {LIFE: SAMPLES}, domain="b-1"))
    assert speeds.shared.sum_by_key(10.0) == {LIFE: SAMPLES}


@pytest.mark.parametrize("servers", [1, 40, 130, 800])
def test_messages_fit_a_packet_whatever_the_number_of_servers(servers):
    source = random.Random(servers)
    speeds = {
        source.getrandbits(32): SpeedSamples(*(source.uniform(0, 1e6),) * 4)
        for _ in range(servers)
    }
    messages = build_messages(Scope.FLEET, speeds)
    assert max(len(sign(SECRET, encode(message))) for message in messages) <= 1400
    told = dict(decode_speed(speed) for m in messages for speed in m.speeds)
    assert told.keys() == speeds.keys()


def test_earlier_build_reads_the_rest_of_a_message_with_speeds():
    (message,) = build_messages(Scope.INSTANCE, {LIFE: SAMPLES})
    received = decode(earlier.LoadMessage, encode(message)).ok
    assert (received.sender, received.scope, received.loads) == ("other", 0, None)


def test_message_of_an_earlier_build_tells_no_speeds():
    message = earlier.LoadMessage("other", 1, [], scope=0, domain="a-1")
    assert decode(LoadMessage, encode(message)).ok.speeds is None


def test_impossible_sums_are_bounded():
    _, samples = decode_speed(ServerSpeed(LIFE, -5, 2**31 - 1, 1000, -(2**31)))
    assert samples.duration_weight == samples.log_duration_sum == 0.0
    assert samples.report_weight == 1.0
    assert -3.0 < samples.log_slowdown_sum < 0.0


def test_speed_without_a_server_is_rejected():
    message = LoadMessage("other", 1, scope=0, domain="a-1", part=0, parts=1)
    message.speeds = [ServerSpeed(None, 1, 1)]
    assert decode_message(SECRET, sign(SECRET, encode(message))).is_error()
