"""Counts what each version is asked for."""


class DemandFilter:
    """Feeds the demand that the placement of versions follows.

    It stands before admission, so that it also counts what is refused there.

    Parameters
    ----------
    meter : DemandMeter
        Takes the requests.
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
        """Count the request and pass it on."""
        if context.version is not None:
            work_class = context.work_class
            seconds = self._durations.estimate(
                work_class.name, context.version, work_class.lateness
            )
            self._meter.record(context.version, seconds, self._clock())
        return await proceed(context)
