"""pierglade: a load-balancing proxy that routes around forecast pauses of its backends."""

__version__ = "0.4.0.dev0"
