"""Constants that several components of the proxy state share. Times are in ticks of 0.1 ms."""

NEVER = 1 << 62  # a time that is never reached
DEADLINE_MARGIN = 50  # 5 ms; attempts time out this much before the deadline, to answer in time
# File descriptors beside connections: discovery's, and those that close in the next iteration.
RESERVED_DESCRIPTORS = 16
REUSE_DELAY = 100  # 10 ms; a backend's duplicate response came up to 4 ms after the first one
LOG_INTERVAL = 10000  # 1 s; frequent events are counted and logged once in this time

READY_PATH, LIVE_PATH, STATS_PATH = b"/health/ready", b"/health/live", b"/stats"

# Paths of the management calls.
STATUS_CALL, STANDBY_CALL, ACTIVE_CALL, BACKENDS_CALL, ADMISSION_CALL = (
    b"/status",
    b"/standby",
    b"/active",
    b"/backends",
    b"/admission",
)
