"""Manifest of the soak: accounts, regions, and services with cold servers."""

import json

from tanagerwalk.standins.gateway_cluster import build_manifest

API_KEYS = ("key-that-stays", "key-that-goes", "key-of-annex")
FLOODING_KEY = "key-of-press"
ACCOUNTS_BY_KEY = {
    "key-that-stays": "archive",
    "key-that-goes": "archive",
    "key-of-annex": "annex",
    FLOODING_KEY: "press",
}
# The account that floods comes before all others.
ACCOUNT_PRIORITIES = {"archive": 5, "annex": 9, "press": 1}
# Regions by route; other routes may use all.
ALLOWED_REGIONS = {"bookings": ("a",)}
# What clients may send, enough of which fills the memory of a process.
CLIENT_LIMITS = {"max_header_bytes": 4096, "max_body_bytes": 1_000_000}
COLD_START_S = 2.0
COLD_RATE_PER_S = 8.0
# By the default values of cold_overrun and cold_slack.
MAX_COLD_PER_S = 1.5 * COLD_RATE_PER_S + 5.0


def encode_manifest(version, is_revoked):
    """Return the manifest for the store.

    Parameters
    ----------
    version : int
        Version of the manifest.
    is_revoked : bool
        Whether the second key is missing.
    """
    usual = json.loads(build_manifest())
    routes, services = usual["routes"], usual["services"]
    for route in routes:
        route["allowed_regions"] = ALLOWED_REGIONS.get(route["name"], ())
    for service in services:
        service["cold_start_s"] = COLD_START_S
        service["cold_per_s"] = COLD_RATE_PER_S
    return build_manifest(
        version,
        tenants=_list_accounts(is_revoked),
        routes=routes,
        services=services,
        limits=CLIENT_LIMITS,
    )


def _list_accounts(is_revoked):
    keys = [k for k in ACCOUNTS_BY_KEY if not is_revoked or k != API_KEYS[1]]
    return [
        {
            "name": account,
            "api_keys": [k for k in keys if ACCOUNTS_BY_KEY[k] == account],
            "priority": priority,
        }
        for account, priority in ACCOUNT_PRIORITIES.items()
    ]
