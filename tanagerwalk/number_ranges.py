"""Ranges of the numbers that others state, in which alone they are believed."""

import math

from .repeated_warnings import RepeatedWarning

# More digits are not exact in a float, and `int` rejects thousands of them.
MAX_DIGITS = 15
# Enough to recognize a value in the log.
MAX_LOGGED_CHARACTERS = 80
# Python's own grouping of digits, which no protocol has.
DIGIT_SEPARATOR = b"_"


class NumberRange:
    """The numbers of one kind that are believed.

    Others count as not stated, are counted, and logged for the occurrences 1, 2, 4, 8
    and so on.

    Parameters
    ----------
    name : str
        What the number says, for the log.
    unit : str
        Its unit, for the log.
    least, greatest : float
        The bounds, which are in the range; finite.
    """

    def __init__(self, name, unit, least, greatest):
        self._unit = unit
        self._least = least
        self._greatest = greatest
        self._warning = RepeatedWarning(f"invalid {name}")

    @property
    def refused(self):
        """How many numbers were not believed so far."""
        return self._warning.count

    def read(self, text):
        """Read a decimal number.

        Parameters
        ----------
        text : bytes or None
            The text; None if nothing was stated.

        Returns
        -------
        float or None
            None if nothing was stated, or nothing in the range.
        """
        if text is None:
            return None
        return self._check(_parse(text), text)

    def read_count(self, text):
        """Read a whole number in digits alone; returns an int, else as `read`."""
        if text is None:
            return None
        digits = text.strip()
        is_count = digits.isdigit() and len(digits) <= MAX_DIGITS
        return self._check(int(digits) if is_count else math.nan, text)

    def take(self, number):
        """Return a number that was decoded already, or None as `read` does."""
        return None if number is None else self._check(number, number)

    def _check(self, number, stated):
        if self._least <= number <= self._greatest:
            # The sum with 0 has no sign if it is 0.
            return number + 0
        self._warning.record(
            value=_quote(stated),
            unit=self._unit,
            least=self._least,
            greatest=self._greatest,
        )
        return None


def _parse(text):
    """Return the number in a text, or NaN."""
    try:
        return math.nan if DIGIT_SEPARATOR in text else float(text)
    except ValueError:
        return math.nan


def _quote(stated):
    text = stated.decode("latin-1") if isinstance(stated, bytes) else str(stated)
    return text[:MAX_LOGGED_CHARACTERS]
