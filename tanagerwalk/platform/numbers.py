"""Parsing of numbers in header fields."""

# More digits are not exact in a float, and `int` rejects thousands of them.
MAX_DIGITS = 15


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
