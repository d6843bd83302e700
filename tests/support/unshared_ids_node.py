"""`python -m tests.support.unshared_ids_node`: a node that can't open the files of sent ids while a mark stands in $TMPDIR."""

import errno
import os
import sys

from pierglade import __main__ as node
from pierglade.proxy import server

MARK = "ids-can-not-be-opened"

IdFiles = server.IdFiles


def open_files(*arguments):
    if os.path.exists(os.path.join(os.environ["TMPDIR"], MARK)):
        raise OSError(errno.EIO, os.strerror(errno.EIO))
    return IdFiles(*arguments)


if __name__ == "__main__":
    server.IdFiles = open_files
    sys.exit(node.main())
