"""Assembly of the filter chain of an entry instance."""

from .clients.attempts import is_connection_refused
from .decisions.hedges import HedgeDelays
from .decisions.retries import RetryBudget
from .filters.admission import AdmissionFilter
from .filters.authentication import AuthenticationFilter
from .filters.billing import BillingFilter
from .filters.cascade import CascadeRunner
from .filters.chain import link_filters
from .filters.count import CountFilter
from .filters.demand import DemandFilter
from .filters.dispatch import DispatchFilter
from .filters.failure_recorder import FailureRecorder
from .filters.guard import DispatchGuardFilter
from .filters.hedge import HedgeFilter
from .filters.part_blames import PartBlames
from .filters.plan import PlanFilter
from .filters.quarantine import QuarantineFilter, QuarantineGuardFilter
from .filters.retry import RetryFilter
from .filters.session import SessionFilter, SessionStarter
from .filters.submission import SubmissionFilter


def build_chain(instance):
    """Return the Handler that passes a request through all filters in order.

    Parameters
    ----------
    instance : EntryInstance
        The instance, fully wired except for the callers and admin APIs.
    """
    settings = instance.settings
    records = instance.records
    starter = SessionStarter(
        records.tokens, records.pins, instance.configuration, instance.wall_clock
    )
    retries = settings.retries
    budget = RetryBudget(retries.budget_ratio, retries.budget_burst)
    failures = FailureRecorder(instance.table, instance.clock)
    hedge_budget = RetryBudget(retries.hedge_ratio, retries.hedge_burst)
    runner = CascadeRunner(
        instance.configuration,
        instance.rollouts,
        instance.durations,
        settings.rollouts.rating_cost,
        instance.metrics,
        instance.clock,
    )
    return link_filters(
        [
            CountFilter(instance.metrics, instance.clock),
            SubmissionFilter(),
            AuthenticationFilter(instance.configuration),
            SessionFilter(records.tokens, records.pins, instance.wall_clock),
            records.claims,
            BillingFilter(records.billing),
            PlanFilter(
                instance.configuration,
                instance.rollouts,
                starter,
                instance.plan_inputs.collect_inputs,
                runner,
                instance.metrics,
                instance.clock,
            ),
            DemandFilter(instance.demand, instance.durations, instance.clock),
            RetryFilter(
                retries,
                budget,
                instance.table,
                failures,
                instance.metrics,
                instance.clock,
                instance.random,
            ),
            HedgeFilter(
                HedgeDelays(),
                hedge_budget,
                instance.metrics,
                instance.clock,
                failures.record,
            ),
            QuarantineFilter(
                instance.quarantine,
                PartBlames(
                    instance.part_quarantine,
                    instance.facts,
                    settings.quarantine.lifetime,
                    instance.is_first_in_line,
                    instance.clock,
                ),
                instance.facts,
                instance.table,
                settings.quarantine,
                instance.exchange.broadcast,
                is_connection_refused,
                instance.metrics,
                instance.clock,
            ),
            AdmissionFilter(
                instance.gate,
                instance.durations,
                instance.table,
                instance.plan_inputs.is_long,
                instance.clock,
            ),
            QuarantineGuardFilter(instance.quarantine, instance.clock),
            DispatchGuardFilter(
                instance.configuration,
                instance.rollouts,
                instance.table,
                instance.clock,
            ),
            DispatchFilter(
                instance.external.engines, instance.external.services, instance.clock
            ),
        ]
    )
