"""Requests with allowed regions under mixed load, cuts and changes of the manifest."""

import asyncio

import pytest
from region_fleet import HOST, LATENCY_S, RegionFleet, play

from tanagerwalk.decisions.paths import PathState
from tanagerwalk.gateway.connector import CONNECT_TIMEOUT_S
from tanagerwalk.gateway.request_regions import MAX_CONNECTING_S
from tanagerwalk.manifest import Manifest, Repeatability, Route, SplitShare

REQUESTS = 800
RATE = 160.0
ACCOUNT_REGIONS = {"north": ["a"], "south": ["b", "c"]}
ROUTE_REGIONS = {"plans": ["a", "b"], "jobs": ["c"], "open": []}
KINDS = [
    (route, account)
    for route in ROUTE_REGIONS
    for account in (*ACCOUNT_REGIONS, "any", None)
]


def build_manifest(of_routes=ROUTE_REGIONS, of_accounts=ACCOUNT_REGIONS):
    routes = tuple(
        Route(
            name,
            HOST,
            f"/{name}/",
            Repeatability.IDEMPOTENT,
            4.0,
            1.0,
            0,
            (SplitShare("desk", 1.0),),
            4,
            allowed_regions=frozenset(regions),
        )
        for name, regions in of_routes.items()
    )
    return Manifest(
        1,
        {HOST: routes},
        {},
        {},
        True,
        account_regions={name: frozenset(r) for name, r in of_accounts.items()},
    )


def cut(fleet, *pairs):
    return lambda: fleet.cut.update(pairs)


def change(fleet, **changes):
    return lambda: setattr(fleet, "manifest", build_manifest(**changes))


# Guards against HOME: requests that leave their regions under load, retries, cuts of
# whole regions and other manifests, with permits and without.
@pytest.mark.parametrize("is_brittle", [False, True], ids=["free", "permits"])
@pytest.mark.parametrize("seed", [1, 2])
def test_no_request_leaves_its_regions(seed, is_brittle):
    async def build():
        fleet = RegionFleet(build_manifest(), seed, is_brittle)
        narrowed = ROUTE_REGIONS | {"open": ["b"], "plans": ["a"]}
        events = [
            (0.5, cut(fleet, *(("a-1", domain) for domain in ("b-1", "c-1", "c-2")))),
            (1.0, cut(fleet, ("a", "b"))),
            (1.5, change(fleet, of_routes=narrowed)),
            (2.5, change(fleet, of_routes={"jobs": []}, of_accounts={})),
            (3.0, change(fleet)),
            (3.5, cut(fleet, ("a", "c"))),
            (4.0, fleet.cut.clear),
        ]
        await fleet.play(REQUESTS, RATE, KINDS, events)
        return fleet

    fleet = play(build)
    assert fleet.outside == []
    assert fleet.attempts > 0.7 * REQUESTS
    assert fleet.tunnels > 10
    # Plans of the south are for b only; those of the north have no server for jobs.
    assert fleet.ends["no_allowed_region"] > 0
    assert fleet.ends["allowed_regions_unreachable"] > 0
    refusals = fleet.ends.total() - fleet.ends[None]
    assert refusals < 0.4 * REQUESTS, fleet.ends


# Guards against unrestricted requests that suffer from those that find no path.
def test_unrestricted_requests_pass_a_cut_that_stops_others():
    async def build():
        fleet = RegionFleet(build_manifest({"jobs": ["b"], "open": []}, {}), 3)
        fleet.cut.add(("a", "b"))
        await fleet.play(REQUESTS, RATE, [("jobs", None), ("open", None)])
        return fleet

    fleet = play(build)
    assert fleet.outside == []
    # The instances of region a are a third, and half of the requests are restricted.
    assert fleet.ends["allowed_regions_unreachable"] < 0.2 * REQUESTS
    assert fleet.ends[None] > 0.8 * REQUESTS
    assert fleet.ends["deadline_exceeded"] == 0


# Guards against a late refusal: a request that tries each server in vain in turn, of
# which the last one is in reach of nobody either.
def test_request_to_a_region_that_has_just_been_cut_off_is_refused_soon():
    async def build():
        fleet = RegionFleet(build_manifest({"jobs": ["b"]}, {}), 1)
        fleet.cut.add(("a", "b"))
        reason = await fleet.instances["at-a-1"].send("jobs", None)
        fleet.ends[reason] += 1
        assert asyncio.get_running_loop().time() < MAX_CONNECTING_S + CONNECT_TIMEOUT_S
        return fleet

    assert play(build).ends == {"allowed_regions_unreachable": 1}


# The same for servers that only instances elsewhere reach.
def test_request_without_an_allowed_path_is_refused_after_one_attempt():
    async def build():
        fleet = RegionFleet(build_manifest({"jobs": ["b"]}, {}), 1)
        fleet.cut.add(("a", "b"))
        instance = fleet.instances["at-a-1"]
        for server in fleet.servers:
            instance.paths.record_lost(server.id, PathState.INDIRECT, 0.0)
        reason = await instance.send("jobs", None)
        fleet.ends[reason] += 1
        assert asyncio.get_running_loop().time() <= CONNECT_TIMEOUT_S + LATENCY_S
        return fleet

    assert play(build).ends == {"allowed_regions_unreachable": 1}
