"""Constants that several components of the proxy state share. Times are in ticks of 0.1 ms."""

NEVER = 1 << 62  # a time that is never reached
DEADLINE_MARGIN = 50  # 5 ms; attempts time out this much before the deadline, to answer in time
# File descriptors beyond the limit of connections: for those that replace others, for requests that
# are only rejected, and for DISCOVERY_DESCRIPTORS.
RESERVED_DESCRIPTORS = 16
DISCOVERY_DESCRIPTORS = 4  # connections to discovery, of which one may replace another
REUSE_DELAY = 100  # 10 ms; backends send duplicate responses some milliseconds after the first
# 300 ms; a lost duplicate is sent again by TCP after 200 ms or more (the least on Linux)
RETRANSMISSION_DELAY = 3000
# 60 s; how long a backend counts as one that sends duplicates after the last of them
DUPLICATES_EXPECTED_FOR = 600000
# Bytes per tick, which is 32 kB/s; half the rate of slow clients and backends. A body that arrives
# more slowly is taken for one that never ends.
MIN_BODY_RATE = 3.2
LOG_INTERVAL = 10000  # 1 s; frequent events are counted and logged once per interval

READY_PATH, LIVE_PATH, STATS_PATH = b"/health/ready", b"/health/live", b"/stats"

# Paths of the management calls.
STATUS_CALL, STANDBY_CALL, ACTIVE_CALL, BACKENDS_CALL, ADMISSION_CALL = (
    b"/status",
    b"/standby",
    b"/active",
    b"/backends",
    b"/admission",
)
