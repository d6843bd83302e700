"""HTTP/1.1 messages out of bytes and back, bounded in size.

Not for sockets or for what a message means. Start with `pierglade.proxy.http.reader`.
"""
