Feature: A zone that is cut off keeps serving what it can

  Scenario: A zone cut off from platform and peers serves its own targets
    Given a fleet that serves
    When the zone "west-a" is cut off for 12 seconds under load
    Then requests at "west-a-vm1" were served from its own zone throughout
    And single runs at "west-a-vm1" were refused as not run
    And open requests at "west-a-vm1" were served throughout

  Scenario: Nothing reverts when a cut heals
    Given a fleet that serves
    When the zone "west-a" is cut off
    And an operator drains "permits-east-a-1" and withdraws a key
    And the cut heals
    Then every VM applies the latest configuration and keyring
    And no VM's versions ever decreased
    And the withdrawn key is refused by every VM

  Scenario: A cut-off zone stops accepting keys after the configured time
    Given a fleet whose VMs accept keys for 3 seconds when cut off
    When the zone "west-a" is cut off
    Then "west-a-vm1" eventually refuses keys as "keys-stale"
    And open requests at "west-a-vm1" are served
    When the cut heals
    Then "west-a-vm1" serves keyed requests again

  Scenario: The platform is down while a VM restarts
    Given a fleet that serves
    When the platform refuses all calls and "east-a-vm2" restarts
    Then "east-a-vm2" learns configuration and keys from its peers
    And all VMs serve keyed requests

  Scenario: A withdrawn key is refused on an open connection without the platform
    Given a fleet that serves
    When "west-a-vm1" is cut off from the platform but not from its peers
    And the key in use at "west-a-vm1" is withdrawn
    Then the open connection at "west-a-vm1" is refused within 4 seconds
