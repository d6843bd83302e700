"""Parses and builds HTTP/1.1 messages, bounded in size.

The package neither uses sockets nor interprets messages. Start with `pierglade.proxy.http.reader`.
"""
