"""Constants that several parts of the proxy state share. Times are tenths of a millisecond."""

NEVER = 1 << 62  # a moment that does not come
MARGIN = (
    50  # 5 ms; an attempt times out this much before the deadline, so that the answer is in time
)
SPARE = (
    16  # descriptors beside connections: discovery's, and those that close in the next iteration
)
REST = 100  # 10 ms; second responses came up to 4 ms late: none may answer the next attempt
LOG_INTERVAL = 10000  # 1 s; events that come by hundreds are logged once in this time

READY_PATH, LIVE_PATH, STATS_PATH = b"/health/ready", b"/health/live", b"/stats"

# Paths of the operators' management calls.
STATUS_CALL, STANDBY_CALL, ACTIVE_CALL, BACKENDS_CALL, ADMISSION_CALL = (
    b"/status",
    b"/standby",
    b"/active",
    b"/backends",
    b"/admission",
)
