"""Policies that roll-outs are compared with; each returns the name of a version."""


def choose_strongest(_random, _released):
    """Return the dearest version always."""
    return "strong"


def choose_cheapest(_random, _released):
    """Return the cheapest version always."""
    return "cheap"


def choose_uniformly(random, _released):
    """Return each version equally often."""
    return random.choice(["cheap", "strong", "new"])


def choose_canary(random, released):
    """Give the new version 5% until it is released, then everything, untested."""
    return "new" if released or random.random() < 0.05 else "strong"


POLICIES = {
    "strongest": choose_strongest,
    "cheapest": choose_cheapest,
    "uniform": choose_uniformly,
    "canary": choose_canary,
}
