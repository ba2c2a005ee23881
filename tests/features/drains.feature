Feature: Planned drains and stops cut off nothing

  A leaving target receives no new work after 3 seconds. A planned stop of a
  VM ends every request whole. A zone that is cut off from the platform and
  from its peers learns of a drain when the cut has healed.

  Scenario: Targets leave by command and by their own report under load
    Given a fleet that serves
    When callers follow look-ups for 14 seconds
    And an operator drains the busiest target of east-a
    Then that target gets no work later than 3 seconds after it
    When the busiest target of west-a says that it leaves
    Then that target gets no work later than 3 seconds after it
    And every request was served

  Scenario Outline: A VM stops while long transfers pass through it
    Given a fleet that serves
    And all work of the east goes through <vm>
    When callers follow look-ups for 13 seconds
    And long transfers pass through <vm>
    And <vm> is told to stop
    Then other VMs stop naming <vm> while it still answers
    And <vm> ends with exit code 0
    And every long transfer ended whole
    And every request was served
    And no caller found a closed port

    Examples:
      | vm         |
      | east-a-vm2 |
      | east-b-vm1 |

  Scenario: A target is drained while a VM stops
    Given a fleet that serves
    When callers follow look-ups for 11 seconds
    And east-b-vm1 is told to stop
    And an operator drains the busiest target of east-a
    Then that target gets no work later than 3 seconds after it
    And east-b-vm1 ends with exit code 0
    And every request was served
    And no caller found a closed port

  Scenario: Targets are drained while a zone is cut off
    Given a fleet that serves
    When callers follow look-ups for 16 seconds
    And west-a is cut off
    And an operator drains the busiest target of east-a and permits-west-a-1
    Then that target gets no work later than 3 seconds after it
    When the cut heals
    Then permits-west-a-1 gets no work later than 3 seconds after that
    And every request was served
