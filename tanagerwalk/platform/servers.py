"""Decodes entries of backend servers and roll-out orders; encodes roll-out status."""

import re
from typing import Annotated, Any

import msgspec
from expression import Error, Ok

from ..addresses import is_connectable, parse_address
from ..decisions.release_rollouts import RolloutPhase
from ..documents import decode_json
from ..ids import BackendServerId, FailureDomain, ReleaseName, ServiceName
from ..number_ranges import NumberRange
from ..registry import RegisteredServer, RolloutOrder, ServerState
from .names import (
    EVACUATION_PREFIX,
    ROLLOUT_ORDER_PREFIX,
    ROLLOUT_STATUS_PREFIX,
    SERVER_PREFIX,
    STATE_COMPLETE,
    STATE_ROLLED_BACK,
    STATE_RUNNING,
)

# Characters of a foreign text that go into a log line.
MAX_LOGGED = 80
FINAL_STATE_BY_PHASE = {
    RolloutPhase.COMPLETE: STATE_COMPLETE,
    RolloutPhase.ROLLED_BACK: STATE_ROLLED_BACK,
}
SERVER_STATE_BY_NAME = {"ready": ServerState.READY, "draining": ServerState.DRAINING}


# An id goes into the header of each request to its server, so that it must be one word.
SERVER_ID_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")
MAX_SLOTS = 1_000_000
MS_PER_S = 1000.0
# Numbers up to here are exact in JSON, and fit the messages between instances.
MAX_INTEGER = 2**53

# A day; no server needs as long.
MAX_COLD_MS = 86_400_000.0
COLD_LEFT_RANGE = NumberRange("cold time of an entry", "ms", 0.0, MAX_COLD_MS)
MAX_DURATION_S = 1e9
DURATION_RANGE = NumberRange("duration of an order", "s", 0.0, MAX_DURATION_S)

# More than any name has; an entry must not take more memory than this allows.
MAX_NAME_CHARACTERS = 200
MAX_ADDRESS_CHARACTERS = 100

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
_Address = Annotated[str, msgspec.Meta(max_length=MAX_ADDRESS_CHARACTERS)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class _Server(msgspec.Struct, frozen=True):
    service: _Name
    address: _Address
    zone: _Name
    # Version of the server's software; model weights are versioned separately.
    version: _Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: str
    # How much longer the server stays cold.
    cold_left_ms: float
    # Not used, but an entry without it is not a server's.
    sequence: _Count
    born: _Count = 0
    stage: str | None = None
    models: list[Any] | None = None


class _RolloutOrder(msgspec.Struct, frozen=True):
    service: _Name
    # Software version to roll out.
    target: _Name
    duration_s: float


def parse_server(key, data, revision):
    """Decode the store entry that a backend server registered.

    Parameters
    ----------
    key : str
        Store key.
    data : bytes
        Value of the key, JSON.
    revision : Revision
        Store revision at which it was written.

    Returns
    -------
    Result of RegisteredServer, or of str
        The error is one line for the log: other writers of the store may leave an
        entry that does not describe a server.
    """
    decoded = decode_json(data, _Server)
    if decoded.is_error():
        return Error(f"entry {key}: {decoded.error}")
    wire = decoded.ok
    state = SERVER_STATE_BY_NAME.get(wire.state)
    address = parse_address(wire.address)
    if address is None or not is_connectable(address):
        return Error(f"entry {key}: invalid address {wire.address[:MAX_LOGGED]!r}")
    if state is None:
        return Error(f"entry {key}: unknown state {wire.state[:MAX_LOGGED]!r}")
    server_id = key.removeprefix(SERVER_PREFIX)
    if SERVER_ID_PATTERN.fullmatch(server_id) is None:
        return Error(f"entry {key!r}: invalid id of a backend server")
    server = RegisteredServer(
        id=BackendServerId(server_id),
        service=ServiceName(wire.service),
        address=address,
        failure_domain=FailureDomain(wire.zone),
        release=ReleaseName(wire.version),
        slots=wire.slots,
        state=state,
        born=wire.born,
        cold_left=(COLD_LEFT_RANGE.take(wire.cold_left_ms) or 0.0) / MS_PER_S,
        revision=revision,
    )
    return Ok(server)


def decode_server(data):
    """Decode a server's entry that `parse_server` accepts, to encode it anew.

    Fields that the gateway doesn't use are left out.
    """
    return msgspec.structs.replace(
        msgspec.json.decode(data, type=_Server), stage=None, models=None
    )


def decode_order(data):
    """Decode a roll-out order that `parse_rollout_order` accepts, to encode it anew."""
    return msgspec.json.decode(data, type=_RolloutOrder)


def parse_rollout_order(key, data, revision):
    """Decode an operator's order to roll out a release.

    Parameters
    ----------
    key : str
        Store key.
    data : bytes
        Value of the key, JSON.
    revision : int
        Store revision at which it was written.

    Returns
    -------
    Result of RolloutOrder, or of str
        The error is one line for the log.
    """
    decoded = decode_json(data, _RolloutOrder)
    if decoded.is_error():
        return Error(f"roll-out order {key}: {decoded.error}")
    wire = decoded.ok
    service = key.removeprefix(ROLLOUT_ORDER_PREFIX)
    if wire.service != service:
        return Error(
            f"roll-out order {key}: is for service {wire.service[:MAX_LOGGED]!r}"
        )
    duration = DURATION_RANGE.take(wire.duration_s)
    if duration is None:
        return Error(f"roll-out order {key}: no duration from 0 to {MAX_DURATION_S} s")
    order = RolloutOrder(
        ServiceName(service), ReleaseName(wire.target), duration, revision
    )
    return Ok(order)


def parse_evacuation(key, data, revision):
    """Decode an operator's request to evacuate a failure domain.

    Parameters
    ----------
    key : str
        Store key, which names the failure domain.
    data : bytes
        Value of the key; not used, as the key says everything.
    revision : int
        Store revision at which it was written; not used.

    Returns
    -------
    Result of FailureDomain, or of str
        The error is one line for the log.
    """
    del data, revision
    name = key.removeprefix(EVACUATION_PREFIX)
    if not name:
        return Error(f"evacuation {key!r}: names no failure domain")
    return Ok(FailureDomain(name))


def encode_rollout_status(service, target, phase):
    """Return the store key and value that report a roll-out's status to operators.

    Parameters
    ----------
    service : ServiceName
        The service.
    target : ReleaseName
        Release that is rolled out.
    phase : RolloutPhase
        Current phase; every phase but the final ones is reported as running.

    Returns
    -------
    tuple of (str, bytes)
    """
    state = FINAL_STATE_BY_PHASE.get(phase, STATE_RUNNING)
    status = {"service": service, "target": target, "state": state}
    return ROLLOUT_STATUS_PREFIX + service, msgspec.json.encode(status)
