"""For how long the decision to send a request to a target holds.

Limits and the state of targets are checked when a request is handled, and its
first byte is written a little later: after a connection was opened, and after
other work of the process. On a busy VM, or one that has stalled, requests that
were decided one by one would be written together, and some of them after a
change that forbids them. So a request whose first byte would be later than this
is decided anew; nothing was sent, and it may run elsewhere.
"""

# Several connections of 40 ms each between distant regions, and less than any
# time limit on changes of configurations and targets.
SEND_WITHIN_S = 0.15
