"""Serves the simulator on standard input and output: `python -m pierglade.simulator_adapter`."""

import sys

from pierglade.simulator_adapter.connection import SimulatorConnection
from pierglade.simulator_adapter.messages import WireFormatError


def main() -> int:
    """Handles messages until the input ends; returns the exit status."""
    connection = SimulatorConnection(sys.stdout.buffer)
    try:
        for line in sys.stdin.buffer:
            connection.receive(line)
    except WireFormatError as error:
        print(f"pierglade.simulator_adapter: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
