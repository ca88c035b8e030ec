"""placeholder"""


def add_parser(subparsers):
    return subparsers
