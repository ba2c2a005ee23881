Feature: No client account gets more than its rate and burst

  The limit holds over all VMs together and in every window of time. It counts
  each run that a target logged, at the time at which a VM sent it.

  Scenario: An account sends several times its rate through all VMs
    Given a fleet that serves
    When acme sends 4 times its rate through all VMs for 6 seconds
    Then acme never got more than its rate and burst
    And acme got at least 80 percent of its rate

  Scenario: An account sends several times its rate through one VM
    Given a fleet that serves
    When acme sends 4 times its rate through one VM for 6 seconds
    Then acme never got more than its rate and burst
    And acme got at least 80 percent of its rate

  Scenario: A VM is killed and replaced while an account is over its rate
    Given a fleet that serves
    When acme sends 4 times its rate through all VMs for 12 seconds
    And a VM is killed and replaced meanwhile
    Then acme never got more than its rate and burst

  Scenario: A zone is cut off while an account is over its rate
    Given a fleet that serves
    When acme sends 4 times its rate through all VMs for 14 seconds
    And a zone is cut off and healed meanwhile
    Then acme never got more than its rate and burst

  Scenario: A VM is paused beyond the end of its leases
    Given a fleet that serves
    When acme sends 4 times its rate through all VMs for 14 seconds
    And a VM is paused for longer than its leases meanwhile
    Then acme never got more than its rate and burst

  Scenario: An account within its rate uses one VM only
    Given a fleet that serves
    When acme sends 0.8 times its rate through one VM for 10 seconds
    Then fewer than 0.5 percent of its requests were refused after the start

  Scenario: The only VM of a region is replaced
    Given a fleet that serves
    When the only VM of the west is replaced
    And acme sends 4 times its rate through the new VM for 12 seconds
    Then acme never got more than its rate and burst

  Scenario: An operator halves and restores a rate under way
    Given a fleet that serves
    When acme sends 4 times its rate through all VMs for 15 seconds
    And an operator halves the rate of acme meanwhile
    Then acme never got more than its rate and burst
    And acme kept to half its rate from 4 seconds after the change
