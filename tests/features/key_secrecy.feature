Feature: No target ever sees a caller's key

  Scenario: Keys are presented in every form, directly and through relays
    Given a fleet that writes traces
    And a zone whose only target is leaving
    When acme presents its key in every form to every VM
    Then no target has seen the key
    And no metric or response contains the key
    And logs and traces, which include relayed requests, do not contain the key
