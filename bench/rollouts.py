"""Simulates roll-outs with seeded traffic: cost, quality and exposure.

Run it as `python -m bench.rollouts [--seeds N] [--kind KIND ...]`.
"""

import argparse
import heapq
import random
import statistics
from dataclasses import dataclass, field

from bench.policies import POLICIES
from tanagerwalk.decisions.evidence import decode_report, encode_report
from tanagerwalk.decisions.exposure import Ledger
from tanagerwalk.decisions.version_rollouts import RolloutTracker
from tanagerwalk.decisions.versions import PlanInputs, choose_plan
from tanagerwalk.declarations import parse_declaration

INSTANCES = 6
RATE_PER_S = 10.0
DURATION_S = 900
EPOCH_S = 60
QUALITY_TARGET = 0.9
# Gives ratings a standard deviation of 0.04 at mean 0.95 and of 0.1 at mean 0.6.
BETA_CONCENTRATION = 25.0
RATING_DELAY_S = 1.0
RATING_LOSS = 0.02
RATING_SHARE = 0.05
EXCHANGE_INTERVAL_S = 2
FALSE_ALARM = 0.01
LATENESS_S = 2.0
RELEASE_AT_S = 300
REGRESSION_AT_S = 450
DECLARATION = """
[class plan]
quality = 0.9
lateness = 2 s
tokens = 1000
[class note]
quality = 0.9
lateness = 2 s
tokens = 1000
[account desk]
key_sha256 = ab
classes = plan note
versions = cheap strong new
[version cheap]
state = released
cost = 0.1
evaluated = plan:0.85 note:0.85
[version strong]
state = released
cost = 1.0
evaluated = plan:0.95 note:0.95
[version new]
state = {state}
cost = 0.5
evaluated = plan:0.95 note:0.95
exposure = 20
replaces = strong
"""


@dataclass(frozen=True)
class VersionBehavior:
    """Behavior of the new version.

    With `regresses` set, the version is good when it is released at `RELEASE_AT_S` and
    behaves as described from `REGRESSION_AT_S` on.
    """

    mean: float = 0.95
    note_mean: float = 0.95
    errors: float = 0.0
    late: float = 0.0
    regresses: bool = False
    bad: bool = True


BEHAVIORS = {
    "good": VersionBehavior(bad=False),
    "good, at target": VersionBehavior(0.9, 0.9, bad=False),
    "-0.05": VersionBehavior(0.85, 0.85),
    "-0.3": VersionBehavior(0.6, 0.6),
    "one class": VersionBehavior(0.95, 0.6),
    "errors 30%": VersionBehavior(errors=0.3),
    "slow 50%": VersionBehavior(late=0.5),
    "turns -0.05": VersionBehavior(0.85, 0.85, regresses=True),
    "turns -0.3": VersionBehavior(0.6, 0.6, regresses=True),
}


@dataclass
class Outcome:
    """Measurements of one run."""

    costs: list = field(default_factory=list)
    ratings: list = field(default_factory=list)
    bad_answers: int = 0
    unrated_peak: int = 0
    halted_at: dict = field(default_factory=dict)
    ramped_at: float = float("nan")


class Traffic:
    """Draws requests, and the quality and delay of answers."""

    def __init__(self, behavior, seed):
        self.behavior = behavior
        self.random = random.Random(seed)

    def answer(self, version, work_class, now):
        """Draw one attempt; return (rating, late), where rating is None on an error."""
        behavior = self.behavior
        means = {"cheap": 0.85, "strong": 0.95}
        late = errors = 0.0
        if version == "new":
            active = not behavior.regresses or now >= REGRESSION_AT_S
            mean = behavior.mean if work_class == "plan" else behavior.note_mean
            means["new"] = mean if active else 0.95
            late, errors = behavior.late, behavior.errors
        if self.random.random() < errors:
            return None, False
        mean = means[version]
        rating = self.random.betavariate(
            mean * BETA_CONCENTRATION, (1.0 - mean) * BETA_CONCENTRATION
        )
        return rating, self.random.random() < late

    def is_bad(self, work_class, now):
        """Return whether the new version is bad for a class at this time."""
        if not self.behavior.bad or (self.behavior.regresses and now < REGRESSION_AT_S):
            return False
        return (
            self.behavior.mean < QUALITY_TARGET
            or work_class == "note"
            or self.behavior.errors > 0
        )


