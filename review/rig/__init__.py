"""Stand-ins and helpers that the cases below `review/` share."""
