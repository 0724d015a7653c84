"""python -m millweir.cli: the command, where it is not installed."""

from millweir.cli import main

main()
