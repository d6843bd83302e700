"""`python -m pierglade.simulator_adapter`: nodes on standard input and output until the input ends."""

import sys

from pierglade.simulator_adapter.connection import Link, Malformed


def main():
    link = Link(sys.stdout.buffer)
    try:
        for line in sys.stdin.buffer:
            link.read(line)
    except Malformed as fault:
        print(f"pierglade.simulator_adapter: {fault}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
