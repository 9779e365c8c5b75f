"""Conversion of loads, tallies and sessions' sides to messages between instances."""

import hashlib
import heapq
import hmac
from functools import singledispatch

from expression import Error

from ..decisions.latency_histograms import MAX_BUCKET, LatencyHistogram
from ..decisions.part_records import CrashWeight, PartRecord, is_part_key
from ..decisions.quarantine import CrashRecord
from ..decisions.relays import Scope
from ..decisions.server_statements import BRITTLENESS_RANGE, LIMIT_RANGE, Statement
from ..decisions.shared_loads import SharedLoad
from ..decisions.tallies import AnswerKind, SideCount, StartCount, Tally
from ..ids import Fingerprint, Incarnation, PartKey, RouteName
from ..peers.codec import decode
from ..peers.gen.loads.ttypes import (
    AccountDemand,
    ColdServer,
    CrashBlame,
    LatencyTally,
    LoadMessage,
    RouteTally,
    ServerBrittleness,
    ServerLimit,
    ServerLoad,
    ServerSpeed,
    ServerTally,
    ServiceDemand,
    SessionSides,
    TrialTally,
)

MS_PER_S = 1000.0
# An older response says nothing about a server's current health.
MAX_REPORTED_AGE_S = 10.0
MAC_BYTES = 16
# Histograms of both releases for one message; a hundred bytes each.
MAX_LATENCIES = 8
# Failing servers of a release that a message tells.
MAX_TALLIED_SERVERS = 8
MAX_INT32 = 2**31 - 1
# Fields that all versions of a message set.
REQUIRED_FIELDS = {
    ServerLoad: ("server", "in_flight", "tokens"),
    CrashBlame: ("fingerprint",),
    ServerLimit: ("server",),
    ServerBrittleness: ("server",),
    ColdServer: ("server", "left_ms"),
    ServerSpeed: ("server",),
    SessionSides: ("service_name", "on_target", "on_base"),
    TrialTally: ("service_name", "order"),
    RouteTally: ("route", "target_answers", "target_bad", "base_answers", "base_bad"),
    LatencyTally: ("route",),
    ServerTally: ("server", "answers", "bad"),
    ServiceDemand: ("service_name", "offered", "done", "waiting", "accounts"),
    AccountDemand: ("account", "offered"),
}
# Lists of structs in a LoadMessage.
SECTIONS = (
    "loads",
    "blames",
    "sides",
    "tallies",
    "limits",
    "brittle",
    "speeds",
    "demands",
    "cold",
)
KNOWN_SCOPES = frozenset(scope.value for scope in Scope)


def sign(secret, data):
    """Return a datagram that proves to come from an instance with the fleet's key."""
    return hmac.digest(secret, data, hashlib.sha256)[:MAC_BYTES] + data


def decode_message(secret, datagram):
    """Decode a signed datagram into a LoadMessage.

    Parameters
    ----------
    secret : bytes
        Key of the fleet.
    datagram : bytes
        Output of `sign`.

    Returns
    -------
    Result of LoadMessage, or of str
        The error is one line for the log.
    """
    mac, data = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
    expected = hmac.digest(secret, data, hashlib.sha256)[:MAC_BYTES]
    if not hmac.compare_digest(mac, expected):
        return Error("wrong MAC")
    result = decode(LoadMessage, data)
    if result.is_error():
        return result
    message = result.ok
    if not message.sender or message.sequence is None or message.domain is None:
        return Error("no sender, sequence or failure domain")
    if message.scope not in KNOWN_SCOPES:
        return Error(f"unknown scope {message.scope}")
    if not message.parts or message.part not in range(message.parts):
        return Error(f"part {message.part} of {message.parts}")
    for section in _list_sections(message):
        missing = _find_missing(section)
        if missing is not None:
            return Error(f"{type(section).__name__} without {missing}")
    return result


def _list_sections(message):
    """Yield the structs of a LoadMessage, and those that they hold."""
    for name in SECTIONS:
        yield from getattr(message, name) or ()
    for tally in message.tallies or ():
        yield from tally.routes or ()
        yield from tally.latencies or ()
        yield from tally.servers or ()
    for demand in message.demands or ():
        yield from demand.accounts or ()


