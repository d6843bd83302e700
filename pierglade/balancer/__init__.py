"""Selects the backend of each attempt, and decides on retries and rejections.

Contains no sockets, clocks or settings files. The entry point is `pierglade.balancer.balancer`.
"""
