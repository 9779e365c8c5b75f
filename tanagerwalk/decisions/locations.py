"""Location of a gateway instance, and what distance to a server costs."""

from dataclasses import dataclass, field
from enum import Enum

from ..ids import FailureDomain, Region

# In units of load.
REMOTE_DOMAIN_COST = 0.02
REMOTE_REGION_COST = 0.15


class Distance(Enum):
    """How far a backend server is from this instance."""

    SAME_DOMAIN = "same_domain"
    SAME_REGION = "same_region"
    OTHER_REGION = "other_region"


@dataclass(frozen=True, slots=True)
class Home:
    """Location of this instance, and the region of each failure domain.

    `prefers_own_domain` states whether requests stay in the failure domain while its
    servers have room, if its region has others.
    """

    failure_domain: FailureDomain
    region: Region
    regions: dict[FailureDomain, Region] = field(default_factory=dict)
    prefers_own_domain: bool = True

    @property
    def prefers_local(self):
        """Whether requests stay in this failure domain while its servers have room."""
        return self.prefers_own_domain and self._has_other_domains

    @property
    def _has_other_domains(self):
        """Whether the region of this instance has other failure domains."""
        return any(
            region == self.region and domain != self.failure_domain
            for domain, region in self.regions.items()
        )

    def is_same_region(self, failure_domain):
        """Return whether a failure domain is in the region of this instance."""
        return self.regions.get(failure_domain) == self.region

    def find_distance(self, failure_domain):
        """Return the Distance to a failure domain."""
        if failure_domain == self.failure_domain:
            return Distance.SAME_DOMAIN
        if self.is_same_region(failure_domain):
            return Distance.SAME_REGION
        return Distance.OTHER_REGION

    def estimate_distance_cost(self, failure_domain):
        """Return the cost of sending to a failure domain, in units of load."""
        if failure_domain == self.failure_domain:
            return 0.0
        if self.is_same_region(failure_domain):
            return REMOTE_DOMAIN_COST
        return REMOTE_REGION_COST
