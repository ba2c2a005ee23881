"""Keys of the objects that Mulberrydeck stores in the platform."""

import hashlib

CONTROL_PREFIX = "control/"
CONFIG = "control/config"
KEYS = "control/keys"
RUNS_PREFIX = "runs/"
RUN_DIGEST_BYTES = 16

document_name_by_key = {CONFIG: "config", KEYS: "keys"}


def zone_lease(zone: str) -> str:
    """Returns the key of a zone's lease."""
    return f"control/zones/{zone}"


def run_claim(account: str, run_id: str) -> str:
    """Returns the key of the claim of a single run."""
    digest = hashlib.blake2b(run_id.encode(), digest_size=RUN_DIGEST_BYTES)
    return f"{RUNS_PREFIX}{account}/{digest.hexdigest()}"