def _find_missing(section):
    """Return the name of a required field that is not set, or None."""
    names = REQUIRED_FIELDS[type(section)]
    return next((name for name in names if getattr(section, name) is None), None)


def encode_load(key, load):
    """Convert a SharedLoad to a ServerLoad message; `key` is the server's hash."""
    heard_ago_ms = None
    if load.heard_ago < MAX_REPORTED_AGE_S:
        heard_ago_ms = int(load.heard_ago * MS_PER_S)
    return ServerLoad(
        key,
        min(MAX_INT32, load.in_flight),
        int(min(MAX_INT32, load.tokens)),
        int(min(MAX_INT32, load.silence * MS_PER_S)) or None,
        heard_ago_ms,
        min(MAX_INT32, load.errors) or None,
    )


def decode_load(load):
    """Convert a ServerLoad message to a SharedLoad."""
    heard_ago = float("inf")
    if load.heard_ago_ms is not None:
        heard_ago = max(0, load.heard_ago_ms) / MS_PER_S
    silence = max(0, load.silence_ms or 0) / MS_PER_S
    in_flight = max(0, load.in_flight)
    tokens = max(0, load.tokens)
    errors = max(0, load.errors or 0)
    return SharedLoad(in_flight, tokens, silence, heard_ago, errors)


@singledispatch
def encode_blame(record, key):
    """Convert a CrashRecord or a PartRecord to a CrashBlame message.

    Parameters
    ----------
    record : CrashRecord or PartRecord
        The record.
    key : Fingerprint or PartKey
        The request or the part.
    """
    raise TypeError(f"no crash record: {record!r}")


@encode_blame.register
def _(record: CrashRecord, key):
    lifetime_ms = int(record.lifetime * MS_PER_S)
    return CrashBlame(key, sorted(record.incarnations), lifetime_ms)


@encode_blame.register
def _(record: PartRecord, key):
    begun = [
        life for life, weight in record.crashes.items() if weight is CrashWeight.BEGUN
    ]
    answered_ago_ms = None
    if record.answered_ago is not None:
        answered_ago_ms = int(record.answered_ago * MS_PER_S)
    return CrashBlame(
        key,
        sorted(record.crashes),
        int(record.lifetime * MS_PER_S),
        sorted(begun),
        answered_ago_ms,
        record.depth,
    )


def decode_blame(blame):
    """Convert a CrashBlame message to its key and a CrashRecord or PartRecord."""
    key = blame.fingerprint or ""
    lifetime = max(0, blame.lifetime_ms or 0) / MS_PER_S
    lives = list(map(Incarnation, blame.servers or ()))
    if not is_part_key(key):
        return Fingerprint(key), CrashRecord(frozenset(lives), lifetime)
    # A relay of an earlier version passes on no more than the servers.
    begun = lives if blame.begun is None else blame.begun
    crashes = {
        life: CrashWeight.BEGUN if life in begun else CrashWeight.PRESENT
        for life in lives
    }
    answered_ago = None
    if blame.answered_ago_ms is not None:
        answered_ago = max(0, blame.answered_ago_ms) / MS_PER_S
    depth = max(0, blame.depth or 0)
    return PartKey(key), PartRecord(crashes, depth, lifetime, answered_ago)


def encode_limit(life, news):
    """Convert a Statement to a ServerLimit message; `life` is the server's hash."""
    return ServerLimit(life, news.value, int(news.heard_ago * MS_PER_S))


def decode_limit(limit):
    """Convert a ServerLimit message to the server's hash and a Statement."""
    rate = LIMIT_RANGE.take(limit.rate)
    return limit.server, Statement(rate, _decode_age(limit.heard_ago_ms))


def encode_cold_time(life, seconds):
    """Convert the cold time of a server to a ColdServer message."""
    return ColdServer(life, min(MAX_INT32, int(seconds * MS_PER_S)))


def decode_cold_time(encoded):
    """Convert a ColdServer message to the server's hash and seconds."""
    return encoded.server, max(0, encoded.left_ms) / MS_PER_S


def encode_brittleness(life, news):
    """Convert a Statement to a ServerBrittleness message."""
    return ServerBrittleness(life, news.value, int(news.heard_ago * MS_PER_S))


