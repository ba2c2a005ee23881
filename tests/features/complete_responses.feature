Feature: A caller receives the complete response to its own request

  Scenario Outline: A target sends broken responses
    Given a fleet with an idle timeout of 1 second
    When a target has the fault <fault> while callers send requests for 4 seconds
    Then every complete response belongs to its request
    And every refusal reports correctly whether the request ran
    And at least 50 percent of the responses were complete

    Examples:
      | fault    |
      | truncate |
      | overlong |
      | reset    |
      | hang     |

  Scenario Outline: Connections to targets or between VMs break
    Given a fleet with an idle timeout of 1 second
    When <kind> connections <fault> while callers send requests for 5 seconds
    Then every complete response belongs to its request
    And every refusal reports correctly whether the request ran
    And every VM responds again

    Examples:
      | kind   | fault             |
      | target | go silent         |
      | relay  | go silent         |
      | target | are cut           |
      | relay  | are cut           |
      | target | freeze and resume |
      | relay  | freeze and resume |

  Scenario: Large responses are cut off in transit
    Given a fleet with an idle timeout of 1 second
    When target connections are cut while callers request large responses
    Then every complete response belongs to its request
    And every refusal reports correctly whether the request ran
