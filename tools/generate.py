#!/usr/bin/env python3
"""Generates the message and settings code from the files in schema/.

Usage: tools/generate.py [--check]

With --check nothing is written; the exit status is 1 if a committed file differs from what would be generated.
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
    """Turns max-head-bytes into maxHeadBytes, or MaxHeadBytes if upper is set."""
    words = text.split("-")
    head = words[0].capitalize() if upper else words[0]
    return head + "".join(word.capitalize() for word in words[1:])


def load_setting(row):
    """Turns one row of the settings schema into a mapping for the templates."""
    name, kind, default, doc, *bounds = row
    low, high = bounds if kind in NUMBER_TYPES else (0, 0)
    return {"name": name, "kind": kind, "default": default, "doc": doc, "low": low, "high": high,
            "field": camel(name), "type": CXX_TYPES[kind]}


def load_schema():
    """Reads both schema files."""
    messages = json.loads((ROOT / "schema/messages.json").read_text())
    settings = json.loads((ROOT / "schema/settings.json").read_text())
    for command in settings["commands"]:
        command["identifier"] = camel(command["name"])
        command["type"] = camel(command["name"], upper=True) + "Settings"
        command["settings"] = [load_setting(row) for row in command["settings"]]
    return {"enums": messages["enums"], "messages": messages["messages"], "commands": settings["commands"]}


def render(schema, template):
    """Renders one template and formats the result."""
    loader = jinja2.FileSystemLoader(ROOT / "tools/templates")
    env = jinja2.Environment(loader=loader, trim_blocks=True, lstrip_blocks=True, keep_trailing_newline=True)
    text = env.get_template(template).render(**schema)
    result = subprocess.run(["clang-format", "--assume-filename=" + str(ROOT / "generated/x.cpp")], input=text,
                            capture_output=True, text=True, check=True)
    return result.stdout


def main():
    """Writes or checks all outputs."""
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
