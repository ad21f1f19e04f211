"""Delays that double with each failure in a row, up to a limit."""

# Doubles any delay beyond every limit. Counts of failures have no bound, and a
# much higher power of two is no float.
DOUBLINGS_MAX = 64


def doubled_s(first_s: float, doublings: int, max_s: float) -> float:
    """Return a delay after a number of doublings, in seconds.

    Args:
        first_s: Delay without a doubling.
        doublings: How often it is doubled; any number.
        max_s: Longest delay.

    Returns:
        The delay.
    """
    return min(first_s * 2.0 ** min(doublings, DOUBLINGS_MAX), max_s)
