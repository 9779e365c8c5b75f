"""Parsing of numbers in header fields."""

import math

# More digits are not exact in a float, and `int` rejects thousands of them.
MAX_DIGITS = 15
MAX_NUMBER = 1e15


def parse_count(value):
    """Parse a header field that holds a whole number.

    Parameters
    ----------
    value : bytes or None
        The field, or None if it is absent.

    Returns
    -------
    int or None
        None if it is absent, malformed or has more than MAX_DIGITS digits.
    """
    digits = b"" if value is None else value.strip()
    if not digits.isdigit() or len(digits) > MAX_DIGITS:
        return None
    return int(digits)


def parse_number(value):
    """Parse a header field that holds a number.

    Parameters
    ----------
    value : bytes or None
        The field, or None if it is absent.

    Returns
    -------
    float or None
        From 0 to MAX_NUMBER; None if it is absent, malformed or not finite.
    """
    try:
        number = math.nan if value is None else float(value)
    except ValueError:
        return None
    return min(MAX_NUMBER, max(0.0, number)) if math.isfinite(number) else None
