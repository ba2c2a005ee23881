Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: Every VM applies an accepted change
    Given the Kilele deployment runs
    When an operator drains a target
    Then the change is in force on every VM
    And no VM has reported an older version after a newer one

  Scenario: The platform returns stale reads
    Given the small deployment runs with a second version in force
    When the platform returns reads from before the second version
    And every VM has read from the platform again
    Then the second version is in force on every VM
    When the platform returns current reads
    And an operator drains a target
    Then the change is in force on every VM
    And no VM has reported an older version after a newer one

  Scenario: A VM restarts while the platform returns stale reads
    Given the small deployment runs with a second version in force
    When the platform returns reads from before the second version
    And a VM is killed and starts again
    Then the second version is in force on every VM
    And no VM has reported an older version after a newer one

  Scenario: A VM restarts while the platform returns a key from before its withdrawal
    Given the small deployment runs with a withdrawn key
    When the platform returns reads from before the withdrawal
    And a VM is killed and starts again
    Then the withdrawn key is refused until the VM knows of the withdrawal
    And no VM has reported an older version after a newer one

  Scenario: A VM restarts during an outage of the platform
    Given the small deployment runs with a second version in force
    When the platform is down
    And a VM is killed and starts again
    Then the second version is in force on every VM
    When the platform is back
    And an operator drains a target
    Then the change is in force on every VM
    And no VM has reported an older version after a newer one

  Scenario: A zone is cut off from the platform only
    Given the small deployment runs
    When a zone cannot reach the platform
    And an operator drains a target
    Then the change is in force on every VM

  Scenario: A zone is cut off from everything during a change
    Given the small deployment runs with a second version in force
    When a zone is cut off from everything
    And an operator drains a target
    Then the change is in force on every VM elsewhere
    And the cut-off zone keeps the second version
    When the cut ends
    Then the change is in force on every VM
    And no VM has reported an older version after a newer one

  Scenario: A VM is paused during a change
    Given the small deployment runs with a second version in force
    When a VM is paused
    And an operator drains a target
    Then the change is in force on every VM elsewhere
    When the paused VM resumes
    Then the change is in force on every VM
    And no VM has reported an older version after a newer one

  Scenario: Several operators change labels at the same time
    Given the small deployment runs
    When several operators change labels at the same time
    Then all their labels are in force on every VM
    And no VM has reported an older version after a newer one

  Scenario: The response to a change is lost
    Given the small deployment runs
    When the platform loses the response to an operator's change
    Then exactly one change was made
    And the change is in force on every VM
