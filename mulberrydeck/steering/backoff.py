"""Pauses between failed calls of the store."""

RETRY_DELAY_S = 0.1  # 25 undisturbed answers of the store.
# With the time to connect, a VM is back 0.8 s after its cut has healed.
MAX_RETRY_DELAY_S = 0.3


def retry_delay_s(failures: int) -> float:
    """Returns how long to wait after failed calls in a row, in seconds.

    Args:
        failures: Calls that failed since the last success.
    """
    return min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2 ** min(failures - 1, 10))
