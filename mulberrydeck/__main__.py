"""Entry point of the program."""

from mulberrydeck.cli import main as cli


def main() -> None:
    """Runs the command line."""
    cli.main(prog_name="mulberrydeck")


if __name__ == "__main__":
    main()
