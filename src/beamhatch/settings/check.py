"""Check settings and configuration documents, and report every error at once with its place and remedy."""

from __future__ import annotations

import hashlib
import ipaddress
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
import pyjson5
from jsonschema import Draft202012Validator

from beamhatch.settings.place import Places, locate
from beamhatch.settings.schema import Document, Policy, Pool, Settings, Slice, Workspace
from beamhatch.settings.selector import SelectorError, parse_selector

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from jsonschema import ValidationError

Finding = tuple[tuple[str | int, ...], str, str]
"""A path, what is wrong there, and the remedy."""

MAX_FILE_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing that is wrong, where it stands, and what to do."""

    source: str
    line: int
    path: str
    message: str
    remedy: str

    def __str__(self) -> str:
        """Return the problem as one line for people."""
        return f"{self.source}:{self.line}: {self.path or '(top)'}: {self.message}. {self.remedy}"


@dataclass(frozen=True, slots=True)
class Rejected:
    """The text can't be used; ``problems`` is never empty."""

    problems: tuple[Problem, ...]


def load_settings(path: str) -> Settings | Rejected:
    """Read and check a settings file.

    :param path: the file, JSON with comments
    :return: the settings, or every problem found
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        return _reject(path, f"can't be read: {error.strerror}", "Name a file that this user can read.")
    if len(data) > MAX_FILE_BYTES:
        return _reject(path, f"is larger than {MAX_FILE_BYTES} bytes", "Move documents to the configuration.")
    return parse_settings(data.decode(errors="replace"), path)


def parse_settings(text: str, source: str) -> Settings | Rejected:
    """Check the text of a settings file."""
    parsed = _parse(text, source, Settings)
    if isinstance(parsed, Rejected):
        return parsed
    settings, places = parsed
    problems = list(_check_settings(settings, source, places))
    problems += check_documents(settings.configuration, source, places, ("configuration",))
    return Rejected(tuple(problems)) if problems else settings


def parse_document(text: str, source: str) -> Document | Rejected:
    """Check the text of one configuration document by itself; references are checked with all documents together."""
    parsed: tuple[Document, Places] | Rejected = _parse(text, source, Document)
    return parsed if isinstance(parsed, Rejected) else parsed[0]


def name_document(document: Document) -> str:
    """Return a document's full name, such as ``pool/lm-desk``."""
    return f"{document.__struct_config__.tag}/{document.name}"


def encode_document(document: Document) -> bytes:
    """Return the one form in which a document is stored and hashed."""
    return msgspec.json.encode(document, order="sorted")


def digest_document(body: bytes) -> str:
    """Return the name of a stored body: its SHA-256."""
    return hashlib.sha256(body).hexdigest()


# --- shape ------------------------------------------------------------------------------------------------------------


def _parse(text: str, source: str, kind: Any) -> tuple[Any, Places] | Rejected:
    try:
        data = pyjson5.loads(text)
    except (pyjson5.Json5Exception, ValueError) as error:
        return _reject_syntax(text, source, error)
    places = locate(text)
    problems = [
        Problem(source, line, _show(path), "stands twice", "Keep one of them.") for path, line in places.duplicates
    ]
    problems += _check_shape(data, source, places, kind)
    if problems:
        return Rejected(tuple(problems))
    return msgspec.convert(data, kind), places


def _check_shape(data: Any, source: str, places: Places, kind: Any) -> Iterator[Problem]:
    validator = Draft202012Validator(msgspec.json.schema(kind))
    for error in sorted(validator.iter_errors(data), key=lambda found: [str(part) for part in found.absolute_path]):
        for leaf in _find_leaves(error):
            path = tuple(leaf.absolute_path)
            message, remedy = _explain(leaf)
            line = places.find_line(path + _extra_key(leaf))
            yield Problem(source, line, _show(path), message, remedy)


def _find_leaves(error: ValidationError) -> list[ValidationError]:
    """Return the errors of the alternative that the text most likely means."""
    if not error.context:
        return [error]
    branches: dict[Any, list[ValidationError]] = {}
    for found in error.context:
        branches.setdefault(found.schema_path[0], []).append(found)
    likely = min(branches.values(), key=_rank_branch)
    return [leaf for found in likely for leaf in _find_leaves(found)]


def _rank_branch(errors: list[ValidationError]) -> tuple[bool, bool, int]:
    wrong_tag = any(found.validator in ("enum", "const") and "kind" in found.path for found in errors)
    wrong_type = any(found.validator == "type" and not found.path for found in errors)
    return (wrong_tag, wrong_type, len(errors))


def _extra_key(error: ValidationError) -> tuple[str, ...]:
    if error.validator != "additionalProperties" or not isinstance(error.instance, dict):
        return ()
    known = set(error.schema.get("properties", {}))
    return tuple(sorted(set(error.instance) - known)[:1])


def _explain(error: ValidationError) -> tuple[str, str]:
    if error.validator == "additionalProperties":
        known = sorted(error.schema.get("properties", {}))
        extra = sorted(set(error.instance) - set(known))
        return f"unknown: {', '.join(extra)}", f"Known here: {', '.join(known)}."
    if error.validator == "required":
        return str(error.message), "Add it."
    if error.validator == "type":
        return f"is of the wrong type, not {error.validator_value}", "See docs/settings."
    if error.validator in ("enum", "const"):
        return f"{error.instance!r} is not one of the known values", f"Use one of {error.validator_value}."
    if error.validator == "pattern":
        meant = error.schema.get("description", f"text that fits {error.validator_value}")
        return f"{error.instance!r} does not fit", f"Use {meant}."
    return str(error.message), f"Keep to {error.validator} {error.validator_value}."


def _show(path: Sequence[str | int]) -> str:
    return ".".join(str(part) for part in path)


