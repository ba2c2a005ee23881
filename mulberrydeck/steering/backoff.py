"""Delays before retries of failed calls of the store."""

RETRY_DELAY_S = 0.1  # 25 times the response time of an idle store.
# With the time to connect, a VM that was cut off reaches the store again within
# 0.8 s after the network has recovered.
MAX_RETRY_DELAY_S = 0.3


def retry_delay_s(failures: int) -> float:
    """Returns the delay before the next call, in seconds.

    Args:
        failures: Number of failed calls since the last success.
    """
    return min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2 ** min(failures - 1, 10))
