"""Tests of findings about configurations."""

import pathlib

import pytest

from mulberrydeck.checking import diagnostics
from mulberrydeck.checking import reference
from mulberrydeck.checking import report
from mulberrydeck.checking.tests import samples
from mulberrydeck.model import configuration
from mulberrydeck.model import loading

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
SECRET = "mdk_0123456789abcdef_" + "5" * 64

ROUTE = '[[services.routes]]\nname = "fees"\n'
ACCESS = 'accounts = ""\nservices = "name = permits"'
STEERING = 'name = "near-first"\nservices = ""'
GOLD = 'accounts = "tier = gold"\nrate_per_s = 100'
REST = 'accounts = ""\nrate_per_s'
LAST_STEP = '{ zones = "" }'
SPILL_END = '    { zones = "" },\n]\n'
ZONE = '[[zones]]\nname = "south-a"'
LIMITS = '[[limits]]\nname = "gold"'
ACCOUNT = 'name = "beta"'

# Mistake, text of the clean file, its replacement, expected warnings.
MISTAKES = [
    (
        "route has the prefix and method of another in another spelling",
        ROUTE,
        '[[services.routes]]\nname = "copy"\npath_prefix = "/fees/"\n'
        'methods = ["GET", "POST"]\n' + ROUTE,
        [
            "services[0].routes[2]: fees gets no POST request, because route "
            "copy"
        ],
    ),
    (
        "route for all methods has the paths of another",
        ROUTE,
        '[[services.routes]]\nname = "copy"\npath_prefix = "//"\n' + ROUTE,
        ["services[0].routes[0]: rest gets no request, because route copy"],
    ),
    (
        "prefix is percent-encoded",
        'path_prefix = "/fees"',
        'path_prefix = "/f%20s"',
        ["services[0].routes[1].path_prefix: no path matches '/f%20s'"],
    ),
    (
        "deadline is below the time to start a request",
        "deadline_s = 5",
        "deadline_s = 0.01",
        ["services[0].routes[1].deadline_s: 0.01 s is shorter than a VM"],
    ),
    (
        "service has neither routes nor targets",
        '[[targets]]\nname = "permits-1"',
        '[[services]]\nname = "idle"\n[[targets]]\nname = "permits-1"',
        [
            "services[1]: idle has no target",
            "services[1].routes: idle has no route",
        ],
    ),
    (
        "all targets of a service are draining",
        "slots = 3",
        "slots = 3\ndraining = true",
        ["services[0]: all targets of permits are draining"],
    ),
    (
        "access rule selects no account",
        ACCESS,
        ACCESS + '\n[[access]]\nname = "x"\naccounts = "tier = lead"\n'
        'services = ""',
        ["access[1].accounts: 'tier = lead' selects no account"],
    ),
    (
        "access rule selects no service",
        ACCESS,
        ACCESS + '\n[[access]]\nname = "x"\naccounts = ""\nservices = "old"',
        ["access[1].services: 'old' selects no service"],
    ),
    (
        "access rule repeats another",
        ACCESS,
        ACCESS + '\n[[access]]\nname = "x"\naccounts = "tier"\nservices = ""',
        ["access[1]: x grants only what earlier rules grant"],
    ),
    (
        "selector names an undeclared service",
        '"name = permits"',
        '"name in (permits, rosters)"',
        ["access[0].services: no service has the label name = rosters"],
    ),
    (
        "selector excludes an undeclared account",
        '"tier = gold"\nrate',
        '"tier = gold, name != acmee"\nrate',
        ["limits[0].accounts: no account has the label name = acmee"],
    ),
    (
        "spill order names an undeclared zone",
        LAST_STEP,
        '{ zones = "zone in (south-a, south-b)" }',
        [
            "steering[0].spill_order[2].zones: no zone has the label zone = "
            "south-b"
        ],
    ),
    (
        "account has no access",
        'accounts = ""\nservices',
        'accounts = "tier = gold"\nservices',
        ["accounts[1]: no access rule lets beta reach a service"],
    ),
    (
        "no account may use a service",
        'services = "name = permits"',
        'services = "old"',
        [
            "access[0].services: 'old' selects no service",
            "accounts[0]: no access rule lets acme reach a service",
            "accounts[1]: no access rule lets beta reach a service",
            "services[0]: no access rule lets an account reach permits, so no "
            "request uses its routes rest, fees",
        ],
    ),
    (
        "zone is unused",
        ZONE,
        '[[zones]]\nname = "empty"\nregion = "south"\n' + ZONE,
        ["zones[2]: empty has no target and no client block"],
    ),
    (
        "region has no zone",
        '[[regions]]\nname = "south"',
        '[[regions]]\nname = "west"\n[[regions]]\nname = "south"',
        ["regions[1]: west has no zone"],
    ),
    (
        "label is hidden by an implied one",
        ACCOUNT,
        ACCOUNT + '\nlabels = { name = "gamma" }',
        ["accounts[1].labels.name: is hidden by the implied label"],
    ),
    (
        "limit selects no account",
        GOLD,
        GOLD.replace("gold", "lead"),
        ["limits[0].accounts: 'tier = lead' selects no account"],
    ),
    (
        "limit comes after one that selects its accounts too",
        LIMITS,
        '[[limits]]\nname = "all"\naccounts = "!suspended"\nrate_per_s = 9\n'
        "burst = 9\n" + LIMITS,
        [
            "limits[1]: gold never applies: earlier rules (all) match every",
            "limits[2]: rest never applies: earlier rules (all) match every",
        ],
    ),
    (
        "two limits for the same accounts",
        REST,
        REST.replace('""', '"tier in (gold)"'),
        [
            "limits[1]: rest selects the same accounts as gold with other "
            "limits (10.5 per second, burst 2; 100 and 20 apply)"
        ],
    ),
    (
        "burst is below what the rate admits in an admission lifetime",
        "burst = 20",
        "burst = 10",
        ["limits[0].burst: 10 is less than the rate admits within 0.15 s (15)"],
    ),
    (
        "steering rule selects no service",
        STEERING,
        STEERING.replace('""', '"old"'),
        ["steering[0].services: 'old' selects no service"],
    ),
    (
        "two steering rules for the same services",
        LIMITS,
        '[[steering]]\nname = "x"\nservices = ""\n'
        'spill_order = [{ zones = "" }]\n' + LIMITS,
        ["steering[1]: x selects the same services as near-first, which"],
    ),
    (
        "earlier steps contain all zones of a step",
        LAST_STEP,
        LAST_STEP + ', { zones = "local = remote" }',
        ["steering[0].spill_order[3]: is never used: earlier steps contain"],
    ),
    (
        "zones of a step have no target",
        SPILL_END,
        '    { zones = "zone = idle" },\n' + SPILL_END + "[[zones]]\n"
        'name = "idle"\nregion = "south"\nclient_blocks = ["12.0.0.0/24"]\n',
        ["steering[0].spill_order[2]: is never used: its zones have no target"],
    ),
    (
        "spill order omits a zone with targets",
        samples.CLEAN_TOML[
            samples.CLEAN_TOML.index(
                "spill_order = ["
            ) : samples.CLEAN_TOML.index(SPILL_END)
        ]
        + SPILL_END,
        'spill_order = [{ zones = "region = north" }]\n',
        ["steering[0].spill_order: omits south-a, so targets of permits there"],
    ),
    (
        "first step belongs to the step before it",
        "weight = 3 }",
        "weight = 3, same_step = true }",
        ["steering[0].spill_order[0].same_step: has no effect"],
    ),
]


