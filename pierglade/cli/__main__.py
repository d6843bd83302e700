"""`python -m pierglade.cli`: runs the command line where `pierglade` is not on the PATH."""

from pierglade.cli import main

main(prog_name="pierglade")