class Fleet:
    """The roll-out decisions of several instances that share reports and ledgers."""

    def __init__(self, traffic):
        self.traffic = traffic
        self.names = [f"i{number}" for number in range(INSTANCES)]
        self.trackers = {name: RolloutTracker(name, FALSE_ALARM) for name in self.names}
        self.ledgers = {}
        self.pending_ratings = []
        self.sent_reports = {}
        self.outcome = Outcome()
        self.declare("candidate")

    def declare(self, state):
        """Apply the declaration, with the new version in `state`, on all instances."""
        self.declaration = parse_declaration(DECLARATION.format(state=state)).ok
        for tracker in self.trackers.values():
            tracker.configure(self.declaration)

    def tick(self, now):
        """Do the work that the controllers do in one second."""
        if self.traffic.behavior.regresses and now == RELEASE_AT_S:
            self.declare("released")
        for name, tracker in self.trackers.items():
            tracker.evidence.advance(1 + now // EPOCH_S)
            self._resize_grants(name, tracker, now)
        if now % EXCHANGE_INTERVAL_S == 0:
            self._exchange_reports()
        for tracker in self.trackers.values():
            self._apply_new_halts(tracker, now)
        self._record_progress(now)

    def _resize_grants(self, name, tracker, now):
        candidates = tracker.list_candidates()
        for arm, held in tracker.held_units.items():
            held.reclaim_lost(now)
            ledger = self.ledgers.get(arm, Ledger())
            budget = candidates[arm].exposure if arm in candidates else 0
            wanted = held.compute_grant_size(ledger, name, budget, now)
            held.begin_write(wanted)
            self.ledgers[arm] = ledger.resize(name, wanted)
            held.finish_write(wanted, now)

    def _exchange_reports(self):
        for name, tracker in self.trackers.items():
            for report in tracker.evidence.list_own(name):
                key, value = encode_report(report)
                if self.sent_reports.get((name, key)) == value:
                    continue
                self.sent_reports[(name, key)] = value
                for other, peer in self.trackers.items():
                    if other != name:
                        peer.merge(name, decode_report(key, value))
            for arm, halt in tracker.halts.items():
                for peer in self.trackers.values():
                    peer.add_halt(arm, halt)

    def _apply_new_halts(self, tracker, now):
        for arm, halt in tracker.find_new_halts().items():
            tracker.add_halt(arm, halt)
            self.outcome.halted_at.setdefault((arm.version, arm.work_class), now)

    def _record_progress(self, now):
        tracker = self.trackers[self.names[0]]
        arm = tracker.get_arm(("plan", "new"))
        if self.outcome.ramped_at != self.outcome.ramped_at and (
            tracker.compute_traffic_share(arm) >= 0.5
        ):
            self.outcome.ramped_at = now
        unrated = {}
        for other in self.trackers.values():
            for arm, held in other.held_units.items():
                unrated[arm] = unrated.get(arm, 0) + held.occupied
        peak = max(unrated.values(), default=0)
        self.outcome.unrated_peak = max(self.outcome.unrated_peak, peak)

    def serve(self, now):
        """Serve one random request at a random instance."""
        rng = self.traffic.random
        tracker = self.trackers[rng.choice(self.names)]
        work_class = self.declaration.classes[rng.choice(["plan", "note"])]
        name = work_class.name
        inputs = PlanInputs(
            available=frozenset(["cheap", "strong", "new"]),
            durations=lambda _version: LATENESS_S / 4,
            evidence=lambda version: tracker.sum_evidence(name, version),
            halted=tracker.list_halted(name),
            exposed=tracker.find_candidate_shares(name, now),
            draw=rng.random(),
        )
        account = self.declaration.client_accounts["desk"]
        plan = choose_plan(self.declaration, account, work_class, inputs).ok
        exposure = None
        if plan.candidate:
            exposure = tracker.start_exposure((name, plan.candidate), now)
        cost, rating = self._run_plan(tracker, plan.steps, name, now, exposure)
        self.outcome.costs.append(cost)
        self.outcome.ratings.append(rating)

    def _run_plan(self, tracker, steps, work_class, now, exposure):
        cost = 0.0
        for version in steps:
            key = (work_class, version)
            bad = version == "new" and self.traffic.is_bad(work_class, now)
            self.outcome.bad_answers += bad
            rating, late = self.traffic.answer(version, work_class, now)
            cost += self.declaration.versions[version].cost
            if rating is None:
                tracker.record_error(key)
                if exposure:
                    exposure.end()
                continue
            tracker.record_answer(key, 1000, 2 * LATENESS_S if late else 0.1)
            if version != steps[-1]:
                tracker.record_rating(key, rating)
                if rating >= QUALITY_TARGET:
                    return cost, rating
                continue
            self._schedule_rating(tracker, key, rating, now, exposure)
            return cost, rating
        # After an error the caller gets an answer of version `strong`.
        rating, _ = self.traffic.answer("strong", work_class, now)
        return cost + 1.0, rating

    def _schedule_rating(self, tracker, key, rating, now, exposure):
        rng = self.traffic.random
        sampled = rng.random() < RATING_SHARE or tracker.wants_rating(key)
        if exposure is None and not sampled:
            return
        if rng.random() < RATING_LOSS:
            if exposure:
                exposure.mark_lost(now)
            return
        item = (now + RATING_DELAY_S, rng.random(), tracker, key, rating, exposure)
        heapq.heappush(self.pending_ratings, item)

    def deliver(self, now):
        """Record the ratings that are due at their instances."""
        while self.pending_ratings and self.pending_ratings[0][0] <= now:
            _, _, tracker, key, rating, exposure = heapq.heappop(self.pending_ratings)
            tracker.record_rating(key, rating)
            if exposure:
                exposure.end()


def run_router(behavior, seed):
    """Simulate the roll-out decisions with one behavior; return the Outcome."""
    fleet = Fleet(Traffic(behavior, seed))
    for second in range(DURATION_S):
        fleet.tick(second)
        for number in range(int(RATE_PER_S)):
            now = second + number / RATE_PER_S
            fleet.deliver(now)
            fleet.serve(now)
    return fleet.outcome


def run_policy(choose, behavior, seed):
    """Simulate a fixed policy with one behavior; return the Outcome."""
    traffic = Traffic(behavior, seed)
    costs = {"cheap": 0.1, "strong": 1.0, "new": 0.5}
    outcome = Outcome()
    for number in range(int(DURATION_S * RATE_PER_S)):
        now = number / RATE_PER_S
        work_class = traffic.random.choice(["plan", "note"])
        released = behavior.regresses and now >= RELEASE_AT_S
        version = choose(traffic.random, released)
        outcome.bad_answers += version == "new" and traffic.is_bad(work_class, now)
        rating, _ = traffic.answer(version, work_class, now)
        cost = costs[version]
        if rating is None:
            rating, _ = traffic.answer("strong", work_class, now)
            cost += 1.0
        outcome.costs.append(cost)
        outcome.ratings.append(rating)
    return outcome


def _mean(values):
    values = list(values)
    return statistics.mean(values) if values else float("nan")


def print_row(behavior_name, policy, outcomes):
    """Print the statistics of one policy over all seeds."""
    behavior = BEHAVIORS[behavior_name]
    halted = [dict(o.halted_at) for o in outcomes]
    start = REGRESSION_AT_S if behavior.regresses else 0
    target = ("new", "note") if behavior_name == "one class" else ("new", "plan")
    times = [
        h[target] - start for h in halted if behavior.bad and h.get(target, -1) >= start
    ]
    false = sum(
        1
        for h in halted
        for (version, work_class), at in h.items()
        if version != "new"
        or not behavior.bad
        or at < start
        or (behavior_name == "one class" and work_class == "plan")
    )
    ramped = [o.ramped_at for o in outcomes if o.ramped_at == o.ramped_at]
    print(
        f"{behavior_name:16} {policy:10}"
        f" {_mean(_mean(o.costs) for o in outcomes):6.3f}"
        f" {_mean(_mean(o.ratings) for o in outcomes):7.3f}"
        f" {_mean(_mean(r < QUALITY_TARGET for r in o.ratings) for o in outcomes):7.3f}"
        f" {_mean(o.bad_answers for o in outcomes):8.1f}"
        f" {max(o.bad_answers for o in outcomes):6}"
        f" {max(o.unrated_peak for o in outcomes):6}"
        f" {len(times):4}/{len(outcomes)}"
        f" {statistics.median(times) if times else float('nan'):7.0f}"
        f" {false:5}"
        f" {statistics.median(ramped) if ramped else float('nan'):7.0f}",
        flush=True,
    )


def main():
    """Simulate the selected behaviors and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--kind", nargs="*", choices=BEHAVIORS, default=list(BEHAVIORS))
    arguments = parser.parse_args()
    print(
        "kind             policy       cost quality  under      bad    max"
        " unrated halted  delay false  ramped"
    )
    for name in arguments.kind:
        seeds = range(arguments.seeds)
        runs = [run_router(BEHAVIORS[name], seed) for seed in seeds]
        print_row(name, "router", runs)
        for policy, choose in POLICIES.items():
            runs = [run_policy(choose, BEHAVIORS[name], seed) for seed in seeds]
            print_row(name, policy, runs)


if __name__ == "__main__":
    main()