def check_text(text: str, compared=None) -> report.Report:
    return report.of_valid(loading.loads(text, "fleet.toml"), compared)


def lines_of(checked: report.Report) -> list[str]:
    return [diagnostics.line(item) for item in checked.diagnostics]


def test_clean_configuration_has_no_findings():
    # Guards against warnings about all that the mistakes below start from.
    assert check_text(samples.CLEAN_TOML).diagnostics == ()


@pytest.mark.parametrize("name", ["gruber", "kilele", "small"])
def test_example_is_clean(name):
    # The other files in examples/ are loads for `mulberrydeck emulate`.
    loaded = loading.load(EXAMPLES / f"{name}.toml")
    assert report.of_valid(loaded).diagnostics == ()


@pytest.mark.parametrize(
    ("old", "new", "starts"),
    [pytest.param(*case, id=mistake) for mistake, *case in MISTAKES],
)
def test_mistake_is_reported(old, new, starts):
    assert old in samples.CLEAN_TOML
    lines = lines_of(check_text(samples.CLEAN_TOML.replace(old, new)))
    samples.assert_starts(lines, [f"warning: {start}" for start in starts])


def test_rule_that_selects_nobody_is_no_earlier_rule():
    # An empty selection must not count as one that earlier rules cover.
    text = samples.CLEAN_TOML.replace(GOLD, GOLD.replace("gold", "lead"))
    assert "never applies" not in "".join(lines_of(check_text(text)))


