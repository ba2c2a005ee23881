Feature: No target ever sees a caller's key

  Scenario: Keys are presented in every shape, directly and through relays
    Given a fleet that writes traces
    And a zone whose only target leaves
    When acme presents its key in every shape to every VM
    Then no target has seen the key
    And no metric or answer holds the key
    And logs and traces, which show relays, do not hold the key
