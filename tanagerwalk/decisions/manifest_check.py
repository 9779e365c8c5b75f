"""What is wrong or contradictory in a manifest, found before it is put in force."""

from dataclasses import dataclass
from enum import Enum
from itertools import product

from .allowed_regions import list_unknown_regions


class Severity(Enum):
    """How bad a finding is.

    ERROR: requests are refused, or never match. WARNING: probably not what was meant.
    """

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that is wrong with a manifest.

    Parameters
    ----------
    severity : Severity
        How bad it is.
    subject : str
        The entry, such as `route plans`.
    message : str
        What is wrong with it.
    """

    severity: Severity
    subject: str
    message: str

    def __str__(self):
        return f"{self.severity.value}: {self.subject}: {self.message}"


def check_manifest(manifest, home=None):
    """Return the findings on a manifest, in the order of its entries.

    Parameters
    ----------
    manifest : Manifest
        The manifest.
    home : Home or None
        Knows the regions that exist; None if they are not known.

    Returns
    -------
    list of Finding
    """
    findings = []
    for routes in manifest.routes.values():
        for route in routes:
            findings += _check_route(route, routes, manifest)
    for service in manifest.services.values():
        findings += _check_service(service, manifest)
    findings += _check_accounts(manifest)
    findings += _check_regions(manifest, home)
    return findings


def _error(subject, message):
    return Finding(Severity.ERROR, subject, message)


def _warn(subject, message):
    return Finding(Severity.WARNING, subject, message)


def _check_route(route, routes_of_host, manifest):
    yield from _check_match(route, routes_of_host)
    yield from _check_shares(route, manifest.services)
    yield from _check_times(route)


def _check_match(route, routes_of_host):
    subject = f"route {route.name}"
    first = next(r for r in routes_of_host if r.prefix == route.prefix)
    if first is not route:
        yield _error(
            subject, f"never matches, since route {first.name} has the same prefix"
        )
    if route.prefix and not route.prefix.startswith("/"):
        yield _error(
            subject, f"never matches, since no path begins with {route.prefix}"
        )


def _check_shares(route, services):
    subject = f"route {route.name}"
    weights = [share.weight for share in route.shares]
    if min(weights) < 0.0 or sum(weights) <= 0.0:
        yield _error(subject, "the weights of its services leave none to choose")
    for share in route.shares:
        service = services.get(share.service)
        if service is None:
            yield _error(subject, f"service {share.service} is not in the manifest")
            continue
        if share.weight == 0.0:
            yield _warn(subject, f"service {share.service} gets none of its requests")
        offered = {offer.name for offer in service.models}
        for model in route.models:
            if model not in offered:
                yield _error(subject, f"service {share.service} has no model {model}")


def _check_times(route):
    subject = f"route {route.name}"
    if route.timeout <= 0.0:
        yield _error(subject, "its timeout leaves no time for any request")
    if route.objective > route.timeout:
        yield _warn(subject, "its latency objective is longer than its timeout")
    if route.gap_objective > route.timeout:
        yield _warn(subject, "its objective for pauses is longer than its timeout")


def _check_service(service, manifest):
    subject = f"service {service.name}"
    routes = (route for routes in manifest.routes.values() for route in routes)
    if not any(
        share.service == service.name for route in routes for share in route.shares
    ):
        yield _warn(subject, "no route leads to it")
    if service.max_connections < 1:
        yield _error(subject, "its servers accept no connection")
    if service.cold_start > 0.0 and service.cold_rate <= 0.0:
        yield _warn(subject, "its cold servers bear no request, so they never warm up")
    if service.cold_rate > 0.0 and service.cold_start <= 0.0:
        yield _warn(subject, "has a rate for cold servers, but they never are cold")


def _check_accounts(manifest):
    names = {*manifest.account_priorities, *manifest.account_regions}
    for name in sorted(names - set(manifest.accounts.values())):
        yield _warn(f"account {name}", "never matches, since it has no key")
    closed = [
        route.name
        for routes in manifest.routes.values()
        for route in routes
        if not route.public
    ]
    if manifest.needs_keys and not manifest.accounts and closed:
        yield _error("accounts", "no key is accepted, but routes need one")


def _check_regions(manifest, home):
    if home is not None:
        for region in list_unknown_regions(manifest, home):
            yield _error(f"region {region}", "no failure domain is in it")
    for routes in manifest.routes.values():
        for route, account in product(routes, sorted(manifest.account_regions)):
            if manifest.find_allowed_regions(route, account) == frozenset():
                yield _warn(
                    f"route {route.name}",
                    f"has no allowed region in common with account {account}",
                )
