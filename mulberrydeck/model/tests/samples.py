"""Configurations that several tests use."""

from mulberrydeck.model import configuration
from mulberrydeck.model import loading

FLEET_TOML = """
[[regions]]
name = "north"
[[regions]]
name = "south"

[[zones]]
name = "north-a"
region = "north"
client_blocks = ["10.0.0.0/8", "fd00::/16"]
[[zones]]
name = "north-b"
region = "north"
[[zones]]
name = "south-a"
region = "south"
labels = { size = "small" }
client_blocks = ["11.0.0.0/24"]

[[links]]
source = "north"
destination = "south"
cap_bytes_per_s = 500_000_000

[[services]]
name = "permits"
[[services.routes]]
name = "rest"
[[services.routes]]
name = "fees"
path_prefix = "/fees"
methods = ["POST"]
repeatable = false
deadline_s = 5

[[targets]]
name = "permits-1"
service = "permits"
zone = "north-a"
host = "127.0.0.1"
port = 8001
slots = 3
[[targets]]
name = "permits-2"
service = "permits"
zone = "north-b"
host = "127.0.0.1"
port = 8002
slots = 3
[[targets]]
name = "permits-3"
service = "permits"
zone = "south-a"
host = "127.0.0.1"
port = 8003
slots = 3

[[accounts]]
name = "acme"
labels = { tier = "gold" }
[[accounts]]
name = "beta"

[[access]]
name = "gold"
accounts = "tier = gold"
services = "name in (permits, rosters)"

[[steering]]
name = "near-first"
services = ""
spill_order = [
    { zones = "local = zone", weight = 3 },
    { zones = "local = region", weight = 1, same_step = true },
    { zones = "" },
]

[[limits]]
name = "gold"
accounts = "tier = gold"
rate_per_s = 100
burst = 20
[[limits]]
name = "rest"
accounts = ""
rate_per_s = 10.5
burst = 2
"""


def fleet() -> configuration.Configuration:
    return loading.loads(FLEET_TOML, "fleet.toml")
