"""Runs the `figford` command."""

import os


def main() -> None:
    """Runs the command with plain help texts.

    The library that renders coloured help would cost an entry some
    megabytes of memory.
    """
    os.environ.setdefault("TYPER_USE_RICH", "0")
    from figford import cli

    cli.main()


if __name__ == "__main__":
    main()
