Feature: Promises to operators and their customers
  Every scenario runs three hosts, one in each availability zone, and services of three targets.

  Background:
    Given a site of three hosts in three availability zones

  Scenario: P1 A session reads its own writes after it moved to another host
    Given the replicas of counter lag by 500 ms
    When a caller writes 10 rows at host-a and reads each at host-b with its token
    Then every read shows the row

  Scenario: P2 A replaced primary acknowledges no write
    Given the primary of counter is cut off from everything but host-a
    When a caller at host-a writes while the other hosts promote another target
    Then no write is acknowledged that the new primary lacks

  Scenario: P3 Statements of different transactions are never mixed
    When one caller rolls back and another commits interleaved transactions at host-a
    Then only the rows of the committed transaction are there

  Scenario: P4 A request runs only for the customer of its key
    When a caller of archive asks host-a for counter
    Then the answer is SERVICE_NOT_ALLOWED

  Scenario: P5 No target receives a caller's key
    When a caller writes 5 rows at host-a
    Then no target was sent the caller's key or its hash

  Scenario: P6 A withdrawn key stops working on open connections
    Given an open session of menghina at every host
    When the key of menghina is withdrawn
    Then every session ends with KEY_WITHDRAWN within 2 seconds

  Scenario: P7 No customer gets more than its rate over all hosts
    Given menghina has a rate of 20 per second and a burst of 30
    When menghina sends as much as it can at all hosts for 5 seconds
    Then it gets no more than its rate and burst

  Scenario: P8 A zone that was taken out gets no new work
    Given menghina writes at every host
    When zone-a is taken out
    Then after 2 seconds no target in zone-a gets work and host-a is not ready

  Scenario: P9 A caller gets the complete answer to its own request
    Given the primary of counter loses the answer to every third commit
    When 8 callers at every host write and read rows of their own
    Then every answer belongs to its request

  Scenario: P10 A refusal that says not run is true
    Given host-a is cut off from the other hosts and from the store
    When a caller writes at host-a for 4 seconds
    Then no refused row that says not run is there

  Scenario: P11 A request runs at most once
    Given the primary of counter loses the answer to the next commit
    When a caller writes a row at host-a and sends it again at host-b with the same request id
    Then the row is there once

  Scenario: P12 A leaving target gets no new work
    Given menghina writes at every host
    When the primary of counter is set to leaving
    Then after 2 seconds it gets no work and writes go on

  Scenario: P13 A planned stop cuts no request
    Given a caller has an open transaction at host-c
    When host-c stops and the caller commits
    Then the transaction's rows are there and the roster has two hosts

  Scenario: P14 An accepted configuration is in force everywhere and never reverted
    When 5 patches are accepted at different hosts while host-c is paused for 3 seconds
    Then every version is in force within 2 seconds of the pause's end and none went back
