Feature: A caller receives the whole answer to its own request

  Scenario Outline: A target breaks its answers
    Given a fleet that gives up silence after 1 second
    When a target's answers <fault> while callers ask for 4 seconds
    Then every whole answer is the asked one
    And every refusal is true
    And at least 50 percent of the answers were whole

    Examples:
      | fault    |
      | truncate |
      | overlong |
      | reset    |
      | hang     |

  Scenario Outline: Something between the ends breaks connections
    Given a fleet that gives up silence after 1 second
    When <kind> connections <fault> while callers ask for 5 seconds
    Then every whole answer is the asked one
    And every refusal is true
    And every VM answers again

    Examples:
      | kind   | fault            |
      | target | go silent        |
      | relay  | go silent        |
      | target | are cut          |
      | relay  | are cut          |
      | target | freeze and thaw  |
      | relay  | freeze and thaw  |

  Scenario: Large answers are cut off on their way
    Given a fleet that gives up silence after 1 second
    When target connections are cut while callers ask for large answers
    Then every whole answer is the asked one
    And every refusal is true
