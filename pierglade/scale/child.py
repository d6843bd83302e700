"""The command protocol of the processes of a scale run.

A process writes one line of JSON to standard output when it has started, then answers each line of JSON
on standard input. It exits when standard input is closed.
"""

import asyncio
import os
import sys

import msgspec

MAX_COMMAND_BYTES = 1 << 24


def write_message(message):
    """Writes a message to the parent process, as one line of JSON."""
    data = msgspec.json.encode(message) + b"\n"
    while data:
        data = data[os.write(1, data) :]


def exit_with_error(message):
    """Prints a one-line error and exits with status 2."""
    print(message, file=sys.stderr)
    sys.exit(2)


async def serve_commands(commands):
    """Runs and answers each command until standard input ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(MAX_COMMAND_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        write_message(run_command(commands, line))


def run_command(commands, line):
    """Calls the command that the key `do` of a JSON line names, with the other keys as arguments."""
    command = msgspec.json.decode(line)
    return commands[command.pop("do")](**command) or {}