def _reject(source: str, message: str, remedy: str) -> Rejected:
    return Rejected((Problem(source, 1, "", message, remedy),))


def _reject_syntax(text: str, source: str, error: Exception) -> Rejected:
    position = next((part for part in str(error).split() if part.rstrip(",").isdigit()), "0")
    line = text.count("\n", 0, int(position.rstrip(","))) + 1
    message = f"is not JSON with comments: {str(error.args[0] if error.args else error)[:120]}"
    return Rejected((Problem(source, line, "", message, "Mend the text at or before this line."),))


# --- meaning ----------------------------------------------------------------------------------------------------------


def _check_settings(settings: Settings, source: str, places: Places) -> Iterator[Problem]:
    for path, message, remedy in (*_check_addresses(settings), *_check_files(settings), *_check_timing(settings)):
        yield Problem(source, places.find_line(path), _show(path), message, remedy)


def _check_addresses(settings: Settings) -> Iterator[Finding]:
    for name, host in (("caller", settings.caller.host), ("admin", settings.admin.host), ("peer", settings.peer.host)):
        if not _is_address(host):
            yield (name, "host"), f"{host!r} is not an IP address", "Write the address as numbers."
    if not settings.admin.tokens and not _is_loopback(settings.admin.host):
        yield ("admin", "tokens"), "none, but the address is not loopback", "Add a token, or bind 127.0.0.1."
    if settings.peer.tls is None and not settings.peer.insecure and not _is_loopback(settings.peer.host):
        yield ("peer", "tls"), "none, but the address is not loopback", "Name TLS files, or set insecure."


def _check_files(settings: Settings) -> Iterator[Finding]:
    if settings.peer.tls is not None and settings.peer.tls.authorities is None:
        yield ("peer", "tls", "authorities"), "is missing", "Name the file that peers must be signed by."
    for name, tls in (("caller", settings.caller.tls), ("admin", settings.admin.tls), ("peer", settings.peer.tls)):
        for part in ("certificate", "key", "authorities"):
            file = getattr(tls, part) if tls else None
            if file is not None and not Path(file).is_file():
                yield (name, "tls", part), f"{file!r} is not a file", "Name a file that exists."


def _check_timing(settings: Settings) -> Iterator[Finding]:
    if settings.timing.pause_limit >= settings.timing.suspicion:
        path = ("timing", "pause_limit")
        yield path, "is not below timing.suspicion", "A VM must give up before its peers take over: lower it."


def check_documents(
    documents: Sequence[Document], source: str, places: Places | None = None, base: tuple[str | int, ...] = ()
) -> list[Problem]:
    """Check documents against each other: names, references, selectors, and that no traffic is left without a policy.

    :param documents: the whole configuration, as it would stand
    :param source: the file or request they come from, for the messages
    """
    found = places or Places()
    problems: list[Problem] = []

    def report(index: int, key: str, message: str, remedy: str) -> None:
        path = (*base, index, key) if places else (name_document(documents[index]), key)
        problems.append(Problem(source, found.find_line(path), _show(path), message, remedy))

    seen: set[str] = set()
    for index, document in enumerate(documents):
        name = name_document(document)
        if name in seen:
            report(index, "name", f"{name} stands twice", "Rename or remove one.")
        seen.add(name)
    policies = {document.name for document in documents if isinstance(document, Policy)}
    for index, document in enumerate(documents):
        if isinstance(document, Slice):
            _check_slice(document, index, policies, report)
        elif isinstance(document, Pool):
            _check_pool(document, index, report)
        elif isinstance(document, Workspace) and "/" in document.name:
            report(index, "name", "has a slash", "Leave it out.")
    _check_routes(documents, report)
    return problems


def _check_slice(document: Slice, index: int, policies: set[str], report: Any) -> None:
    for key, names in (("policy", [document.policy]), ("compared", document.compared)):
        for name in names:
            if name not in policies:
                report(index, key, f"there is no policy {name!r}", f"Use one of {sorted(policies)}.")
    try:
        parse_selector(document.selector)
    except SelectorError as error:
        report(index, "selector", str(error), "Write terms like a=b, a in (b, c), a notin (b), a, !a.")


def _check_pool(document: Pool, index: int, report: Any) -> None:
    if (document.model is None) == (document.service is None):
        report(index, "model", "needs either a model or a service", "Give one of the two.")
        return
    roles = {upstream.role for upstream in document.upstreams}
    needed = {"service"} if document.service else {"prefill", "decode"}
    if roles - needed:
        report(index, "upstreams", f"has roles {sorted(roles - needed)}", f"Use {sorted(needed)} in this pool.")
    if needed - roles:
        report(index, "upstreams", f"has no upstream of role {sorted(needed - roles)}", "Add one.")
    names = [upstream.name for upstream in document.upstreams]
    for name in sorted({name for name in names if names.count(name) > 1}):
        report(index, "upstreams", f"{name!r} stands twice", "Rename one.")


def _check_routes(documents: Sequence[Document], report: Any) -> None:
    routes: dict[tuple[str, str], int] = {}
    for index, document in enumerate(documents):
        if not isinstance(document, Pool):
            continue
        route = ("model", document.model) if document.model else ("service", document.service or "")
        if route in routes:
            report(index, route[0], f"{route[1]!r} is served by another pool too", "Put its upstreams in one pool.")
        routes[route] = index
    slices = [document for document in documents if isinstance(document, Slice)]
    whole = [item for item in slices if not item.selector.strip() and item.percent == 100]
    if slices and not whole:
        report(documents.index(slices[0]), "percent", "leaves traffic without a policy", "Add a slice of all traffic.")


def _is_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _is_loopback(host: str) -> bool:
    return _is_address(host) and ipaddress.ip_address(host).is_loopback
