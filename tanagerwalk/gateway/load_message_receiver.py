"""Merges what the load messages of other instances tell."""

import structlog

from ..decisions.relays import Role, Scope
from ..decisions.shared_demands import DemandSource
from ..decisions.shared_loads import ReportSource
from ..ids import FailureDomain, ServiceName
from .demand_messages import decode_demand
from .load_messages import (
    decode_blame,
    decode_brittleness,
    decode_cold_time,
    decode_limit,
    decode_load,
    decode_sides,
    decode_tally,
)

log = structlog.get_logger(__name__)


class LoadMessageReceiver:
    """Hands each section of a load message to whatever keeps such data.

    Parameters
    ----------
    failure_domain : FailureDomain
        Where this instance runs.
    servers : ServerPool
        Merges leaving servers, limits and brittleness.
    shared : SharedLoadTable
        Stores loads.
    relays : RelaySelection
        Learns which instances are relays of other failure domains.
    quarantine : QuarantineFilter
        Merges crash records.
    rollouts : ReleaseRolloutController
        Merges tallies.
    assigner : ReleaseAssigner
        Merges side overrides.
    demands : SharedDemandTable
        Stores the demand for contended services.
    speeds : SpeedSharing
        Stores the speeds of servers.
    relayed_sides : RelayedItems
        Stores the side overrides that relays pass on.
    relayed_cold : RelayedMaxima
        Stores the times until which servers are cold, for relays to pass on.
    """

    def __init__(
        self,
        failure_domain,
        servers,
        shared,
        relays,
        quarantine,
        rollouts,
        assigner,
        demands,
        speeds,
        relayed_sides,
        relayed_cold,
    ):
        self._failure_domain = failure_domain
        self._servers = servers
        self._shared = shared
        self._relays = relays
        self._quarantine = quarantine
        self._rollouts = rollouts
        self._assigner = assigner
        self._demands = demands
        self._speeds = speeds
        self._relayed_sides = relayed_sides
        self._relayed_cold = relayed_cold

    def receive(self, message, role, now):
        """Merge a load message.

        Parameters
        ----------
        message : LoadMessage
            The message, without notes.
        role : Role
            Role of this instance in the exchange.
        now : float
            Monotonic time in seconds.
        """
        scope = Scope(message.scope)
        if not self._shared.accepts(scope):
            return
        domain = FailureDomain(message.domain)
        is_domain_total = scope is Scope.DOMAIN
        is_own_domain = domain == self._failure_domain
        if is_domain_total and not is_own_domain:
            self._relays.record_remote_relay(message.sender, now)
        # The other relay of this domain sends the total of the same instances, which
        # this one hears itself.
        is_counted_already = is_domain_total and is_own_domain
        name = _name_source(message, scope)
        source = ReportSource(scope, name, message.part, message.parts)
        if message.speeds and not is_counted_already:
            self._speeds.receive(source, message, now)
        if message.loads is None:
            self._merge_other_sections(message, role, now)
            return
        loads = {load.server: decode_load(load) for load in message.loads}
        # An update without loads still records the sequence number.
        new_loads = {} if is_counted_already else loads
        is_newest = self._shared.update(
            source, message.sender, message.sequence, new_loads, now
        )
        if is_newest:
            self._merge_other_sections(message, role, now)

    def _merge_other_sections(self, message, role, now):
        """Merge whatever a message tells beside loads."""
        scope = Scope(message.scope)
        domain = FailureDomain(message.domain)
        self._merge_server_news(message, now)
        for encoded in message.cold or ():
            self._merge_cold_time(scope, *decode_cold_time(encoded), now)
        if scope is not Scope.DOMAIN or domain != self._failure_domain:
            self._store_demands(message, scope, now)
        records = dict(map(decode_blame, message.blames or ()))
        self._quarantine.merge_records(records, role is Role.RELAY)
        self._merge_sides(message, scope, now)
        for encoded in message.tallies or ():
            self._rollouts.record_peer_tally(
                (ServiceName(encoded.service_name), encoded.order),
                scope,
                domain,
                message.sender,
                decode_tally(encoded),
            )

    def _merge_server_news(self, message, now):
        if message.leaving:
            for server_id in self._servers.mark_leaving(message.leaving):
                log.info("server leaving", server=server_id, told_by=message.sender)
        for limit in message.limits or ():
            self._merge_limit(*decode_limit(limit), now, message.sender)
        for encoded in message.brittle or ():
            self._merge_brittleness(*decode_brittleness(encoded), now, message.sender)

    def _merge_cold_time(self, scope, life, seconds, now):
        self._relayed_cold.record(scope, life, now + seconds, now)
        usage = self._servers.find_life(life)
        # A server whose new entry is known has another life hash, and is not found
        # here.
        if usage is not None:
            self._servers.limits.cold.record_told(usage.server, seconds, now)

    def _merge_limit(self, life, news, now, sender):
        if self._servers.limits.merge(life, news, now):
            rate = news.value
            log.info("server limit", life=life, requests_per_s=rate, told_by=sender)

    def _merge_brittleness(self, life, news, now, sender):
        if self._servers.brittle.statements.merge(life, news, now):
            bearable = news.value
            log.info(
                "server brittle", life=life, bearable_per_s=bearable, told_by=sender
            )

    def _store_demands(self, message, scope, now):
        name = _name_source(message, scope)
        for encoded in message.demands or ():
            service, demand = decode_demand(encoded)
            source = DemandSource(scope, name, service)
            self._demands.update(source, message.sender, message.sequence, demand, now)

    def _merge_sides(self, message, scope, now):
        for encoded in message.sides or ():
            service = ServiceName(encoded.service_name)
            overrides = decode_sides(encoded)
            self._assigner.merge_side_overrides(service, overrides)
            for session, on_target in overrides.items():
                key = (service, session)
                self._relayed_sides.record(scope, key, on_target, now)


def _name_source(message, scope):
    """Return the instance or failure domain whose data a message holds."""
    names = {Scope.INSTANCE: message.sender, Scope.DOMAIN: message.domain}
    return names.get(scope, "")
