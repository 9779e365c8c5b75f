"""Measures lateness under load and faults: `python -m bench.lateness [SCENARIO]`.

Several entry instances, each deciding by itself, share engines in virtual time. Each
row pools the requests of all seeds; the engine queue and the crashes are maxima.
"""

import sys
from random import Random

from bench.instances import INSTANCES, DirectInstance, FifoInstance, Instance
from bench.traffic import (
    MEAN_SERVICE_TIME_S,
    REGIONS,
    REQUEST_KINDS,
    Clock,
    Engine,
    Request,
    make_traffic,
)

SEEDS = range(10)
ENGINES = 6
ARRIVALS_END_S = 240.0
RUN_END_S = 480.0
FAULT_START_S = 80.0
FAULT_END_S = 160.0
PUMP_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 1.0
MAX_REPORT_DELAY_S = 1.0
RESTART_DELAY_S = 60.0
RESEND_INTERVAL_S = 2.0
BLAME_DELAY_S = 1.0
POLICIES = ("tanagerwalk", "fifo", "round_robin", "random", "least_loaded")
SCENARIOS = ("load", "flood", "crash", "gray", "errors", "cut", "poison")


class Simulation:
    """One simulation run with engines, instances, traffic and a fault."""

    def __init__(self, policy, scenario, load, seed):
        self.policy = policy
        self.clock = Clock()
        self.random = Random(seed)
        kind = {"tanagerwalk": Instance, "fifo": FifoInstance}.get(
            policy, DirectInstance
        )
        engines = [
            Engine(self.clock, number, policy == "tanagerwalk")
            for number in range(ENGINES)
        ]
        for engine in engines:
            engine.on_crash = self._schedule_restart
        self.engines = {engine.name: engine for engine in engines}
        self.instances = [kind(self, number) for number in range(INSTANCES)]
        self.refused = []
        flood = 1.0 if scenario == "flood" else 0.0
        self.requests = make_traffic(self.random, load, ENGINES, ARRIVALS_END_S, flood)
        for request in self.requests:
            instance = self.random.choice(self.instances)
            self.clock.call_at(request.arrived, instance.submit, request)
        self.list_servers()
        self._repeat(PUMP_INTERVAL_S, self._pump)
        self._repeat(REPORT_INTERVAL_S, self._report)
        self._schedule_fault(scenario, engines)
        self.clock.run(RUN_END_S)

    def _repeat(self, interval, action):
        def step():
            action()
            self.clock.call_at(self.clock.now + interval, step)

        self.clock.call_at(self.clock.now, step)

    def _pump(self):
        for instance in self.instances:
            instance.pump()

    def list_servers(self):
        """Update the server table of every instance from the platform's list."""
        records = [engine.make_record() for engine in self.engines.values()]
        for instance in self.instances:
            instance.table.update_records(records)

    def _report(self):
        for name, engine in self.engines.items():
            if not engine.up:
                continue
            for instance in self.instances:
                if engine.is_reachable_from(instance.region):
                    when = self.clock.now + MAX_REPORT_DELAY_S * self.random.random()
                    report = engine.report()
                    self.clock.call_at(
                        when, instance.table.update_load, name, report, when
                    )

    def _schedule_fault(self, scenario, engines):
        at = self.clock.call_at
        first = engines[0]
        if scenario == "crash":
            at(FAULT_START_S, first.crash)
        elif scenario == "gray":
            at(FAULT_START_S, setattr, first, "factor", 10.0)
            at(FAULT_END_S, setattr, first, "factor", 1.0)
        elif scenario == "errors":
            at(FAULT_START_S, setattr, first, "erring", True)
            at(FAULT_END_S, setattr, first, "erring", False)
        elif scenario == "cut":
            for engine in engines:
                if engine.region == REGIONS[0]:
                    at(FAULT_START_S, setattr, engine, "cut", True)
                    at(FAULT_END_S, setattr, engine, "cut", False)
        elif scenario == "poison":
            when = FAULT_START_S
            while when < FAULT_END_S:
                at(when, self._send_poison)
                when += RESEND_INTERVAL_S

    def _send_poison(self):
        request = Request(
            REQUEST_KINDS[0], "account-0", self.clock.now, 0.4, poison=True
        )
        self.random.choice(self.instances).submit(request)

    def _schedule_restart(self, engine):
        self.clock.call_at(self.clock.now + RESTART_DELAY_S, self._restart, engine)

    def _restart(self, engine):
        engine.restart()
        self.list_servers()

    def blame(self, instance, fingerprint, record):
        """Record a crash at `instance`, and after BLAME_DELAY_S at the others."""
        now = self.clock.now
        known = instance.quarantine.record_crash(fingerprint, record, ENGINES, now)
        for other in self.instances:
            if other is not instance and known:
                later = now + BLAME_DELAY_S
                add_remote_crashes = other.quarantine.add_crashes
                self.clock.call_at(later, add_remote_crashes, fingerprint, known, later)

    def refuse(self, request, reason):
        """Record the refusal of a request."""
        request.refusal = reason
        request.refused = self.clock.now
        request.ended = None


def summarize(runs):
    """Return a line with the share in time, percentiles and refusals per class."""
    cells = []
    for kind in REQUEST_KINDS:
        requests = [
            request
            for run in runs
            for request in run.requests
            if request.kind is kind and request.account != "flooder"
        ]
        times = sorted(r.ended - r.arrived for r in requests if r.ended is not None)
        late = kind.work_class.lateness
        in_time = sum(seconds <= late for seconds in times) / len(requests)
        refused = sum(r.refusal is not None for r in requests) / len(requests)
        lost = len(requests) - len(times) - sum(r.refusal is not None for r in requests)
        quantiles = "/".join(
            f"{times[int(len(times) * q)]:.1f}" for q in (0.5, 0.95, 0.99)
        )
        cells.append(
            f"{kind.work_class.name} {in_time:6.1%} {quantiles:>16} "
            f"refused {refused:5.1%}"
            + _format_median_wait(requests)
            + (f" lost {lost}" if lost else "")
        )
    sent = [r for run in runs for r in run.requests]
    attempts = sum(r.attempts for r in sent) / len(sent)
    peak = max(engine.peak_waiting for run in runs for engine in run.engines.values())
    crashes = [sum(e.crashes for e in run.engines.values()) for run in runs]
    return (
        " | ".join(cells)
        + f" | attempts {attempts:.2f} engine queue {peak} crashes {max(crashes)}"
    )


def _format_median_wait(requests):
    waits = sorted(r.refused - r.arrived for r in requests if r.refusal is not None)
    return f" after {waits[len(waits) // 2]:.1f}" if waits else ""


def main(scenarios=SCENARIOS):
    """Print one line for each scenario, load and policy."""
    print(f"{INSTANCES} instances, {ENGINES} engines, {len(SEEDS)} seeds,", end=" ")
    print(
        f"mean work {MEAN_SERVICE_TIME_S:.2f} s; share in time, p50/p95/p99 s, refusals"
    )
    for scenario in scenarios:
        loads = (0.6, 0.9, 1.2, 2.0) if scenario == "load" else (0.6,)
        for load in loads:
            for policy in POLICIES:
                runs = [Simulation(policy, scenario, load, seed) for seed in SEEDS]
                line = f"{scenario:>6} {load:4.0%} {policy:>12}: {summarize(runs)}"
                print(line, flush=True)


if __name__ == "__main__":
    main(sys.argv[1:] or SCENARIOS)
