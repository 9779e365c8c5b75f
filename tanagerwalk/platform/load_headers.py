"""Parsing of the load that a backend server reports in a header."""

from ..decisions.engine_load import EngineLoad
from ..number_ranges import NumberRange

COUNT_FIELDS = 3
USUAL_PERCENT = 100.0
# More than any server has slots, or requests before it.
MAX_REQUESTS = 1_000_000
COUNT_RANGE = NumberRange("load of a server", "requests", 0, MAX_REQUESTS)
SLOWDOWN_RANGE = NumberRange("slowdown of a server", "%", 1.0, 10_000.0)


def parse_load(text):
    """Parse a load header.

    It holds the numbers of running requests, of waiting requests and of slots, and on
    some servers how long work takes at the moment, in percent of what is usual. More
    fields are ignored.

    Parameters
    ----------
    text : bytes or None
        The header, or None if it is absent.

    Returns
    -------
    EngineLoad or None
        None if a count is absent or malformed. A slowdown that is malformed or
        impossible is left out.
    """
    if text is None:
        return None
    # A count that is missing is as invalid as an empty one.
    fields = text.split(b",") + [b""] * COUNT_FIELDS
    counts = [COUNT_RANGE.read_count(field) for field in fields[:COUNT_FIELDS]]
    if None in counts:
        return None
    if text.count(b",") < COUNT_FIELDS:
        return EngineLoad(*counts)
    percent = SLOWDOWN_RANGE.read(fields[COUNT_FIELDS])
    return EngineLoad(*counts, None if percent is None else percent / USUAL_PERCENT)
