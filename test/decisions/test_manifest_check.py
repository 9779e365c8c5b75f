"""Findings on manifests, and differences between two of them."""

import json
from types import SimpleNamespace

import pytest

from tanagerwalk.decisions.locations import Home
from tanagerwalk.decisions.manifest_check import Severity, check_manifest
from tanagerwalk.decisions.manifest_differences import list_differences
from tanagerwalk.platform.manifests import parse_manifest
from tanagerwalk.standins.gateway_cluster import API_KEY, build_manifest

HOME = Home("a-1", "a", {"a-1": "a", "b-1": "b"})


def parse(edit=None, version=1):
    manifest = json.loads(build_manifest(version))
    if edit is not None:
        edit(manifest)
    return parse_manifest(json.dumps(manifest).encode(), 1).ok


def edit_route(**changes):
    return lambda manifest: manifest["routes"][2].update(changes)


def edit_service(**changes):
    return lambda manifest: manifest["services"][1].update(changes)


def edit_account(**changes):
    return lambda manifest: manifest["tenants"][0].update(changes)


def test_sound_manifest_has_no_findings():
    assert check_manifest(parse(), HOME) == []


@pytest.mark.parametrize(
    ("edit", "severity", "text"),
    [
        (edit_route(prefix="/open/"), "error", "route open: never matches, since"),
        (edit_route(prefix="jobs"), "error", "no path begins with jobs"),
        (edit_route(service="gone"), "error", "service gone is not in the manifest"),
        (edit_route(sizes=["x"]), "error", "service desk has no model x"),
        (edit_route(timeout_ms=0, slo_ms=0), "error", "leaves no time"),
        (
            edit_route(split=[{"service": "desk", "weight": 0}]),
            "error",
            "leave none to choose",
        ),
        (
            edit_route(split=[{"service": "desk"}, {"service": "drafts", "weight": 0}]),
            "warning",
            "service drafts gets none",
        ),
        (edit_route(slo_ms=6000), "warning", "objective is longer than its timeout"),
        (edit_route(target_gap_ms=6000), "warning", "pauses is longer"),
        (edit_route(allowed_regions=["a", "x"]), "error", "region x: no failure"),
        (edit_service(max_conns=0), "error", "accept no connection"),
        (edit_service(cold_start_s=8), "warning", "never warm up"),
        (edit_service(cold_per_s=8), "warning", "they never are cold"),
        (edit_account(api_keys=[]), "error", "no key is accepted"),
        (edit_account(api_keys=[]), "warning", "archive: never matches"),
        (
            lambda m: m["services"].append({"name": "spare"}),
            "warning",
            "service spare: no route",
        ),
    ],
)
def test_each_finding_names_its_entry(edit, severity, text):
    findings = check_manifest(parse(edit), HOME)
    found = [f for f in findings if f.severity is Severity(severity)]
    assert any(text in str(finding) for finding in found), findings


def test_route_and_account_without_a_common_region_are_told():
    def edit(manifest):
        edit_route(allowed_regions=["a"])(manifest)
        edit_account(allowed_regions=["b"])(manifest)

    (finding,) = check_manifest(parse(edit), HOME)
    assert str(finding) == (
        "warning: route jobs: has no allowed region in common with account archive"
    )


@pytest.mark.parametrize(
    ("of_route", "of_account", "domains", "expected"),
    [
        (["a"], [], ["b-1"], "no server of service desk is in region a"),
        (["a"], [], ["b-1", "a-1"], None),
        (["b", "a"], [], ["x-1"], "no server of service desk is in regions a, b"),
        (
            ["a", "b"],
            ["b"],
            ["a-1"],
            "no server of service desk is in region b (account archive)",
        ),
        # The account adds nothing to what is wrong with the route alone.
        (["a"], ["a"], ["b-1"], "no server of service desk is in region a"),
        # Without any common region, servers make no difference.
        (
            ["a"],
            ["b"],
            ["a-1"],
            "has no allowed region in common with account archive",
        ),
    ],
)
def test_allowed_regions_without_servers_are_told(
    of_route, of_account, domains, expected
):
    def edit(manifest):
        manifest["routes"] = manifest["routes"][2:3]
        del manifest["services"][0]
        edit_account(allowed_regions=of_account)(manifest)
        manifest["routes"][0]["allowed_regions"] = of_route

    servers = [
        SimpleNamespace(service="desk", failure_domain=domain) for domain in domains
    ]
    findings = check_manifest(parse(edit), HOME, servers=servers)
    wanted = [] if expected is None else [f"warning: route jobs: {expected}"]
    assert list(map(str, findings)) == wanted


def test_regions_are_not_checked_if_none_are_known():
    assert check_manifest(parse(edit_route(allowed_regions=["x"]))) == []


def test_differences_name_entries_and_fields_but_no_keys():
    def edit(manifest):
        del manifest["routes"][3]
        edit_route(allowed_regions=["b"], slo_ms=2000)(manifest)
        edit_account(api_keys=["another-key"], priority=2)(manifest)
        manifest["services"].append({"name": "spare"})
        manifest["limits"]["max_body_bytes"] = 5

    lines = list_differences(parse(), parse(edit, version=2))
    assert lines == [
        "route jobs changed: objective 1.0 -> 2.0, allowed_regions [] -> [b]",
        "route open removed",
        "service spare added",
        "account archive changed: keys +1 -1, priority 1 -> 2",
        "limits of requests changed: body_size 65536 -> 5",
    ]
    assert API_KEY not in str(lines)


def test_same_manifest_differs_in_nothing_but_must_have_a_higher_version():
    assert list_differences(parse(), parse(version=2)) == []
    assert list_differences(parse(), parse()) == ["version 1 is not above 1"]
