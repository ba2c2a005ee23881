Feature: Planned drains and stops interrupt no request

  A target that is leaving receives no new work after 3 seconds. During a
  planned stop of a VM every request completes. A zone that is cut off from the
  platform and from its peers learns of a drain when the cut has healed.

  Scenario: Targets leave under load by command and by their own report
    Given a fleet that serves
    When callers choose VMs by lookup for 14 seconds
    And an operator drains the busiest target of east-a
    Then that target gets no new work later than 3 seconds after it leaves
    When the busiest target of west-a reports that it is leaving
    Then that target gets no new work later than 3 seconds after it leaves
    And every request was served

  Scenario Outline: A VM stops while long transfers pass through it
    Given a fleet that serves
    And all targets of the east are drained but one that <vm> owns
    When callers choose VMs by lookup for 13 seconds
    And long transfers pass through <vm>
    And <vm> is told to stop
    Then lookups at other VMs omit <vm> while it still serves
    And <vm> ends with exit code 0
    And every long transfer completed
    And every request was served
    And no caller had to try another VM

    Examples:
      | vm         |
      | east-a-vm2 |
      | east-b-vm1 |

  Scenario: A target is drained while a VM stops
    Given a fleet that serves
    When callers choose VMs by lookup for 11 seconds
    And east-b-vm1 is told to stop
    And an operator drains the busiest target of east-a
    Then that target gets no new work later than 3 seconds after it leaves
    And east-b-vm1 ends with exit code 0
    And every request was served
    And no caller had to try another VM

  Scenario: Targets are drained while a zone is cut off
    Given a fleet that serves
    When callers choose VMs by lookup for 16 seconds
    And west-a is cut off
    And an operator drains the busiest target of east-a and permits-west-a-1
    Then that target gets no new work later than 3 seconds after it leaves
    When the cut heals
    Then permits-west-a-1 gets no new work later than 3 seconds after the cut healed
    And every request was served
