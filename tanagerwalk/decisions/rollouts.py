"""Roll-outs: exposure of candidates, evidence from ratings, and halts."""

from dataclasses import dataclass, field

from ..ids import ClassName, VersionName
from ..outcomes import VersionState
from .versions import RatingSums

VersionAtClass = tuple[ClassName, VersionName]


@dataclass(slots=True)
class RolloutBook:
    """What this instance knows of the ratings of all versions.

    Parameters
    ----------
    ratings : dict of VersionAtClass to RatingSums
        Ratings gathered so far.
    unrated : dict of VersionAtClass to int
        Answers of candidates that were started and are not rated yet.
    halted : set of VersionAtClass
        Versions that were stopped at a class.
    """

    ratings: dict[VersionAtClass, RatingSums] = field(default_factory=dict)
    unrated: dict[VersionAtClass, int] = field(default_factory=dict)
    halted: set[VersionAtClass] = field(default_factory=set)

    def list_exposed(self, declaration):
        """Return the candidates that may take one more unrated answer.

        Parameters
        ----------
        declaration : Declaration
            The newest declaration known.

        Returns
        -------
        frozenset of VersionAtClass
        """
        exposed = set()
        for version in declaration.versions.values():
            if version.state is not VersionState.CANDIDATE:
                continue
            for work_class in declaration.classes:
                key = (work_class, version.name)
                if self.unrated.get(key, 0) < version.exposure:
                    exposed.add(key)
        return frozenset(exposed)

    def start_exposure(self, key):
        """Count an answer of a candidate that is about to be started."""
        self.unrated[key] = self.unrated.get(key, 0) + 1

    def cancel_exposure(self, key):
        """Take back an answer that was never given."""
        self.unrated[key] -= 1

    def record_rating(self, key, rating, threshold):
        """Add the rating of an answer."""
        self.ratings.setdefault(key, RatingSums()).add(rating, threshold)
