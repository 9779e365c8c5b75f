"""Decodes what backend servers register of themselves, and roll-out orders."""

import msgspec
from expression import Error, Ok

from ..decisions.release_rollouts import RolloutPhase
from ..ids import BackendServerId, FailureDomain, ReleaseName, ServiceName
from ..registry import RegisteredServer, RolloutOrder, ServerState
from .addresses import split_address
from .names import (
    ROLLOUT_ORDER_PREFIX,
    ROLLOUT_STATUS_PREFIX,
    SERVER_PREFIX,
    STATE_COMPLETE,
    STATE_ROLLED_BACK,
    STATE_RUNNING,
)

FINAL_STATES = {
    RolloutPhase.COMPLETE: STATE_COMPLETE,
    RolloutPhase.ROLLED_BACK: STATE_ROLLED_BACK,
}
STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING}


class _Server(msgspec.Struct, frozen=True):
    service: str
    address: str
    zone: str
    # Of the server's software; the model's weights have versions of their own.
    version: str
    slots: int
    state: str
    born: int = 0


class _Order(msgspec.Struct, frozen=True):
    service: str
    # The software version to move to.
    target: str
    duration_s: float


_SERVER_DECODER = msgspec.json.Decoder(_Server)
_ORDER_DECODER = msgspec.json.Decoder(_Order)


def parse_server(key, data):
    """Decode one server's entry.

    Parameters
    ----------
    key : str
        Its key in the store.
    data : bytes
        Its value.

    Returns
    -------
    Result of RegisteredServer, or of str
        The error if another writer left something that names no server.
    """
    try:
        wire = _SERVER_DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Error(f"entry {key}: {error}")
    state = STATES.get(wire.state)
    address = split_address(wire.address)
    if state is None or address is None or wire.slots < 1 or not wire.service:
        return Error(f"entry {key}: not a server (state {wire.state!r})")
    server = RegisteredServer(
        id=BackendServerId(key.removeprefix(SERVER_PREFIX)),
        service=ServiceName(wire.service),
        address=address,
        failure_domain=FailureDomain(wire.zone),
        release=ReleaseName(wire.version),
        slots=wire.slots,
        state=state,
        born=wire.born,
    )
    return Ok(server)


def parse_rollout_order(key, data, revision):
    """Decode an order to roll a release out.

    Parameters
    ----------
    key : str
        Its key in the store.
    data : bytes
        Its value.
    revision : int
        The store's revision of it.

    Returns
    -------
    Result of RolloutOrder, or of str
    """
    try:
        wire = _ORDER_DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Error(f"roll-out order {key}: {error}")
    service = key.removeprefix(ROLLOUT_ORDER_PREFIX)
    if wire.service != service:
        return Error(f"roll-out order {key} names service {wire.service!r}")
    order = RolloutOrder(
        ServiceName(service), ReleaseName(wire.target), wire.duration_s, revision
    )
    return Ok(order)


def encode_rollout_status(service, target, phase):
    """Return key and value that tell the operators how a roll-out stands.

    Parameters
    ----------
    service : ServiceName
        The service.
    target : ReleaseName
        The release that it moves to.
    phase : RolloutPhase
        Where the roll-out stands.

    Returns
    -------
    tuple of (str, bytes)
    """
    state = FINAL_STATES.get(phase, STATE_RUNNING)
    status = {"service": service, "target": target, "state": state}
    return ROLLOUT_STATUS_PREFIX + service, msgspec.json.encode(status)
