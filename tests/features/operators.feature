Feature: Operators change the configuration while others do the same

  Background:
    Given ann has applied the first configuration

  Scenario: Two operators apply files that were derived from the same version
    When ann and bob apply different files in the same moment
    Then one of them wins and the other is told who won
    And only the winner's change is in force

  Scenario: Two operators make small edits in the same moment
    When ann drains a target while bob labels an account
    Then both commands are done
    And both edits are in force

  Scenario: An operator applies a file that has been overtaken
    Given bob has drained a target
    When ann applies a file derived from the first version
    Then the command is refused with exit code 1
    And it says that bob came first and how to merge
    And the target is still draining

  Scenario: An answer is lost after the change took effect
    Given the platform loses the answer to the next write
    When ann drains a target
    Then the command is done
    And exactly one change was made

  Scenario: An answer is lost and another operator changes on top
    Given the platform loses the answer to the next write
    And bob's change follows before ann can read back
    When ann drains a target
    Then the command is done
    And exactly two changes were made
    And the target is still draining

  Scenario: A write is still on its way when the operator's command reads back
    Given the platform holds the next write until another comes
    When ann drains a target
    Then the command is done
    And exactly one change was made

  Scenario: The platform goes down after a change took effect
    Given the platform loses the next answer and then goes down
    When ann drains a target
    Then the command is refused with exit code 1
    And it says that the outcome is unknown
    And the same command is done once the platform is back
    And exactly one change was made

  Scenario: The platform is down
    Given the platform is down
    When ann drains a target
    Then the command is refused with exit code 1
    And it says that nothing was changed
    And no change was made

  Scenario: The platform answers reads from the past
    Given bob has drained a target
    And the platform answers reads from the past
    When ann labels an account
    Then the command is refused with exit code 1
    And it says that the platform shows an older version
    And the target is still draining

  Scenario: A key's answer is lost
    Given the platform loses the answer to the next write
    When ann issues a key
    Then the command is done
    And the key is shown once and its secret is stored nowhere
    And exactly one change was made
