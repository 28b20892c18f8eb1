"""A controller with one mechanism turned off, to see a test go red."""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import argparse

from mulberrywharf import settings
from mulberrywharf.programs import controller


def main() -> None:
    """Runs it until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", required=True)
    parser.add_argument(
        "--off", choices=controller.Mechanisms._fields, required=True
    )
    arguments = parser.parse_args()
    mechanisms = controller.Mechanisms()._replace(**{arguments.off: False})
    controller.run(settings.load(arguments.settings).unwrap(), mechanisms)


if __name__ == "__main__":
    main()
