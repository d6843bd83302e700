"""pierglade: a load-balancing proxy that rotates around forecast pauses."""
