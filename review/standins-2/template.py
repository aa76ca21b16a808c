"""Fills a settings template of the deploy file, as DEPLOY.md ("Settings of a process") tells it."""

import json
import re

TAG = re.compile(r"\{\{([#^/]?)([^}]*)\}\}")


def lookup(path, scopes):
    """Returns the value at `path`, searched from the innermost scope outwards; None if missing."""
    if path == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for key in path.split("."):
            if isinstance(value, dict) and key in value:
                value = value[key]
            elif isinstance(value, list) and key.isdigit() and int(key) < len(value):
                value = value[int(key)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(as_text(entry) for entry in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def parse(text):
    """Returns the nodes of a template: texts, and tuples (sign, path, nodes)."""
    nodes, stack, position = [], [], 0
    for tag in TAG.finditer(text):
        nodes.append(text[position : tag.start()])
        position = tag.end()
        sign, path = tag.group(1), tag.group(2).strip()
        if sign in ("#", "^"):
            stack.append((nodes, sign, path))
            nodes = []
        elif sign == "/":
            outer, opened, path = stack.pop()
            outer.append((opened, path, nodes))
            nodes = outer
        else:
            nodes.append(("", path, []))
    nodes.append(text[position:])
    return nodes


def render(nodes, scopes, is_last=True):
    out = []
    for node in nodes:
        if isinstance(node, str):
            out.append(node)
            continue
        sign, path, inner = node
        if path == ",":
            out.append("" if is_last else ",")
            continue
        value = lookup(path, scopes)
        # 0 is a given value.
        is_given = value is not None and value is not False and value != [] and value != {}
        if sign == "":
            out.append(as_text(value))
        elif sign == "^":
            out.append("" if is_given else render(inner, scopes))
        elif is_given and isinstance(value, list):
            for number, entry in enumerate(value):
                out.append(render(inner, scopes + [entry], number == len(value) - 1))
        elif is_given:
            out.append(render(inner, scopes + [value]))
    return "".join(out)


def fill(text, fields):
    """Fills the template `text` with the settings `fields`."""
    return render(parse(text), [fields])
