"""What is wrong or contradictory in a manifest, found before it is put in force."""

from dataclasses import dataclass
from enum import Enum
from itertools import chain, product

from ..manifest import Repetitions
from .allowed_regions import AllowedRegions, list_unknown_regions


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


def check_manifest(manifest, home=None, repetitions=None, servers=None):
    """Return the findings on a manifest, in the order of its entries.

    Parameters
    ----------
    manifest : Manifest
        The manifest.
    home : Home or None
        Knows the regions that exist; None if they are not known.
    repetitions : Repetitions or None
        Entries that the manifest held more than once; None for no such entries.
    servers : list of RegisteredServer or None
        The backend servers of all services; None if they or the regions are not known.

    Returns
    -------
    list of Finding
    """
    findings = []
    for route in manifest.list_routes():
        findings += _check_route(route, manifest)
    for service in manifest.services.values():
        findings += _check_service(service, manifest)
    findings += _check_accounts(manifest)
    findings += _check_regions(manifest, home)
    findings += _check_repetitions(repetitions or Repetitions())
    if home is not None and servers is not None:
        findings += _check_allowed_servers(manifest, home, servers)
    return findings


def _error(subject, message):
    return Finding(Severity.ERROR, subject, message)


def _warn(subject, message):
    return Finding(Severity.WARNING, subject, message)


def _check_route(route, manifest):
    yield from _check_match(route, manifest.routes[route.host])
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
    shares = chain.from_iterable(route.shares for route in manifest.list_routes())
    if not any(share.service == service.name for share in shares):
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
    has_closed = any(not route.public for route in manifest.list_routes())
    if manifest.needs_keys and not manifest.accounts and has_closed:
        yield _error("accounts", "no key is accepted, but routes need one")


def _check_regions(manifest, home):
    if home is not None:
        for region in list_unknown_regions(manifest, home):
            yield _error(f"region {region}", "no failure domain is in it")
    accounts = sorted(manifest.account_regions)
    for route, account in product(manifest.list_routes(), accounts):
        if manifest.find_allowed_regions(route, account) == frozenset():
            yield _warn(
                f"route {route.name}",
                f"has no allowed region in common with account {account}",
            )


def _check_repetitions(repetitions):
    for service in repetitions.services:
        yield _error(
            f"service {service}", "is there more than once, and only the last counts"
        )
    for account, owner in repetitions.overridden_accounts:
        yield _error(
            f"account {account}", f"one of its keys counts for account {owner}"
        )


def _check_allowed_servers(manifest, home, servers):
    """Yield findings on routes whose requests find no server where they may run."""
    domains = {}
    for server in servers:
        domains.setdefault(server.service, set()).add(server.failure_domain)
    for route in manifest.list_routes():
        services = [share.service for share in route.shares if share.weight > 0.0]
        for service in services:
            yield from _check_servers_of_route(
                route, service, domains.get(service, ()), manifest, home
            )


def _check_servers_of_route(route, service, domains, manifest, home):
    subject = f"route {route.name}"
    reported = set()
    for account in (None, *sorted(manifest.account_regions)):
        regions = manifest.find_allowed_regions(route, account)
        allowed = AllowedRegions(home, regions)
        if (
            not regions
            or regions in reported
            or any(map(allowed.allows_domain, domains))
        ):
            continue
        reported.add(regions)
        names = ("region " if len(regions) == 1 else "regions ") + ", ".join(
            sorted(regions)
        )
        of_account = "" if account is None else f" (account {account})"
        yield _warn(
            subject, f"no server of service {service} is in {names}{of_account}"
        )