def decode_brittleness(encoded):
    """Convert a ServerBrittleness message to the server's hash and a Statement."""
    bearable = BRITTLENESS_RANGE.take(encoded.rejections)
    return encoded.server, Statement(bearable, _decode_age(encoded.heard_ago_ms))


def _decode_age(age_ms):
    """Return an age in seconds; a clock can't have run backwards."""
    return max(0, age_ms or 0) / MS_PER_S


def encode_tally(service, order, tally):
    """Convert a Tally to a TrialTally message."""
    empty = SideCount()
    routes = []
    for route in tally.target.keys() | tally.base.keys():
        target = tally.target.get(route, empty)
        base = tally.base.get(route, empty)
        counts = (target.answers, target.bad, base.answers, base.bad)
        routes.append(RouteTally(route, *map(_bound_sum, counts)))
    return TrialTally(
        service,
        order,
        routes,
        target_starts=_bound_sum(tally.starts.target),
        base_starts=_bound_sum(tally.starts.base),
        servers=_encode_servers(tally.target_servers),
    )


def decode_tally(encoded):
    """Convert a TrialTally message to a Tally."""
    target_starts = max(0, encoded.target_starts or 0)
    starts = StartCount(target_starts, max(0, encoded.base_starts or 0))
    tally = Tally(starts=starts)
    for latencies in encoded.latencies or ():
        kind = AnswerKind(RouteName(latencies.route), latencies.model)
        tally.target_latencies[kind] = _decode_histogram(latencies.target)
        tally.base_latencies[kind] = _decode_histogram(latencies.base)
    for counts in encoded.routes or ():
        route = RouteName(counts.route)
        tally.target[route] = _decode_count(counts.target_answers, counts.target_bad)
        tally.base[route] = _decode_count(counts.base_answers, counts.base_bad)
    for counts in encoded.servers or ():
        tally.target_servers[counts.server] = _decode_count(counts.answers, counts.bad)
    return tally


def _encode_servers(counts):
    """Return ServerTally messages of the servers that failed most; None without any."""
    failing = [item for item in counts.items() if item[1].bad]
    most = heapq.nlargest(MAX_TALLIED_SERVERS, failing, key=lambda item: item[1].bad)
    return [
        ServerTally(key, _bound_sum(count.answers), _bound_sum(count.bad))
        for key, count in most
    ] or None


def _bound_sum(count):
    """Return a sum over instances, or the largest that a message holds."""
    return min(MAX_INT32, count)


def _decode_count(answers, bad):
    return SideCount(max(0, answers), max(0, bad))


def encode_latencies(service, order, tally):
    """Convert the latencies of a Tally to TrialTally messages of bounded size.

    Returns
    -------
    list of TrialTally
    """
    empty = LatencyHistogram()
    latencies = []
    for kind in tally.target_latencies.keys() | tally.base_latencies.keys():
        target = tally.target_latencies.get(kind, empty)
        base = tally.base_latencies.get(kind, empty)
        sides = map(_encode_histogram, (target, base))
        latencies.append(LatencyTally(kind.route, kind.model, *sides))
    return [
        TrialTally(service, order, [], latencies[start : start + MAX_LATENCIES])
        for start in range(0, len(latencies), MAX_LATENCIES)
    ]


def _encode_histogram(histogram):
    return {bucket: _bound_sum(count) for bucket, count in histogram.counts.items()}


def _decode_histogram(counts):
    return LatencyHistogram(
        {
            bucket: count
            for bucket, count in (counts or {}).items()
            if 0 <= bucket <= MAX_BUCKET and count > 0
        }
    )


def encode_sides(overrides):
    """Convert side overrides to SessionSides messages.

    Parameters
    ----------
    overrides : dict of (ServiceName, int) to bool
        Whether each session, given by service and hash, is on the target release.
    """
    by_service = {}
    for (service, session), on_target in overrides.items():
        sides = by_service.setdefault(service, SessionSides(service, [], []))
        (sides.on_target if on_target else sides.on_base).append(session)
    return list(by_service.values())


def decode_sides(encoded):
    """Convert a SessionSides message to a dict of session hash to bool."""
    sides = dict.fromkeys(encoded.on_target, True)
    return sides | dict.fromkeys(encoded.on_base, False)
