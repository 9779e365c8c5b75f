"""Which of the suspected prompt parts explain the crashes of servers."""

# A deeper part that explains this share of the crashes of another is preferred.
SIMILAR_SHARE = 2.0 / 3.0


def select_guilty(crashes, guilty_weights, depths):
    """Return parts that explain the crashes, the one that explains most first.

    A deeper part is preferred if it explains nearly as many; the fewest requests
    share it.

    Parameters
    ----------
    crashes : dict of PartKey to dict of Incarnation to CrashWeight
        The crashes of the parts that have enough of them to be guilty.
    guilty_weights : dict of PartKey to int
        Weight of unexplained crashes from which each part is guilty.
    depths : dict of PartKey to int
        Position of each part in its prompts.

    Returns
    -------
    set of PartKey
    """
    guilty = set()
    explained = set()
    while True:
        weights = {
            part: _sum_unexplained(lives, explained) for part, lives in crashes.items()
        }
        heavy = {
            part: weight
            for part, weight in weights.items()
            if weight >= guilty_weights[part]
        }
        if not heavy:
            return guilty
        enough = SIMILAR_SHARE * max(heavy.values())
        chosen = min(
            (part for part, weight in heavy.items() if weight >= enough),
            key=lambda each: (-depths[each], -heavy[each], each),
        )
        guilty.add(chosen)
        explained.update(crashes[chosen])


def _sum_unexplained(crashes, explained):
    return sum(weight for life, weight in crashes.items() if life not in explained)
