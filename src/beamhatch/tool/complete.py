"""``beamhatch completion``: a script that completes commands and names in bash."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.tool.api import COMMANDS, EXIT_OK, register

if TYPE_CHECKING:
    import argparse

    from beamhatch.tool.client import AdminClient

_SCRIPT = """\
_beamhatch() {{
    local words="${{COMP_WORDS[*]:1:COMP_CWORD-1}}" current="${{COMP_WORDS[COMP_CWORD]}}" choices=""
    case "$words" in
        "") choices="{first}" ;;
{cases}
        "policy promote"|"policy withdraw"|compare*) choices="$(beamhatch complete-names policy 2>/dev/null)" ;;
        "config get") choices="$(beamhatch complete-names all 2>/dev/null)" ;;
    esac
    COMPREPLY=($(compgen -W "$choices" -- "$current"))
}}
complete -F _beamhatch beamhatch
"""


@register("completion", help_text="print completion for bash", example="source <(beamhatch completion)")
def print_completion(client: AdminClient, options: argparse.Namespace) -> int:
    """Print the script."""
    groups: dict[str, list[str]] = {}
    for words in COMMANDS:
        groups.setdefault(words[0], []).extend(words[1:])
    cases = "\n".join(
        f'        "{name}") choices="{" ".join(rest)}" ;;' for name, rest in sorted(groups.items()) if rest
    )
    print(_SCRIPT.format(first=" ".join(sorted(groups)), cases=cases), end="")
    return EXIT_OK


def add_names(parser: argparse.ArgumentParser) -> None:
    """Add the options of ``complete-names``."""
    parser.add_argument("kind", choices=["policy", "all"])


@register(
    "complete-names",
    help_text="names for completion",
    example="beamhatch complete-names policy",
    add_arguments=add_names,
)
def print_names(client: AdminClient, options: argparse.Namespace) -> int:
    """Print the names of documents."""
    reply = client.get("/config")
    names = reply.value["documents"] if reply.ok else {}
    prefix = f"{options.kind}/" if options.kind != "all" else ""
    print("\n".join(name.removeprefix(prefix) for name in names if name.startswith(prefix)))
    return EXIT_OK
