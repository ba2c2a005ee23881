Feature: Operators change the configuration while others do the same

  Background:
    Given ann has applied the first configuration

  Scenario: Two operators apply files that were derived from the same version
    When ann and bob apply different files at the same time
    Then one of them succeeds and the other is told who came first
    And only the successful change is in force

  Scenario: Two operators make small edits at the same time
    When ann drains a target while bob labels an account
    Then both commands succeed
    And both edits are in force

  Scenario: An operator applies a file based on an older version
    Given bob has drained a target
    When ann applies a file derived from the first version
    Then the command is refused with exit code 1
    And it says that bob came first and how to merge
    And the target is still draining

  Scenario: A response is lost after the change took effect
    Given the platform loses the response to the next write
    When ann drains a target
    Then the command succeeds
    And exactly one change was made

  Scenario: A response is lost and another operator makes a later change
    Given the platform loses the response to the next write
    And bob's change follows before ann can read back
    When ann drains a target
    Then the command succeeds
    And exactly two changes were made
    And the target is still draining

  Scenario: A write is still in flight when the operator's command reads back
    Given the platform holds the next write until a later one has ended
    When ann drains a target
    Then the command succeeds
    And exactly one change was made

  Scenario: The platform goes down after a change took effect
    Given the platform loses the next response and then goes down
    When ann drains a target
    Then the command is refused with exit code 1
    And it says that the outcome is unknown
    And the same command succeeds once the platform is back
    And exactly one change was made

  Scenario: The platform is down
    Given the platform is down
    When ann drains a target
    Then the command is refused with exit code 1
    And it says that nothing was changed
    And no change was made

  Scenario: The platform returns stale reads
    Given bob has drained a target
    And the platform returns stale reads
    When ann labels an account
    Then the command is refused with exit code 1
    And it says that the platform shows an older version
    And the target is still draining

  Scenario: The response to the issue of a key is lost
    Given the platform loses the response to the next write
    When ann issues a key
    Then the command succeeds
    And the key is shown once and its secret is stored nowhere
    And exactly one change was made
