"""Assignment of requests to releases beside instances of an earlier version."""

import random
from types import SimpleNamespace

import pytest
from virtual_time import run_in_virtual_time

from tanagerwalk.decisions.peers import Peer
from tanagerwalk.decisions.release_choice import SideReason, hash_session
from tanagerwalk.decisions.release_rollouts import RolloutPhase, RolloutState
from tanagerwalk.decisions.tallies import StartCount
from tanagerwalk.gateway.release_assignment import ReleaseAssigner
from tanagerwalk.gateway.settings import Bounds
from tanagerwalk.registry import RolloutOrder

ORDER = RolloutOrder("drafts", "v2", 20.0, 7)
BASE = SimpleNamespace(release="v1")


class Instance:
    """An instance that is an owner of all sessions, as it has no peers that own any."""

    def __init__(self, phase=RolloutPhase.CANARY, peers=()):
        self.now = 0.0
        self.phase = phase
        self.sent = []
        self.subscribers = []
        self.cluster_state = SimpleNamespace(
            orders={}, subscribe=self.subscribers.append
        )
        rollouts = SimpleNamespace(
            get_state=lambda order: RolloutState("drafts", "v2", 7, self.phase),
            count_starts=lambda order: StartCount(0, 10_000),
            find_progress=lambda order, now: 0.2,
            record_start=lambda order, is_target: None,
        )
        servers = SimpleNamespace(
            has_server=lambda service, is_allowed: True,
            estimate_wait=lambda service, now, is_allowed: 0.0,
            find_hold=lambda service, now, is_allowed: 0.0,
            list_releases=lambda service: {"v1"},
        )
        self.assigner = ReleaseAssigner(
            "own",
            self.cluster_state,
            rollouts,
            servers,
            SimpleNamespace(age=0.1),
            Bounds(canary_share=0.15, canary_slack=30.0),
            lambda: self.now,
            random.Random(1),
        )
        self.assigner.send_notes = lambda receiver, notes: self.sent.append(receiver)
        self.assigner.set_peers(dict(peers))

    def give_order(self):
        self.cluster_state.orders = {"drafts": ORDER}
        for subscriber in self.subscribers:
            subscriber()

    def serve(self, session, release=None):
        """Serve a request and return whether it may use the target, and why."""

        async def run():
            request = SimpleNamespace(
                session=session, id=b"request", deadline=self.now + 10.0
            )
            assignment = await self.assigner.assign(request, "drafts")
            choice = assignment.choice
            is_target = choice is not None and choice.is_target
            if assignment.allows_server(BASE):
                assert not is_target
            served = release or ("v2" if is_target else "v1")
            self.assigner.end(assignment, served)
            return is_target, choice and choice.reason

        return run_in_virtual_time(run())


EARLIER = {"other": Peer(("127.0.0.1", 1), "a-1")}


def find_session(instance, is_target):
    """Return a new session that the instance sends to the target, or to the base."""
    names = (b"s%d" % n for n in range(2000))
    return next(name for name in names if instance.serve(name)[0] is is_target)


def start_canary(peers=()):
    instance = Instance(peers=peers)
    instance.now = 100.0
    instance.give_order()
    instance.now = 102.0
    # The servers of the target become known with the first request.
    instance.serve(b"first")
    instance.now = 104.0
    return instance


# Guards against PINNED while machines are replaced: an instance of an earlier version
# asks no owners and has to be told of sessions that are on the target.
def test_earlier_version_is_told_of_sessions_on_the_target():
    instance = start_canary(EARLIER)
    session = find_session(instance, True)
    sides = instance.assigner.list_side_overrides()
    assert sides["drafts"][hash_session("drafts", session)] is True


def test_fleet_of_one_version_is_told_no_sides():
    instance = start_canary()
    find_session(instance, True)
    assert instance.assigner.list_side_overrides() == {}


def test_session_that_an_earlier_version_put_on_the_target_stays_there():
    instance = start_canary(EARLIER)
    key = hash_session("drafts", b"far")
    instance.assigner.merge_side_overrides("drafts", {key: True})
    assert instance.serve(b"far") == (True, SideReason.TOLD)


def test_earlier_version_is_asked_nothing():
    instance = start_canary(EARLIER)
    find_session(instance, True)
    assert instance.sent == []


@pytest.mark.parametrize("phase", [RolloutPhase.CANARY, RolloutPhase.RAMP])
def test_session_that_had_to_use_a_server_of_the_target_stays_there(phase):
    """No server of the base took the request, so it went to one of the target."""
    instance = start_canary()
    session = find_session(instance, False)
    instance.phase = phase
    instance.serve(session, release="v2")
    assert instance.serve(session)[0]


def test_session_is_on_the_base_of_the_next_order():
    instance = start_canary()
    session = find_session(instance, True)
    instance.cluster_state.orders = {}
    instance.give_order()
    assert instance.serve(session)[0]
    newer = RolloutOrder("drafts", "v3", 20.0, 8)
    instance.cluster_state.orders = {"drafts": newer}
    for subscriber in instance.subscribers:
        subscriber()
    instance.now += 3.0
    assert not instance.serve(session)[0]
