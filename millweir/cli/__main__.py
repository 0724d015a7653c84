"""Runs the command `millweir` where it is not installed: python -m millweir.cli."""

from millweir.cli import main

main()
