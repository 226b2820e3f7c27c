#!/usr/bin/env python3
"""Generates the C++ code of messages and settings from the schemas in schema/.

Usage: tools/generate.py [--check]

With --check the script writes nothing and exits with status 1 if a generated file is out of date.
"""
import json
import pathlib
import subprocess
import sys

import jinja2

ROOT = pathlib.Path(__file__).resolve().parent.parent
OUTPUTS = {
    "generated/shallotrelay/messages.h": "messages.h.j2",
    "generated/messagecodec.cpp": "messagecodec.cpp.j2",
    "generated/shallotrelay/settings.h": "settings.h.j2",
    "generated/settings.cpp": "settings.cpp.j2",
}
NUMBER_TYPES = {"Count"}
CXX_TYPES = {
    "Address": "Address", "AddressList": "std::vector<Address>", "Name": "std::string", "Text": "std::string",
    "Path": "std::string", "Count": "std::uint32_t", "Duration": "std::chrono::nanoseconds", "LogLevel": "std::string",
    "Fraction": "double",
}


def camel(text, upper=False):
    """Converts max-head-bytes to maxHeadBytes, or to MaxHeadBytes if upper is set."""
    words = text.split("-")
    head = words[0].capitalize() if upper else words[0]
    return head + "".join(word.capitalize() for word in words[1:])


def load_setting(row):
    """Converts one row of the settings schema to a dictionary for the templates."""
    name, kind, default, doc, *limits = row
    low, high = limits if kind in NUMBER_TYPES else (0, 0)
    return {"name": name, "kind": kind, "default": default, "doc": doc, "low": low, "high": high,
            "field": camel(name), "type": CXX_TYPES[kind]}


def load_schema():
    """Returns the contents of both schema files, with the names and types that the templates need."""
    messages = json.loads((ROOT / "schema/messages.json").read_text())
    settings = json.loads((ROOT / "schema/settings.json").read_text())
    for command in settings["commands"]:
        command["identifier"] = camel(command["name"])
        command["type"] = camel(command["name"], upper=True) + "Settings"
        command["settings"] = [load_setting(row) for row in command["settings"]]
    return {"enums": messages["enums"], "messages": messages["messages"], "commands": settings["commands"]}


def render(schema, template):
    """Returns the rendered template, formatted by clang-format."""
    loader = jinja2.FileSystemLoader(ROOT / "tools/templates")
    env = jinja2.Environment(loader=loader, trim_blocks=True, lstrip_blocks=True, keep_trailing_newline=True)
    text = env.get_template(template).render(**schema)
    result = subprocess.run(["clang-format", "--assume-filename=" + str(ROOT / "generated/x.cpp")], input=text,
                            capture_output=True, text=True, check=True)
    return result.stdout


def main():
    """Writes all files that are out of date, or only lists them with --check."""
    check = "--check" in sys.argv[1:]
    schema = load_schema()
    stale = []
    for path, template in OUTPUTS.items():
        text = render(schema, template)
        target = ROOT / path
        if target.exists() and target.read_text() == text:
            continue
        stale.append(path)
        if not check:
            target.parent.mkdir(parents=True, exist_ok=True)
            target.write_text(text)
    for path in stale:
        print(("stale: " if check else "wrote: ") + path)
    return 1 if check and stale else 0


if __name__ == "__main__":
    sys.exit(main())
