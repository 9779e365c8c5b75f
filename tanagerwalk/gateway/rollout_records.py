"""Encoding of a roll-out's state as a value in the store."""

import msgspec
from expression import Error, Ok

from ..decisions.release_rollouts import RolloutPhase, RolloutState
from ..documents import decode_json
from ..ids import ReleaseName

MS_PER_S = 1000.0
# Characters of a foreign text that go into a log line.
MAX_LOGGED = 80
PHASE_BY_NAME = {phase.value: phase for phase in RolloutPhase}


class _RolloutRecord(msgspec.Struct, frozen=True):
    target: str
    order: int
    phase: str
    elapsed_ms: int


def encode_state(state):
    """Encode a RolloutState."""
    elapsed_ms = int(state.elapsed * MS_PER_S)
    record = _RolloutRecord(state.target, state.order, state.phase.value, elapsed_ms)
    return msgspec.json.encode(record)


def decode_state(service, value):
    """Decode the RolloutState of a service.

    Parameters
    ----------
    service : ServiceName
        The service.
    value : bytes
        Output of `encode_state`.

    Returns
    -------
    Result of RolloutState, or of str
        The error is one line for the log.
    """
    decoded = decode_json(value, _RolloutRecord)
    if decoded.is_error():
        return decoded
    record = decoded.ok
    phase = PHASE_BY_NAME.get(record.phase)
    if phase is None:
        return Error(f"unknown phase {record.phase[:MAX_LOGGED]!r}")
    elapsed = record.elapsed_ms / MS_PER_S
    target = ReleaseName(record.target)
    return Ok(RolloutState(service, target, record.order, phase, elapsed))
