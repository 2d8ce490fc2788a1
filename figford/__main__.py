"""Runs the `figford` command as a module."""

from figford import cli

if __name__ == "__main__":
    cli.main()
