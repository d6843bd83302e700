"""`python -m pierglade.benchlink`: nodes on standard input and output until the input ends."""

import sys

from pierglade.benchlink.link import Link, Malformed


def main():
    link = Link(sys.stdout.buffer)
    try:
        for line in sys.stdin.buffer:
            link.read(line)
    except Malformed as fault:
        print(f"pierglade.benchlink: {fault}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
