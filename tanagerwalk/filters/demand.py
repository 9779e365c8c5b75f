"""Measurement of the demand for each version."""


class DemandFilter:
    """Records the demand for each version, on which the placement of versions is based.

    It precedes admission in the chain, so requests that admission refuses count too.

    Parameters
    ----------
    meter : DemandMeter
        Records the requests.
    durations : DurationEstimates
        Expected duration of attempts.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, meter, durations, clock):
        self._meter = meter
        self._durations = durations
        self._clock = clock

    async def handle(self, context, proceed):
        """Record the demand of the request and run it."""
        if context.version is not None:
            work_class = context.work_class
            seconds = self._durations.estimate(
                work_class.name, context.version, work_class.lateness
            )
            self._meter.record(context.version, seconds, self._clock())
        return await proceed(context)
