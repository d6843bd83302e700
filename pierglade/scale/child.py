"""What the processes of a scale run have in common: they answer each line of JSON on standard input.

The first line on standard output says that they are up. They end with their standard input.
"""

import asyncio
import os
import sys

import msgspec

LINE_MOST = 1 << 24  # bytes of a command


def say(told):
    """One line to whoever started this."""
    data = msgspec.json.encode(told) + b"\n"
    while data:
        data = data[os.write(1, data) :]


def fail(line):
    print(line, file=sys.stderr)
    sys.exit(2)


async def obey(commands):
    """Carries out `commands[name](**rest)` for each line until there is no more."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(LINE_MOST)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        say(answer(commands, line))


def answer(commands, line):
    told = msgspec.json.decode(line)
    return commands[told.pop("do")](**told) or {}
