Feature: A request that may not be repeated runs at most once

  A request that was refused as not run did not run.

  Scenario: A caller sends a finished run again through another VM
    Given a fleet that serves
    When a fee is paid through "east-a-vm1"
    And the same fee is paid again through "west-a-vm1"
    Then the first response has status 200
    And the second response is a refusal of kind "run-finished"
    And the outcome through "east-b-vm1" is "finished"
    And the fee ran once

  Scenario: A target drops the connection after it has read the request
    Given a fleet that serves
    And every target drops the connection of its next request
    When a fee is paid through "east-a-vm1"
    And the same fee is paid again through "west-a-vm1"
    Then the first response is a refusal of kind "outcome-unknown"
    And the second response is a refusal of kind "run-started"
    And the outcome through "east-b-vm1" is "started"
    And the fee ran once

  Scenario: A target runs the request and responds with 503
    Given a fleet that serves
    And every target responds to its next run with 503
    When a fee is paid through "east-a-vm1"
    And the same fee is paid again through "west-a-vm1"
    Then the first response is a refusal of kind "outcome-unknown"
    And the second response is a refusal of kind "run-finished"
    And the outcome through "east-b-vm1" is "finished"
    And the fee ran once

  Scenario: The VM dies while the target works
    Given a fleet that serves
    When the VM "east-b-vm1" dies while a fee runs
    And the same fee is paid again through "east-a-vm1"
    Then the first request gets no response
    And the second response is a refusal of kind "run-started"
    And the fee ran once

  Scenario: The platform is down
    Given a fleet that serves
    And the platform refuses all calls
    When a fee is paid through "east-a-vm1"
    Then the first response is a refusal of kind "run-not-recorded"
    And the first response says that the fee did not run
    When the platform works again
    And the same fee is paid again through "west-a-vm1"
    Then the second response has status 200
    And the fee ran once

  Scenario: The platform's response is lost after the claim was made
    Given a fleet that serves
    And the platform loses its next response
    When a fee is paid through "east-a-vm1"
    And the same fee is paid again through "west-a-vm1"
    Then the first response has status 200
    And the second response is a refusal
    And the fee ran once

  Scenario: The same fee is paid through all VMs at once
    Given a fleet that serves
    When the same fee is paid 5 times through each VM at once
    Then exactly one of the responses has status 200
    And the fee ran once

  Scenario: Callers retry while VMs, targets and platform fail in turn
    Given a fleet that serves
    When many fees are paid with retries while VMs, targets and platform fail
    Then no fee ran twice
    And every fee that was refused as not run did not run
    And at least half of the fees were paid

  Scenario: VMs freeze, stop and die while callers send each fee once
    Given a fleet that serves
    When many fees are paid without retries while VMs freeze, stop and die
    Then no fee ran twice
    And every fee that was refused as not run did not run
    And at least half of the fees were paid
