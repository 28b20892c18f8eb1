"""Defines the command line of mulberryctl and its help texts."""

import argparse
import ipaddress

from mulberrywharf.fleet import Address

_DESCRIPTION = """\
Reads and changes the rules of a deployment, and shows the state of its fleet.

At the start of a shift:  mulberryctl handover
To change the rules:
  mulberryctl show > rules.json     save the rules in force
  (edit rules.json)
  mulberryctl check rules.json      list faults and warnings
  mulberryctl plan rules.json       show what would change and why
  mulberryctl apply rules.json --author NAME --note "why"
"""

_EPILOG = """\
exit codes:
  0  done
  1  the document has faults (with --strict: or warnings)
  2  the command line cannot be used
  3  another operator changed the rules first; nothing of yours was applied
  4  the platform or the nodes cannot be reached
  5  apply: accepted, but not known to be in force on every node;
     handover: part of the picture could not be read
  6  a node rejects the operator's token
"""

_AUDIT_TEXT_LIMIT_COUNT = 500
_TOKEN_ENV = "MULBERRY_OPERATOR_TOKEN"


def address(text: str) -> Address:
    """Parses ``ip:port`` or ``[ip6]:port``; host names are rejected."""
    ip, _, port = text.rpartition(":")
    ip = ip.strip("[]")
    try:
        ipaddress.ip_address(ip)
        number = int(port)
    except ValueError:
        number = -1
    if not 0 < number <= 65_535:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not an IP address and port, such as 10.0.0.1:2379"
        )
    return Address(ip, number)


def _duration_s(text: str) -> float:
    try:
        value_s = float(text)
    except ValueError:
        value_s = -1.0
    if not 0 <= value_s <= 3600:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not a duration from 0 to 3600 seconds"
        )
    return value_s


def _whole_number(text: str) -> int:
    try:
        value = int(text)
    except ValueError:
        value = -1
    if value < 0:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not a whole number of 0 or more"
        )
    return value


def _audit_text(text: str) -> str:
    # Other operators print this text in their terminals, where control
    # characters could hide or forge lines of the history.
    if not text.strip() or len(text) > _AUDIT_TEXT_LIMIT_COUNT:
        raise argparse.ArgumentTypeError(
            f"must have 1 to {_AUDIT_TEXT_LIMIT_COUNT} characters, not only "
            "blanks"
        )
    if not text.isprintable():
        raise argparse.ArgumentTypeError(
            "must be one line of printable characters"
        )
    return text


def build_parser() -> argparse.ArgumentParser:
    """Builds the parser for all commands."""
    parser = argparse.ArgumentParser(
        prog="mulberryctl",
        description=_DESCRIPTION,
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    _add_global_arguments(parser)
    commands = parser.add_subparsers(
        dest="command", required=True, metavar="COMMAND"
    )
    _add_document_commands(commands)
    _add_read_only_commands(commands)
    return parser


def _add_global_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--deployment", default="", help="name of the deployment"
    )
    parser.add_argument(
        "--platform",
        metavar="IP:PORT",
        type=address,
        action="append",
        default=[],
        help="endpoint of the key-value service; repeat the option for each "
        "endpoint",
    )
    parser.add_argument(
        "--vm-list",
        metavar="IP:PORT",
        type=address,
        help="address of the VM list (default: the first --platform)",
    )
    parser.add_argument(
        "--node",
        metavar="IP:PORT",
        type=address,
        action="append",
        default=[],
        help="admin listener of a node; repeat the option for each node "
        "(default: the entry VMs in the VM list and the controllers that hold "
        "a lease)",
    )
    parser.add_argument(
        "--operator-token-env",
        metavar="NAME",
        default=_TOKEN_ENV,
        help="environment variable that holds the operator's token "
        "(default: %(default)s)",
    )
    parser.add_argument(
        "--timeout-s",
        type=_duration_s,
        default=3.0,
        help="timeout of each call in seconds (default: %(default)s)",
    )
    parser.add_argument(
        "--output",
        choices=("text", "json"),
        default="text",
        help="output format; json prints one object, for errors too "
        "(default: %(default)s)",
    )


def _add_document_commands(commands: "argparse._SubParsersAction") -> None:
    check = commands.add_parser(
        "check",
        help="list faults and warnings in a document",
        description="Checks a document without changing anything. Compares "
        "it with the engines in the VM list only if --platform or --vm-list "
        "is given.",
    )
    plan = commands.add_parser(
        "plan",
        help="show what a document would change, and why",
        description="Dry run: shows the difference from the rules in force "
        "and, for each zone, the rule that would apply to what its controller "
        "sees now. Assumes that this state lasts, so for_s is ignored.",
    )
    apply = commands.add_parser(
        "apply",
        help="put a document in force and wait until all nodes run it",
        description="Checks the document, changes the configuration unless "
        "another operator changed it after the version that you edited, and "
        "waits until every node reports the new version. Running it again "
        "with the same --change-id never applies it twice.",
    )
    for command in (check, plan, apply):
        command.add_argument("file", help="document, JSON with comments")
        command.add_argument(
            "--strict", action="store_true", help="treat warnings as faults"
        )
    _add_apply_arguments(apply)


def _add_apply_arguments(apply: argparse.ArgumentParser) -> None:
    apply.add_argument(
        "--note",
        required=True,
        type=_audit_text,
        help="reason for the change, for the audit trail",
    )
    apply.add_argument(
        "--author",
        required=True,
        type=_audit_text,
        help="your name, for the audit trail",
    )
    apply.add_argument(
        "--base-version",
        type=_whole_number,
        help="version that you edited, 0 if there is none yet (default: from "
        "the line '// base-version: N' that show wrote into the file)",
    )
    apply.add_argument(
        "--change-id",
        type=_audit_text,
        help="id of an earlier run whose outcome is unknown, to repeat it "
        "(default: a new id)",
    )
    apply.add_argument(
        "--wait-s",
        type=_duration_s,
        default=15.0,
        help="how long to wait for the nodes, in seconds "
        "(default: %(default)s)",
    )


def _add_read_only_commands(commands: "argparse._SubParsersAction") -> None:
    commands.add_parser("show", help="print the rules in force")
    history = commands.add_parser(
        "history", help="list the latest changes to the rules"
    )
    history.add_argument(
        "--count",
        type=_whole_number,
        default=10,
        help="maximum number of changes (default: %(default)s)",
    )
    explain = commands.add_parser(
        "explain",
        help="show which rule applies in each zone, and its inputs",
    )
    explain.add_argument(
        "--zone", help="show only this availability zone (default: all)"
    )
    commands.add_parser("status", help="show the state of every node")
    commands.add_parser(
        "handover",
        help="all that the next shift must know",
        description="Shows the rules in force, the wanted and the seen state "
        "of each engine, and the orders in flight with their reasons.",
    )
