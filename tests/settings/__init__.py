"""Tests of pierglade.settings."""
