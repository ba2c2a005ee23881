Feature: Shifts of traffic overload neither a link nor a region

  Every byte that VMs of one region send to another counts, as measured on the
  network, in every window of 1 second or more.

  Scenario: Uploads and answers want more than the link carries
    Given a fleet with low link caps that serves
    When the east has no targets and sends twice its link caps for 10 seconds
    Then the links stayed within their caps
    And both links carried at least 60 percent of their caps
    And every request got a complete response or a refusal

  Scenario: The targets of a region die under load
    Given a fleet with low link caps that serves
    When callers offer more load than one region can serve for 12 seconds
    And all targets of the east die
    Then no target ran more than its slots
    And excess requests were refused at once and did not run
    And the links stayed within their caps

  Scenario: A region dies under load
    Given a fleet with low link caps that serves
    When callers offer more load than one region can serve for 12 seconds
    And all VMs and targets of the east die
    Then no target ran more than its slots
    And excess requests were refused at once and did not run
    And the links stayed within their caps

  Scenario: A VM gets no quota of its link
    Given a fleet with low link caps that serves
    When a VM of the east is left without link quota and targets
    Then a request that needs the link ends at its deadline as not run