def test_positions_are_sorted_as_numbers():
    accounts = "".join(f'[[accounts]]\nname = "a{n}"\n' for n in range(12))
    text = samples.CLEAN_TOML.replace(
        'accounts = ""\ns', 'accounts = "tier"\ns'
    )
    places = [item.place for item in check_text(text + accounts).diagnostics]
    assert places == [f"accounts[{number}]" for number in range(1, 14)]


def test_known_account_without_key_is_reported():
    # A new account cannot have a key before it is in force.
    in_force = loading.loads(samples.CLEAN_TOML, "in force")
    text = samples.CLEAN_TOML + '[[accounts]]\nname = "new"\n'
    compared = reference.Reference(in_force, frozenset(["acme"]))
    lines = lines_of(check_text(text, compared))
    samples.assert_starts(
        lines,
        [
            "warning: accounts[1]: beta has no valid key; run `mulberrydeck",
            "change: accounts new: added",
        ],
    )


def test_zones_without_vm_and_vms_without_zone_are_reported():
    in_force = loading.loads(samples.CLEAN_TOML, "in force")
    zones = frozenset(["north-a", "north-b", "east-a"])
    compared = reference.Reference(in_force, vm_zones=zones)
    lines = lines_of(check_text(samples.CLEAN_TOML, compared))
    samples.assert_starts(
        lines,
        [
            "warning: zones: east-a is not declared, but VMs run there",
            "warning: zones[2]: no VM runs in south-a",
        ],
    )


def test_changes_are_named_with_old_and_new_values():
    in_force = loading.loads(samples.CLEAN_TOML, "in force")
    text = samples.CLEAN_TOML.replace("deadline_s = 5", "deadline_s = 8")
    text = text.replace("burst = 20", "burst = 30")
    text = text.replace('name = "permits-2"', 'name = "permits-9"')
    checked = check_text(text, reference.Reference(in_force))
    assert checked.is_clean()
    assert lines_of(checked) == [
        "change: limits gold: burst 20 -> 30",
        "change: services permits routes fees: deadline_s 5.0 -> 8.0",
        "change: targets permits-2: removed",
        "change: targets permits-9: added",
    ]


def test_long_lists_are_described_by_what_differs():
    # A zone may declare thousands of client blocks.
    blocks = [f"12.0.{number}.0/24" for number in range(200)]
    old = samples.CLEAN_TOML.replace('["11.0.0.0/24"]', str(blocks))
    new = samples.CLEAN_TOML.replace(
        '["11.0.0.0/24"]', str(blocks[7:] + ["13.0.0.0/8"])
    )
    compared = reference.Reference(loading.loads(old, "in force"))
    assert lines_of(check_text(new, compared)) == [
        "change: zones south-a: client_blocks added 13.0.0.0/8, removed "
        "12.0.0.0/24, 12.0.1.0/24, 12.0.2.0/24, 12.0.3.0/24, 12.0.4.0/24 and "
        "2 more"
    ]


def test_new_order_is_reported_beside_new_items():
    # The first matching rule counts, so the order is part of the change.
    first, second = samples.CLEAN_TOML.split("[[limits]]")[1:]
    head = samples.CLEAN_TOML.partition("[[limits]]")[0]
    added = second.replace("rest", "new").replace('""', '"!tier"')
    text = "[[limits]]".join([head, second, first, added])
    compared = reference.Reference(
        loading.loads(samples.CLEAN_TOML, "in force")
    )
    lines = lines_of(check_text(text, compared))
    assert "change: limits: order changed" in lines
    assert "change: limits new: added" in lines


def test_secrets_of_pasted_keys_are_not_printed():
    in_force = loading.loads(samples.CLEAN_TOML, "in force")
    text = samples.CLEAN_TOML.replace(
        ACCOUNT, f'{ACCOUNT}\nlabels = {{ key = "{SECRET}", name = "x" }}'
    )
    text = text.replace('"tier = gold"\nrate', f'"key != {SECRET}, a"\nrate')
    lines = "\n".join(lines_of(check_text(text, reference.Reference(in_force))))
    assert "mdk_0123456789abcdef_(secret)" in lines
    assert "5555" not in lines


def test_all_items_are_added_if_no_version_is_in_force():
    compared = reference.Reference(configuration.Configuration(), frozenset())
    checked = check_text(samples.CLEAN_TOML, compared)
    assert checked.is_clean()
    assert checked.count(diagnostics.Kind.CHANGE) > 10
