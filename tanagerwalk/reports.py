"""Fleet report, summed over the metrics pages of entry instances."""

from collections import Counter
from dataclasses import dataclass, field

from prometheus_client.parser import text_string_to_metric_families

from .ids import ClassName

REQUESTS_METRIC = "tanagerwalk_requests_total"
LATE_METRIC = "tanagerwalk_late_total"
COST_METRIC = "tanagerwalk_cost_total"
REFUSALS_METRIC = "tanagerwalk_refusals_total"
RETRIES_METRIC = "tanagerwalk_retries_total"


@dataclass(slots=True)
class ClassReport:
    """Totals of one class of work.

    Parameters
    ----------
    answered, late : float
        Number of answers, and of those past the class's lateness target.
    cost : float
        Total cost of the answers.
    """

    answered: float = 0.0
    late: float = 0.0
    cost: float = 0.0

    @property
    def late_share(self):
        """Fraction of the answers that were late, 0 to 1."""
        return self.late / self.answered if self.answered else 0.0

    @property
    def mean_cost(self):
        """Mean cost per answer."""
        return self.cost / self.answered if self.answered else 0.0


@dataclass(slots=True)
class FleetReport:
    """Totals of the fleet since its instances started.

    Parameters
    ----------
    classes : dict of ClassName to ClassReport
        Totals by class of work.
    refusals, retries : Counter of str
        Counts by reason; only reasons that occurred.
    """

    classes: dict[ClassName, ClassReport] = field(default_factory=dict)
    refusals: Counter = field(default_factory=Counter)
    retries: Counter = field(default_factory=Counter)

    def add(self, page):
        """Add the metrics page of one instance.

        Parameters
        ----------
        page : str
            Metrics in the Prometheus text format.

        Raises
        ------
        ValueError
            If the page is malformed.
        """
        for family in text_string_to_metric_families(page):
            for sample in family.samples:
                self._add_sample(sample)

    def _add_sample(self, sample):
        if sample.name == REFUSALS_METRIC and sample.value:
            self.refusals[sample.labels["reason"]] += sample.value
        elif sample.name == RETRIES_METRIC and sample.value:
            self.retries[sample.labels["reason"]] += sample.value
        elif sample.name == REQUESTS_METRIC:
            self._get_class(sample).answered += sample.value
        elif sample.name == LATE_METRIC:
            self._get_class(sample).late += sample.value
        elif sample.name == COST_METRIC:
            self._get_class(sample).cost += sample.value

    def _get_class(self, sample):
        name = ClassName(sample.labels["work_class"])
        return self.classes.setdefault(name, ClassReport())
