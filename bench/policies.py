"""Baseline policies for `bench.rollouts`; each returns the name of a version."""


def choose_strongest(_random, _released):
    """Return the most expensive version for every request."""
    return "strong"


def choose_cheapest(_random, _released):
    """Return the cheapest version for every request."""
    return "cheap"


def choose_uniformly(random, _released):
    """Return a version chosen uniformly at random."""
    return random.choice(["cheap", "strong", "new"])


def choose_canary(random, released):
    """Send 5% to the new version, and all requests once it is released.

    Neither step looks at the quality of its answers.
    """
    return "new" if released or random.random() < 0.05 else "strong"


POLICIES = {
    "strongest": choose_strongest,
    "cheapest": choose_cheapest,
    "uniform": choose_uniformly,
    "canary": choose_canary,
}
