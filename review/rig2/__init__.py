"""Stand-ins and helpers of the second review: backends, discovery, clients and node processes."""
