"""stub"""


def cores(capacity):
    return 1.0


def of_settings(settings):
    return None
